#include "command_apply.h"

#include <cstdlib>
#include <limits>
#include <memory>
#include <string>

#include "config/apply.h"
#include "directory.h"
#include "output.h"

namespace coltsfootvane {
namespace {

// Above the calls of one command with hundreds of parts.
constexpr double kCallsPerSecond = 100;

struct ApplyCommandOptions {
  std::string directory;
  http::Address platform;
  std::optional<std::int64_t> based_on;
  std::string changed_by;
  int timeout_ms = 30000;
  OutputFormat output = OutputFormat::kText;
};

std::string DefaultOperator() {
  const char* const user = std::getenv("USER");
  return user != nullptr && *user != '\0' ? user : "unknown";
}

const char* OutcomeName(ApplyOutcome outcome) {
  switch (outcome) {
    case ApplyOutcome::kApplied:
      return "applied";
    case ApplyOutcome::kUnchanged:
      return "unchanged";
    case ApplyOutcome::kConflict:
      return "conflict";
  }
  return "";
}

void PrintReport(const ApplyReport& report, OutputFormat format) {
  if (!report.audit_error.empty())
    PrintError(
        "the audit entry is missing and will be written by the next "
        "apply: " +
        report.audit_error);
  if (format == OutputFormat::kJson) {
    PrintJson({{"outcome", OutcomeName(report.outcome)},
               {"version", report.version},
               {"changed_by", report.changed_by},
               {"difference", report.difference},
               {"audit_error", report.audit_error}});
    return;
  }
  const std::string version = "version " + std::to_string(report.version);
  if (report.outcome != ApplyOutcome::kConflict) {
    PrintLine(std::string(OutcomeName(report.outcome)) + ": " + version);
    return;
  }
  PrintLine("conflict: " + version + " by " + report.changed_by +
            " is newer; nothing was applied. Difference from it:");
  for (const std::string& line : report.difference)
    PrintLine(line);
}

int RunApply(const ApplyCommandOptions& options) {
  Findings findings;
  const auto bundle = ReadCheckedBundle(options.directory, &findings);
  if (!findings.empty()) {
    PrintFindings(findings);
    return kExitFailure;
  }
  const objectapi::Connection connection =
      objectapi::MakeConnection(options.platform, kCallsPerSecond);
  ApplyOptions apply;
  apply.based_on = options.based_on;
  apply.changed_by = options.changed_by;
  apply.deadline = Clock::now() + Milliseconds{options.timeout_ms};
  const Result<ApplyReport> report = ApplyBundle(connection, *bundle, apply);
  if (!report) {
    PrintError(report.error());
    if (report.error().code == ErrorCode::kUnknown)
      PrintError("the change may have taken effect; run apply again");
    return report.error().code == ErrorCode::kConflict ? kExitConflict
                                                       : kExitFailure;
  }
  PrintReport(report.value(), options.output);
  return report.value().outcome == ApplyOutcome::kConflict ? kExitConflict
                                                           : kExitOk;
}

void AddOptions(CLI::App* command, ApplyCommandOptions* options) {
  command
      ->add_option("directory", options->directory,
                   "Directory with the *.yaml files")
      ->type_name("DIR")
      ->required();
  AddAddressOption(command, "--platform", "Address of the platform's API",
                   &options->platform);
  command
      ->add_option("--based-on", options->based_on,
                   "Version that the change is based on (default: the newest)")
      ->check(
          CLI::Range(std::int64_t{0}, std::numeric_limits<std::int64_t>::max())
              .description(""))
      ->type_name("VERSION");
  command
      ->add_option("--as", options->changed_by,
                   "Name in the audit trail (default: $USER)")
      ->check(CLI::Validator(
          [](const std::string& name) {
            return name.empty() ? "must not be empty" : "";
          },
          ""))
      ->type_name("NAME");
  AddTimeoutOption(command, &options->timeout_ms);
  AddOutputOption(command, &options->output);
}

}  // namespace

void AddApplyCommand(CLI::App* app, int* exit_code) {
  const auto options = std::make_shared<ApplyCommandOptions>();
  options->changed_by = DefaultOperator();
  CLI::App* const command = app->add_subcommand(
      "apply", "Make a directory the newest configuration, as a whole");
  AddOptions(command, options.get());
  command->footer(
      "The same configuration again changes nothing. Exit code: 0 applied or\n"
      "unchanged, 1 findings or failure, 3 another change came first.\n"
      "Examples:\n"
      "  coltsfootvane apply examples/shop --platform 127.0.0.1:8090\n"
      "  coltsfootvane apply examples/shop --platform 127.0.0.1:8090 \\\n"
      "      --based-on 12 --as counter-lead");
  command->callback([options, exit_code] { *exit_code = RunApply(*options); });
}

}  // namespace coltsfootvane
