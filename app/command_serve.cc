#include "command_serve.h"

#include <memory>

#include "output.h"
#include "settings/settings.h"

namespace coltsfootvane {

int RunServe(const ServeOptions& options) {
  Findings findings;
  ReadSettings(options.settings_path, &findings);
  PrintFindings(findings);
  return findings.empty() ? kExitOk : kExitFailure;
}

void AddServeCommand(CLI::App* app, int* exit_code) {
  const auto options = std::make_shared<ServeOptions>();
  CLI::App* const command =
      app->add_subcommand("serve", "Run the daemon of an entry VM");
  command
      ->add_option("--settings", options->settings_path,
                   "YAML file with the settings of this daemon")
      ->type_name("FILE")
      ->required();
  command->footer(
      "Example:\n  coltsfootvane serve --settings examples/daemon.yaml");
  command->callback([options, exit_code] { *exit_code = RunServe(*options); });
}

}  // namespace coltsfootvane
