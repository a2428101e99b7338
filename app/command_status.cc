#include "command_status.h"

#include <memory>
#include <string>

#include "http/client.h"
#include "output.h"

namespace coltsfootvane {
namespace {

constexpr int kStatusOk = 200;

struct StatusOptions {
  http::Address admin;
  int timeout_ms = 5000;
  OutputFormat output = OutputFormat::kJson;
};

/// Prints one line `path value` per value.
void PrintFlat(const nlohmann::json& status) {
  const nlohmann::json flat = status.flatten();
  for (const auto& [path, value] : flat.items())
    PrintLine(path + " " + value.dump());
}

int RunStatus(const StatusOptions& options) {
  const TimePoint deadline = Clock::now() + Milliseconds{options.timeout_ms};
  http::CallOptions call;
  call.peer = options.admin;
  call.connect_deadline = deadline;
  call.deadline = deadline;
  http::Request request;
  request.method = "GET";
  request.path = "/status";
  const Result<http::Response> response = http::Call(call, request);
  if (!response) {
    PrintError(response.error());
    return kExitFailure;
  }
  const http::Response& answer = response.value();
  const auto status = nlohmann::json::parse(answer.body, nullptr, false);
  if (answer.status != kStatusOk || status.is_discarded()) {
    PrintError("the daemon answered " + std::to_string(answer.status) + ": " +
               answer.body);
    return kExitFailure;
  }
  if (options.output == OutputFormat::kJson)
    PrintJson(status);
  else
    PrintFlat(status);
  return kExitOk;
}

}  // namespace

void AddStatusCommand(CLI::App* app, int* exit_code) {
  const auto options = std::make_shared<StatusOptions>();
  CLI::App* const command =
      app->add_subcommand("status", "Print the status of one daemon");
  AddAddressOption(command, "--admin", "Admin address of the daemon",
                   &options->admin);
  AddTimeoutOption(command, &options->timeout_ms);
  AddOutputOption(command, &options->output, "json");
  command->footer(
      "Examples:\n"
      "  coltsfootvane status --admin 127.0.0.1:8081\n"
      "  coltsfootvane status --admin 127.0.0.1:8081 --output text");
  command->callback([options, exit_code] { *exit_code = RunStatus(*options); });
}

}  // namespace coltsfootvane
