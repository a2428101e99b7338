#include <easylogging++.h>

#include <CLI/CLI.hpp>

#include "command_explain.h"
#include "command_gateway.h"
#include "command_version.h"
#ifndef COLTSFOOTVANE_GATEWAY_ONLY
#include "command_apply.h"
#include "command_audit.h"
#include "command_check.h"
#include "command_diff.h"
#include "command_serve.h"
#include "command_status.h"
#endif
#include "exit_codes.h"
#include "log/event.h"

INITIALIZE_EASYLOGGINGPP

int main(int argc, char** argv) {
  using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
  CLI::App app("Serves many models and adapters from a fixed fleet.",
               "coltsfootvane");
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 ok, 1 findings or failure, 2 usage, 3 conflict.\n"
      "Run 'coltsfootvane COMMAND --help' for the options and examples.");
  ConfigureLog("coltsfootvane");
  int exit_code = kExitOk;
  AddGatewayCommand(&app, &exit_code);
  AddExplainCommand(&app, &exit_code);
#ifndef COLTSFOOTVANE_GATEWAY_ONLY
  AddServeCommand(&app, &exit_code);
  AddCheckCommand(&app, &exit_code);
  AddDiffCommand(&app, &exit_code);
  AddApplyCommand(&app, &exit_code);
  AddStatusCommand(&app, &exit_code);
  AddAuditCommand(&app, &exit_code);
#endif
  AddVersionCommand(&app, &exit_code);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    // Help ends the parsing like an error, with code 0.
    return app.exit(error) == 0 ? kExitOk : kExitUsage;
  }
  return exit_code;
}
