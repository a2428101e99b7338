#include "standins/engine_standin/engine_standin.h"

#include <charconv>
#include <optional>

namespace coltsfootvane::standins {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kRepositoryPath = "/v2/repository/models/";

std::int64_t FencingNumber(const http::Request& request) {
  const std::string_view text =
      http::FindHeader(request.headers, "X-Fencing-Number");
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

Json ParseBody(const http::Request& request) {
  Json body = Json::parse(request.body, nullptr, false);
  return body.is_object() ? body : Json::object();
}

std::optional<ItemCommand> ParseModelCommand(const http::Request& request) {
  const std::string_view path = request.path;
  if (path.substr(0, kRepositoryPath.size()) != kRepositoryPath)
    return std::nullopt;
  const std::string_view rest = path.substr(kRepositoryPath.size());
  const std::size_t slash = rest.rfind('/');
  if (slash == std::string_view::npos)
    return std::nullopt;
  ItemCommand command;
  command.name = rest.substr(0, slash);
  command.load = rest.substr(slash) == "/load";
  if (!command.load && rest.substr(slash) != "/unload")
    return std::nullopt;
  const Json parameters =
      ParseBody(request).value("parameters", Json::object());
  command.version = parameters.value("version", "");
  command.memory_mb = parameters.value("memory_mb", std::int64_t{0});
  command.fencing_number = FencingNumber(request);
  return command;
}

std::optional<ItemCommand> ParseAdapterCommand(const http::Request& request) {
  const bool load = request.path == "/v1/load_lora_adapter";
  if (!load && request.path != "/v1/unload_lora_adapter")
    return std::nullopt;
  const Json body = ParseBody(request);
  ItemCommand command;
  command.load = load;
  command.adapter = true;
  command.name = body.value("lora_name", "");
  command.model = body.value("base_model_name", "");
  command.version = body.value("version", "");
  command.memory_mb = body.value("memory_mb", std::int64_t{0});
  command.fencing_number = FencingNumber(request);
  return command;
}

/// Ends the connection without a complete answer.
void Cut(http::ReplyStream& reply) {
  reply.Abort();
}

void SendJson(int status, const Json& body, http::ReplyStream& reply) {
  reply.Send({status, {{"Content-Type", "application/json"}}, body.dump()});
}

}  // namespace

EngineStandin::EngineStandin(const EngineOptions& options)
    : options(options), items(options), generator(options, &this->items) {
  this->sampler = std::thread([this] { this->SampleLoad(); });
}

EngineStandin::~EngineStandin() {
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->stopped.notify_all();
  this->sampler.join();
  for (std::thread& thread : this->delayed)
    thread.join();
}

void EngineStandin::Handle(const http::Request& request,
                           http::ReplyStream& reply) {
  try {
    if (request.path == "/v1/chat/completions" ||
        request.path == "/v1/completions") {
      this->generator.Serve(request, reply);
      return;
    }
    if (const auto command = ParseModelCommand(request)) {
      this->HandleCommand(*command, reply);
      return;
    }
    if (const auto command = ParseAdapterCommand(request)) {
      this->HandleCommand(*command, reply);
      return;
    }
    if (request.path == "/v2/repository/index")
      this->HandleIndex(request, reply);
    else if (request.path == "/control/faults")
      this->HandleFaults(request, reply);
    else if (request.path == "/control/stats")
      this->HandleStats(reply);
    else if (request.path == "/metrics")
      this->HandleMetrics(reply);
    else
      SendJson(404, {{"error", "no such path"}}, reply);
  } catch (const Json::exception& error) {
    SendJson(400, {{"error", error.what()}}, reply);
  }
}

void EngineStandin::HandleCommand(const ItemCommand& command,
                                  http::ReplyStream& reply) {
  Milliseconds delay{0};
  Milliseconds repeat{0};
  bool lose = false;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->lose_command > 0) {
      --this->lose_command;
      Cut(reply);
      return;
    }
    repeat = Milliseconds{this->double_command_ms};
    delay = Milliseconds{this->delay_command_ms};
    lose = delay.count() == 0 && this->lose_command_response > 0;
    if (lose)
      --this->lose_command_response;
  }
  if (repeat.count() > 0)
    this->RunLater(command, delay + repeat);
  if (delay.count() > 0) {
    this->RunLater(command, delay);
    Cut(reply);
    return;
  }
  const int status = this->items.Run(command);
  if (lose) {
    Cut(reply);
    return;
  }
  SendJson(status, {{"status", status}}, reply);
}

void EngineStandin::RunLater(const ItemCommand& command, Milliseconds delay) {
  const TimePoint due = Clock::now() + delay;
  std::lock_guard<std::mutex> lock(this->mutex);
  this->delayed.emplace_back([this, command, due] {
    {
      std::unique_lock<std::mutex> wait_lock(this->mutex);
      this->stopped.wait_until(wait_lock, due,
                               [this] { return this->stopping; });
      if (this->stopping)
        return;
    }
    this->items.Run(command);
  });
}

void EngineStandin::HandleIndex(const http::Request& request,
                                http::ReplyStream& reply) {
  std::optional<Json> index = this->items.Index(FencingNumber(request));
  if (!index) {
    SendJson(409, {{"error", "fencing number is outdated"}}, reply);
    return;
  }
  (*index)["leaving"] = this->generator.Leaving();
  SendJson(200, *index, reply);
}

void EngineStandin::HandleFaults(const http::Request& request,
                                 http::ReplyStream& reply) {
  const Json faults = Json::parse(request.body);
  this->generator.SetFaults(faults);
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->delay_command_ms =
        faults.value("delay_command_ms", this->delay_command_ms);
    this->lose_command_response =
        faults.value("lose_command_response", this->lose_command_response);
    this->lose_command = faults.value("lose_command", this->lose_command);
    this->double_command_ms =
        faults.value("double_command_ms", this->double_command_ms);
  }
  SendJson(200, Json::object(), reply);
}

void EngineStandin::HandleStats(http::ReplyStream& reply) {
  Json stats = {{"id", this->options.id}};
  this->items.AddStats(&stats);
  this->generator.AddStats(&stats);
  SendJson(200, stats, reply);
}

void EngineStandin::HandleMetrics(http::ReplyStream& reply) {
  std::lock_guard<std::mutex> lock(this->mutex);
  reply.Send({200, {{"Content-Type", "text/plain"}}, this->load_report});
}

void EngineStandin::SampleLoad() {
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    this->load_report =
        "# TYPE engine_running gauge\nengine_running " +
        std::to_string(this->generator.Running()) +
        "\n# TYPE engine_waiting gauge\nengine_waiting " +
        std::to_string(this->generator.Waiting()) +
        "\n# TYPE engine_memory_used_mb gauge\nengine_memory_used_mb " +
        std::to_string(this->items.MemoryUsed()) + "\n";
    this->stopped.wait_for(lock, Milliseconds{this->options.load_report_lag_ms},
                           [this] { return this->stopping; });
  }
}

}  // namespace coltsfootvane::standins
