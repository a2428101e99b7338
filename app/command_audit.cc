#include "command_audit.h"

#include <memory>
#include <string>

#include "audit/audit.h"
#include "objectapi/client.h"
#include "output.h"

namespace coltsfootvane {
namespace {

constexpr double kCallsPerSecond = 10;

struct AuditOptions {
  http::Address platform;
  int timeout_ms = 15000;
  OutputFormat output = OutputFormat::kText;
};

std::string FormatLine(const AuditEntry& entry) {
  return entry.time + " " + entry.actor + " " + entry.action + " " +
         entry.object + " " + std::to_string(entry.from_version) + " -> " +
         std::to_string(entry.to_version) + " " + entry.detail;
}

int RunAudit(const AuditOptions& options) {
  const auto entries =
      ReadAudit(objectapi::MakeConnection(options.platform, kCallsPerSecond),
                Clock::now() + Milliseconds{options.timeout_ms});
  if (!entries) {
    PrintError(entries.error());
    return kExitFailure;
  }
  if (options.output == OutputFormat::kText) {
    for (const AuditEntry& entry : entries.value())
      PrintLine(FormatLine(entry));
    return kExitOk;
  }
  nlohmann::json list = nlohmann::json::array();
  for (const AuditEntry& entry : entries.value())
    list.push_back(nlohmann::json::parse(FormatAuditEntry(entry)));
  PrintJson(list);
  return kExitOk;
}

}  // namespace

void AddAuditCommand(CLI::App* app, int* exit_code) {
  const auto options = std::make_shared<AuditOptions>();
  CLI::App* const command =
      app->add_subcommand("audit", "Print the audit trail, oldest first");
  AddAddressOption(command, "--platform", "Address of the platform's API",
                   &options->platform);
  AddTimeoutOption(command, &options->timeout_ms);
  AddOutputOption(command, &options->output);
  command->footer(
      "Examples:\n"
      "  coltsfootvane audit --platform 127.0.0.1:8090\n"
      "  coltsfootvane audit --platform 127.0.0.1:8090 --output json");
  command->callback([options, exit_code] { *exit_code = RunAudit(*options); });
}

}  // namespace coltsfootvane
