#include "command_gateway.h"

#include <signal.h>

#include <iostream>
#include <memory>
#include <string>

#include "exit_codes.h"
#include "platform/platform_daemon.h"
#include "platform/settings_file.h"

namespace coltsfootvane {
namespace {

int RunGateway(const std::string& settings_path) {
  Findings findings;
  const platform::PlatformSettings settings =
      platform::ReadSettingsFile(settings_path, &findings);
  for (const Finding& finding : findings)
    std::cerr << FormatFinding(finding) << '\n';
  if (!findings.empty())
    return kExitFailure;
  // A write to a connection that the peer has closed fails by its error code.
  signal(SIGPIPE, SIG_IGN);
  platform::PlatformDaemon daemon(settings_path, settings);
  const Result<bool> result = daemon.Run();
  if (!result) {
    std::cerr << result.error().message << '\n';
    return kExitFailure;
  }
  return kExitOk;
}

}  // namespace

void AddGatewayCommand(CLI::App* app, int* exit_code) {
  const auto path = std::make_shared<std::string>();
  CLI::App* const command = app->add_subcommand(
      "gateway", "Run the daemon of a VM on the users' platform");
  command
      ->add_option("--settings", *path,
                   "Settings file that the platform writes")
      ->type_name("FILE")
      ->envname("COLTSFOOTVANE_SETTINGS")
      ->required();
  command->footer(
      "Example:\n  coltsfootvane gateway --settings "
      "/etc/coltsfootvane/boot.conf");
  command->callback([path, exit_code] { *exit_code = RunGateway(*path); });
}

}  // namespace coltsfootvane
