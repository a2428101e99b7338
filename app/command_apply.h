#ifndef COLTSFOOTVANE_APP_COMMAND_APPLY_H_
#define COLTSFOOTVANE_APP_COMMAND_APPLY_H_

#include <CLI/CLI.hpp>

namespace coltsfootvane {

/// Adds the subcommand `apply`. It stores its exit code in `exit_code`.
void AddApplyCommand(CLI::App* app, int* exit_code);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_APP_COMMAND_APPLY_H_
