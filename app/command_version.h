#ifndef COLTSFOOTVANE_APP_COMMAND_VERSION_H_
#define COLTSFOOTVANE_APP_COMMAND_VERSION_H_

#include <CLI/CLI.hpp>

namespace coltsfootvane {

/// Adds the subcommand `version`. It stores its exit code in `exit_code`.
void AddVersionCommand(CLI::App* app, int* exit_code);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_APP_COMMAND_VERSION_H_
