#include "command_diff.h"

#include <memory>
#include <string>

#include "config/apply.h"
#include "config/stored_configuration.h"
#include "config_check/check.h"
#include "config_check/diff.h"
#include "directory.h"
#include "output.h"
#include "platform/address.h"
#include "platform/check/document_reader.h"
#include "platform/check/stored_text.h"
#include "platform_config.h"

namespace coltsfootvane {
namespace {

// Above the calls of one command with hundreds of parts.
constexpr double kCallsPerSecond = 100;

struct DiffOptions {
  /// A directory, or the file to compare `platform_config` with.
  std::string directory_or_base;
  std::string platform_config;
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
  const auto bundle = ReadCheckedBundle(options.directory_or_base, &findings);
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

/// Reads the configuration in force. Prints its findings only if it cannot be
/// read.
std::optional<config_check::Document> ReadBase(const DiffOptions& options) {
  config_check::Issues issues;
  std::optional<config_check::Document> base;
  if (options.platform.port == 0) {
    base = platform::ReadCheckedDocument(options.directory_or_base, &issues);
  } else {
    const std::string address = http::FormatAddress(options.platform);
    const auto endpoint = platform::ParseAddress(address);
    if (!endpoint) {
      PrintError("'" + address + "' is not IP:PORT");
      return std::nullopt;
    }
    const auto text =
        platform::ReadStoredText(*endpoint, Milliseconds{options.timeout_ms});
    if (!text) {
      PrintError(text.error());
      return std::nullopt;
    }
    base = platform::ReadDocument(address, text.value(), &issues);
  }
  if (!base)
    PrintIssues(issues);
  return base;
}

int RunPlatformDiff(const DiffOptions& options) {
  config_check::Issues issues;
  const auto wanted =
      platform::ReadCheckedDocument(options.platform_config, &issues);
  PrintIssues(issues);
  if (!wanted || HasErrors(issues))
    return kExitFailure;
  const auto base = ReadBase(options);
  if (!base)
    return kExitFailure;
  PrintDifference(options, base->version,
                  config_check::DiffDocuments(*base, *wanted));
  return kExitOk;
}

/// Returns which option is missing or superfluous, or an empty text.
std::string UsageFault(const DiffOptions& options) {
  const bool has_address = options.platform.port != 0;
  const bool has_input = !options.directory_or_base.empty();
  if (options.platform_config.empty() && !(has_input && has_address))
    return "DIR and --platform are required";
  if (!options.platform_config.empty() && has_input == has_address)
    return "--platform-config needs either BASE or --platform";
  return "";
}

}  // namespace

void AddDiffCommand(CLI::App* app, int* exit_code) {
  const auto options = std::make_shared<DiffOptions>();
  CLI::App* const command = app->add_subcommand(
      "diff",
      "Show what applying a directory, or sending a configuration of the "
      "users' platform, would change");
  command
      ->add_option("directory", options->directory_or_base,
                   "Directory with the *.yaml files, or the file with the "
                   "platform's configuration in force")
      ->type_name("DIR|BASE");
  command
      ->add_option("--platform-config", options->platform_config,
                   "JSON file with a configuration of the users' platform, "
                   "compared with the file BASE or the store at --platform")
      ->type_name("FILE");
  AddAddressOption(command, "--platform", "Address of the platform's API",
                   &options->platform)
      ->required(false);
  AddTimeoutOption(command, &options->timeout_ms);
  AddOutputOption(command, &options->output);
  command->footer(
      "Lines: + added, - removed, ~ changed. Exit code: 0 with or without a\n"
      "difference, 1 with findings or if the platform cannot be read.\n"
      "Examples:\n"
      "  coltsfootvane diff examples/shop --platform 127.0.0.1:8090\n"
      "  coltsfootvane diff --platform-config new.json in_force.json\n"
      "  coltsfootvane diff --platform-config new.json --platform "
      "127.0.0.1:8090");
  command->callback([options, exit_code] {
    const std::string fault = UsageFault(*options);
    if (!fault.empty())
      throw CLI::ValidationError(fault);
    *exit_code = options->platform_config.empty() ? RunDiff(*options)
                                                  : RunPlatformDiff(*options);
  });
}

}  // namespace coltsfootvane
