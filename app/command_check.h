#ifndef COLTSFOOTVANE_APP_COMMAND_CHECK_H_
#define COLTSFOOTVANE_APP_COMMAND_CHECK_H_

#include <CLI/CLI.hpp>

namespace coltsfootvane {

/// Adds the subcommand `check`. It stores its exit code in `exit_code`.
void AddCheckCommand(CLI::App* app, int* exit_code);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_APP_COMMAND_CHECK_H_
