#ifndef COLTSFOOTVANE_APP_COMMAND_DIFF_H_
#define COLTSFOOTVANE_APP_COMMAND_DIFF_H_

#include <CLI/CLI.hpp>

namespace coltsfootvane {

/// Adds the subcommand `diff`. It stores its exit code in `exit_code`.
void AddDiffCommand(CLI::App* app, int* exit_code);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_APP_COMMAND_DIFF_H_
