#ifndef COLTSFOOTVANE_APP_COMMAND_SERVE_H_
#define COLTSFOOTVANE_APP_COMMAND_SERVE_H_

#include <CLI/CLI.hpp>
#include <string>

namespace coltsfootvane {

struct ServeOptions {
  std::string settings_path;
};

/// Runs a daemon until it is told to stop. Returns the exit code.
int RunServe(const ServeOptions& options);

/// Adds the subcommand `serve`. It stores its exit code in `exit_code`.
void AddServeCommand(CLI::App* app, int* exit_code);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_APP_COMMAND_SERVE_H_
