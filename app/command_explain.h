#ifndef COLTSFOOTVANE_APP_COMMAND_EXPLAIN_H_
#define COLTSFOOTVANE_APP_COMMAND_EXPLAIN_H_

#include <CLI/CLI.hpp>

namespace coltsfootvane {

/// Adds `explain`, which prints the story of a request from logs.
void AddExplainCommand(CLI::App* app, int* exit_code);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_APP_COMMAND_EXPLAIN_H_
