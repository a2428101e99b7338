#include "command_serve.h"

#include <malloc.h>
#include <pthread.h>
#include <signal.h>

#include <iostream>
#include <memory>

#include "daemon.h"
#include "log/event.h"
#include "output.h"
#include "settings/settings.h"

namespace coltsfootvane {
namespace {

constexpr timespec kHealthInterval = {0, 50'000'000};

/// glibc raises the size from which blocks get a mapping of their own to that
/// of the largest one freed, and then keeps freed blocks of large headers and
/// bodies once per thread.
constexpr int kMappedBlockBytes = 128 * 1024;

/// Blocks the stop signals in this thread and in those it will start.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

}  // namespace

int RunServe(const ServeOptions& options) {
  Findings findings;
  const Settings settings = ReadSettings(options.settings_path, &findings);
  PrintFindings(findings);
  if (!findings.empty())
    return kExitFailure;
  ConfigureLog(settings.daemon_id);
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  const sigset_t signals = BlockStopSignals();
  Daemon daemon(settings);
  const Result<bool> started = daemon.Start();
  if (!started) {
    std::cerr << started.error().message << '\n';
    return kExitFailure;
  }
  while (sigtimedwait(&signals, nullptr, &kHealthInterval) < 0)
    daemon.UpdateHealth();
  daemon.Shutdown();
  return kExitOk;
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
