#include "command_diff.h"

#include <memory>
#include <string>

#include "config/apply.h"
#include "config/stored_configuration.h"
#include "directory.h"
#include "output.h"

namespace coltsfootvane {
namespace {

// Above the calls of one command with hundreds of parts.
constexpr double kCallsPerSecond = 100;

struct DiffOptions {
  std::string directory;
  http::Address platform;
  int timeout_ms = 15000;
  OutputFormat output = OutputFormat::kText;
};

void PrintDifference(const DiffOptions& options,
                     std::int64_t version,
                     const std::vector<std::string>& difference) {
  if (options.output == OutputFormat::kJson) {
    PrintJson({{"version", version}, {"difference", difference}});
    return;
  }
  for (const std::string& line : difference)
    PrintLine(line);
  if (difference.empty())
    PrintLine("no difference from version " + std::to_string(version));
}

int RunDiff(const DiffOptions& options) {
  Findings findings;
  const auto bundle = ReadCheckedBundle(options.directory, &findings);
  if (!findings.empty()) {
    PrintFindings(findings);
    return kExitFailure;
  }
  const TimePoint deadline = Clock::now() + Milliseconds{options.timeout_ms};
  const objectapi::Connection connection =
      objectapi::MakeConnection(options.platform, kCallsPerSecond);
  const Result<StoredHead> stored = ReadStoredHead(connection, deadline);
  if (!stored) {
    PrintError(stored.error());
    return kExitFailure;
  }
  const ConfigurationHead& head = stored.value().head;
  const auto difference = DiffWithStored(connection, head, *bundle, deadline);
  if (!difference) {
    PrintError(difference.error());
    return kExitFailure;
  }
  PrintDifference(options, head.version, difference.value());
  return kExitOk;
}

}  // namespace

void AddDiffCommand(CLI::App* app, int* exit_code) {
  const auto options = std::make_shared<DiffOptions>();
  CLI::App* const command = app->add_subcommand(
      "diff", "Show what applying a directory would change");
  command
      ->add_option("directory", options->directory,
                   "Directory with the *.yaml files")
      ->type_name("DIR")
      ->required();
  AddAddressOption(command, "--platform", "Address of the platform's API",
                   &options->platform);
  AddTimeoutOption(command, &options->timeout_ms);
  AddOutputOption(command, &options->output);
  command->footer(
      "Lines: + added, - removed, ~ changed. Exit code: 0 with or without a\n"
      "difference, 1 with findings or if the platform cannot be read.\n"
      "Example:\n"
      "  coltsfootvane diff examples/shop --platform 127.0.0.1:8090");
  command->callback([options, exit_code] { *exit_code = RunDiff(*options); });
}

}  // namespace coltsfootvane
