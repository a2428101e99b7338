#ifndef COLTSFOOTVANE_APP_COMMAND_GATEWAY_H_
#define COLTSFOOTVANE_APP_COMMAND_GATEWAY_H_

#include <CLI/CLI.hpp>

namespace coltsfootvane {

/// Adds `gateway`, which runs the daemon of a VM on the users' platform.
void AddGatewayCommand(CLI::App* app, int* exit_code);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_APP_COMMAND_GATEWAY_H_
