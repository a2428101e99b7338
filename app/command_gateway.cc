#include "command_gateway.h"
#include "base/clock.h"

#include <malloc.h>
#include <signal.h>

#include <iostream>
#include <memory>
#include <string>
#include <thread>

#include "daemon/daemon.h"
#include "exit_codes.h"
#include "platform/deployment.h"
#include "platform/settings_file.h"

namespace coltsfootvane {
namespace {

/// Blocks of bodies are mapped, so that their memory goes back to the system
/// with them. Without a fixed threshold the allocator raises it and keeps what
/// a crowd has held.
constexpr int kMappedBlockBytes = 60 * 1024;
/// Free memory at the end of the heap beyond that goes back as well.
constexpr int kMaxFreeHeapBytes = 512 * 1024;

/// For which a process that starts waits for a settings file that is absent or
/// only partly written.
constexpr Milliseconds kSettingsLimit{3000};
constexpr Milliseconds kSettingsRetryInterval{50};

/// Reads the settings once they are whole, or as they are at the time limit.
daemon::DaemonSettings AwaitSettings(const std::string& path,
                                     Findings* findings) {
  const TimePoint limit = BootNow() + kSettingsLimit;
  for (;;) {
    findings->clear();
    daemon::DaemonSettings settings =
        platform::ReadSettingsFile(path, findings);
    if (findings->empty() || BootNow() >= limit)
      return settings;
    std::this_thread::sleep_for(kSettingsRetryInterval);
  }
}

int RunGateway(const std::string& settings_path, unsigned short metrics_port) {
  Findings findings;
  daemon::DaemonSettings settings = AwaitSettings(settings_path, &findings);
  for (const Finding& finding : findings)
    std::cerr << FormatFinding(finding) << '\n';
  if (!findings.empty())
    return kExitFailure;
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kMaxFreeHeapBytes);
  // A write to a connection that the peer has closed fails by its error code.
  signal(SIGPIPE, SIG_IGN);
  settings.metrics_port = metrics_port;
  daemon::Daemon process(
      settings, platform::MakeDeployment(settings_path, settings.store));
  const Result<bool> result = process.Run();
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
  const auto metrics_port = std::make_shared<unsigned short>(0);
  command->add_option("--metrics-port", *metrics_port,
                      "Port for Prometheus metrics, /metrics; the health port "
                      "serves them as well");
  command->footer(
      "Example:\n  coltsfootvane gateway --settings "
      "/etc/coltsfootvane/boot.conf");
  command->callback([path, metrics_port, exit_code] {
    *exit_code = RunGateway(*path, *metrics_port);
  });
}

}  // namespace coltsfootvane
