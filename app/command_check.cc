#include "command_check.h"

#include <memory>
#include <string>

#include "config_check/check.h"
#include "directory.h"
#include "output.h"
#include "platform/check/document_reader.h"
#include "platform_config.h"

namespace coltsfootvane {
namespace {

struct CheckOptions {
  std::string directory;
  std::string platform_config;  ///< Checked instead of a directory.
  bool allows_warnings = false;
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

int RunPlatformCheck(const CheckOptions& options) {
  config_check::Issues issues;
  platform::ReadCheckedDocument(options.platform_config, &issues);
  const bool fails =
      options.allows_warnings ? HasErrors(issues) : !issues.empty();
  const int exit_code = fails ? kExitFailure : kExitOk;
  if (options.output == OutputFormat::kJson) {
    PrintJson({{"findings", IssuesToJson(issues)}});
    return exit_code;
  }
  for (const config_check::Issue& issue : issues)
    PrintLine(config_check::FormatIssue(issue));
  if (issues.empty())
    PrintLine(options.platform_config + ": no findings");
  return exit_code;
}

}  // namespace

void AddCheckCommand(CLI::App* app, int* exit_code) {
  const auto options = std::make_shared<CheckOptions>();
  CLI::App* const command = app->add_subcommand(
      "check", "Check a configuration and print every finding");
  CLI::Option_group* const input = command->add_option_group("Configuration");
  input
      ->add_option("directory", options->directory,
                   "Directory with the *.yaml files")
      ->type_name("DIR");
  input
      ->add_option("--platform-config", options->platform_config,
                   "JSON file with a configuration of the users' platform")
      ->type_name("FILE");
  input->require_option(1);
  command->add_flag("--allow-warnings", options->allows_warnings,
                    "Exit code 0 if all findings of a platform's "
                    "configuration are warnings");
  AddOutputOption(command, &options->output);
  command->footer(
      "Exit code: 0 without findings, 1 with findings.\n"
      "Examples:\n"
      "  coltsfootvane check examples/shop\n"
      "  coltsfootvane check examples/shop --output json\n"
      "  coltsfootvane check --platform-config examples/platform/config.json");
  command->callback([options, exit_code] {
    *exit_code = options->platform_config.empty() ? RunCheck(*options)
                                                  : RunPlatformCheck(*options);
  });
}

}  // namespace coltsfootvane
