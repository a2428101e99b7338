#include "command_check.h"

#include <memory>
#include <string>

#include "directory.h"
#include "output.h"

namespace coltsfootvane {
namespace {

struct CheckOptions {
  std::string directory;
  OutputFormat output = OutputFormat::kText;
};

int RunCheck(const CheckOptions& options) {
  Findings findings;
  const std::optional<Bundle> bundle =
      ReadCheckedBundle(options.directory, &findings);
  const int exit_code = findings.empty() ? kExitOk : kExitFailure;
  if (options.output == OutputFormat::kJson) {
    PrintJson({{"findings", FindingsToJson(findings)},
               {"digest", bundle ? bundle->digest : ""}});
    return exit_code;
  }
  for (const Finding& finding : findings)
    PrintLine(FormatFinding(finding));
  if (findings.empty())
    PrintLine(options.directory + ": no findings, digest " + bundle->digest);
  return exit_code;
}

}  // namespace

void AddCheckCommand(CLI::App* app, int* exit_code) {
  const auto options = std::make_shared<CheckOptions>();
  CLI::App* const command = app->add_subcommand(
      "check", "Check a configuration directory and print every finding");
  command
      ->add_option("directory", options->directory,
                   "Directory with the *.yaml files")
      ->type_name("DIR")
      ->required();
  AddOutputOption(command, &options->output);
  command->footer(
      "Exit code: 0 without findings, 1 with findings.\n"
      "Examples:\n"
      "  coltsfootvane check examples/shop\n"
      "  coltsfootvane check examples/shop --output json");
  command->callback([options, exit_code] { *exit_code = RunCheck(*options); });
}

}  // namespace coltsfootvane
