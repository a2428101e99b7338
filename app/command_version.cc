#include "command_version.h"

#include <memory>

#include "output.h"

namespace coltsfootvane {
namespace {

void PrintVersion(OutputFormat output) {
  if (output == OutputFormat::kJson)
    PrintJson({{"version", COLTSFOOTVANE_VERSION}});
  else
    PrintLine("coltsfootvane " COLTSFOOTVANE_VERSION);
}

}  // namespace

void AddVersionCommand(CLI::App* app, int* exit_code) {
  const auto output = std::make_shared<OutputFormat>(OutputFormat::kText);
  CLI::App* const command =
      app->add_subcommand("version", "Print the version of this binary");
  AddOutputOption(command, output.get());
  command->footer("Example:\n  coltsfootvane version --output json");
  command->callback([output, exit_code] {
    PrintVersion(*output);
    *exit_code = kExitOk;
  });
}

}  // namespace coltsfootvane
