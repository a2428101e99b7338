#ifndef COLTSFOOTVANE_APP_COMMAND_STATUS_H_
#define COLTSFOOTVANE_APP_COMMAND_STATUS_H_

#include <CLI/CLI.hpp>

namespace coltsfootvane {

/// Adds the subcommand `status`. It stores its exit code in `exit_code`.
void AddStatusCommand(CLI::App* app, int* exit_code);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_APP_COMMAND_STATUS_H_
