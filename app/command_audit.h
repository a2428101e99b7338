#ifndef COLTSFOOTVANE_APP_COMMAND_AUDIT_H_
#define COLTSFOOTVANE_APP_COMMAND_AUDIT_H_

#include <CLI/CLI.hpp>

namespace coltsfootvane {

/// Adds the subcommand `audit`. It stores its exit code in `exit_code`.
void AddAuditCommand(CLI::App* app, int* exit_code);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_APP_COMMAND_AUDIT_H_
