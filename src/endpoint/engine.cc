#include "endpoint/engine.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>

#include "endpoint/events.h"
#include "endpoint/sse_parser.h"
#include "http/client.h"
#include "log/event.h"

namespace coltsfootvane::endpoint {
namespace {

using Json = nlohmann::json;

// A TCP connect inside a region takes a few ms; a SYN is repeated after 1 s.
constexpr Milliseconds kConnectTimeout{1500};
constexpr std::size_t kMaxErrorBytes = std::size_t{64} * 1024;
/// Of answers that describe the engine's state.
constexpr std::size_t kMaxStateBytes = std::size_t{4} * 1024 * 1024;
constexpr char kDone[] = "[DONE]";

http::CallOptions MakeOptions(const http::Address& engine, TimePoint deadline) {
  http::CallOptions options;
  options.peer = engine;
  options.connect_deadline = std::min(deadline, Clock::now() + kConnectTimeout);
  options.deadline = deadline;
  return options;
}

http::CallOptions MakeStateOptions(const http::Address& engine,
                                   TimePoint deadline) {
  http::CallOptions options = MakeOptions(engine, deadline);
  options.max_body_bytes = kMaxStateBytes;
  return options;
}

http::Header FencingHeader(std::int64_t number) {
  return {"X-Fencing-Number", std::to_string(number)};
}

http::Request MakeAdapterRequest(const Command& command) {
  const bool load = command.operation == Command::Operation::kLoad;
  http::Request request;
  request.method = "POST";
  request.path = load ? "/v1/load_lora_adapter" : "/v1/unload_lora_adapter";
  request.body = Json{{"lora_name", command.item},
                      {"base_model_name", command.model},
                      {"version", command.version},
                      {"memory_mb", command.memory_mb}}
                     .dump();
  return request;
}

http::Request MakeModelRequest(const Command& command) {
  const bool load = command.operation == Command::Operation::kLoad;
  http::Request request;
  request.method = "POST";
  request.path = "/v2/repository/models/" + command.item;
  request.path += load ? "/load" : "/unload";
  request.body =
      Json{{"parameters",
            {{"version", command.version}, {"memory_mb", command.memory_mb}}}}
          .dump();
  return request;
}

/// Reads a whole number of seconds, as HTTP has it.
int RetryAfterMs(gsl::span<const http::Header> headers) {
  const std::string_view text = http::FindHeader(headers, "Retry-After");
  int seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::clamp(seconds, 0, 3600) * 1000;
}

Error Refused(int status,
              gsl::span<const http::Header> headers,
              std::string body) {
  const ErrorCode code =
      status == 429 ? ErrorCode::kRateLimited : ErrorCode::kRefused;
  const bool leaving = http::FindHeader(headers, "X-Leaving") == "1";
  return Error{code, std::move(body), RetryAfterMs(headers), status, leaving};
}

ItemState ParseState(std::string_view name) {
  if (name == "READY")
    return ItemState::kReady;
  if (name == "LOADING")
    return ItemState::kLoading;
  if (name == "UNLOADING")
    return ItemState::kUnloading;
  return ItemState::kUnavailable;
}

IndexItem ParseIndexItem(const Json& json) {
  IndexItem item;
  item.name = json.at("name").get<std::string>();
  item.version = json.value("version", "");
  item.state = ParseState(json.at("state").get<std::string>());
  item.memory_mb = json.at("memory_mb").get<std::int64_t>();
  item.adapter = json.value("adapter", false);
  return item;
}

Result<Index> ParseIndex(const std::string& body) {
  try {
    const Json json = Json::parse(body);
    Index index;
    index.boot_id = json.at("boot_id").get<std::string>();
    index.fencing_number = json.value("fencing_number", std::int64_t{0});
    index.leaving = json.value("leaving", false);
    for (const Json& item : json.at("models"))
      index.items.push_back(ParseIndexItem(item));
    return index;
  } catch (const Json::exception& error) {
    return Error{ErrorCode::kInvalid, error.what()};
  }
}

bool ReadMetric(std::string_view line, std::string_view name, double* value) {
  if (line.substr(0, name.size()) != name)
    return false;
  const std::size_t space = line.rfind(' ');
  if (space == std::string_view::npos)
    return false;
  const std::string number(line.substr(space + 1));
  *value = std::strtod(number.c_str(), nullptr);
  return true;
}

http::Request MakeCompletionRequest(const CompletionRequest& completion) {
  http::Request request;
  request.method = "POST";
  request.path = completion.path;
  request.body = completion.body;
  request.headers.push_back({"X-Request-Id", completion.request_id});
  if (completion.resume_after > 0)
    request.headers.push_back(
        {"Last-Event-ID", std::to_string(completion.resume_after)});
  return request;
}

bool EchoMatches(const http::Address& engine,
                 const CompletionRequest& request,
                 gsl::span<const http::Header> headers) {
  const std::string_view echoed = http::FindHeader(headers, "X-Request-Id");
  if (echoed == request.request_id)
    return true;
  LogEvent(kForeignResponse, "engine=" + http::FormatAddress(engine) +
                                 " sent=" + request.request_id +
                                 " echoed=" + std::string(echoed));
  return false;
}

/// Collects what one streamed answer says about itself.
class StreamReader {
 public:
  StreamReader(const http::Address& engine,
               const CompletionRequest& request,
               const CompletionHandler& handler)
      : engine(&engine),
        request(&request),
        handler(&handler),
        last_id(request.resume_after) {}

  bool OnHeader(int new_status, gsl::span<const http::Header> headers) {
    this->status = new_status;
    this->refusal = Refused(new_status, headers, "");
    this->leaving = http::FindHeader(headers, "X-Leaving") == "1";
    this->foreign = !EchoMatches(*this->engine, *this->request, headers);
    if (!this->foreign && this->leaving && this->handler->on_leaving)
      this->handler->on_leaving();
    return !this->foreign;
  }

  bool OnData(std::string_view data) {
    if (this->status >= 400) {
      const std::size_t room = kMaxErrorBytes - this->refusal.message.size();
      this->refusal.message.append(data.substr(0, room));
      return true;
    }
    return this->parser.Feed(data, [this](const StreamEvent& event) {
      return this->OnEvent(event);
    });
  }

  bool OnIdle() {
    if (!this->handler->on_idle || this->handler->on_idle())
      return true;
    this->cancelled = true;
    return false;
  }

  Result<bool> Finish(const Result<int>& outcome) {
    if (this->cancelled)
      return Error{ErrorCode::kConflict, "cancelled by the caller"};
    if (this->foreign)
      return Error{ErrorCode::kUnknown, "response has another request id"};
    if (this->gap)
      return Error{ErrorCode::kUnknown, "an event is missing or doubled"};
    if (this->done)
      return this->leaving;
    if (!outcome && outcome.assume_error().code == ErrorCode::kRefused)
      return Error{ErrorCode::kUnknown, "malformed event stream"};
    if (!outcome)
      return outcome.assume_error();
    if (this->status >= 400)
      return this->refusal;
    return Error{ErrorCode::kUnknown, "stream was cut before [DONE]"};
  }

 private:
  bool OnEvent(const StreamEvent& event) {
    if (this->done)
      return true;
    this->done = event.data == kDone;
    if (this->done)
      return true;
    this->gap = event.id != 0 && event.id != this->last_id + 1;
    if (this->gap) {
      LogEvent(kStreamGap, "engine=" + http::FormatAddress(*this->engine) +
                               " request=" + this->request->request_id +
                               " after=" + std::to_string(this->last_id) +
                               " got=" + std::to_string(event.id));
      return false;
    }
    if (event.id != 0)
      this->last_id = event.id;
    this->cancelled =
        this->handler->on_event && !this->handler->on_event(event);
    return !this->cancelled;
  }

  const http::Address* engine;
  const CompletionRequest* request;
  const CompletionHandler* handler;
  SseParser parser;
  Error refusal;
  std::int64_t last_id;
  int status = 0;
  bool leaving = false;
  bool foreign = false;
  bool cancelled = false;
  bool gap = false;
  bool done = false;
};

}  // namespace

Result<bool> SendCommand(const http::Address& engine,
                         const Command& command,
                         TimePoint deadline,
                         const std::function<bool()>& cancelled) {
  http::Request request =
      command.adapter ? MakeAdapterRequest(command) : MakeModelRequest(command);
  request.headers.push_back(FencingHeader(command.fencing_number));
  http::Response answer;
  http::StreamHandler handler;
  handler.on_header = [&answer](int status,
                                gsl::span<const http::Header> headers) {
    answer.status = status;
    answer.headers.assign(headers.begin(), headers.end());
    return true;
  };
  handler.on_data = [&answer](std::string_view data) {
    const std::size_t room = kMaxErrorBytes - answer.body.size();
    answer.body.append(data.substr(0, room));
    return true;
  };
  handler.on_idle = [&cancelled] { return !cancelled || !cancelled(); };
  const Result<int> outcome =
      http::StreamCall(MakeStateOptions(engine, deadline), request, handler);
  if (!outcome && outcome.assume_error().code == ErrorCode::kRefused)
    return Error{ErrorCode::kUnknown, "cancelled"};
  if (!outcome)
    return outcome.assume_error();
  if (answer.status < 300)
    return true;
  if (answer.status == 409)
    return Error{ErrorCode::kConflict, answer.body};
  // A gateway's 502 or 504 and an engine's 500 leave open what happened.
  if (answer.status >= 500 && answer.status != 503 && answer.status != 507)
    return Error{ErrorCode::kUnknown, answer.body};
  return Refused(answer.status, answer.headers, answer.body);
}

Result<Index> ReadIndex(const http::Address& engine,
                        std::int64_t fencing_number,
                        TimePoint deadline) {
  http::Request request;
  request.method = "POST";
  request.path = "/v2/repository/index";
  request.body = "{}";
  if (fencing_number > 0)
    request.headers.push_back(FencingHeader(fencing_number));
  const Result<http::Response> response =
      http::Call(MakeStateOptions(engine, deadline), request);
  if (!response)
    return response.assume_error();
  const http::Response& answer = response.assume_value();
  if (answer.status == 409)
    return Error{ErrorCode::kConflict, answer.body};
  if (answer.status != 200)
    return Refused(answer.status, answer.headers, answer.body);
  return ParseIndex(answer.body);
}

Result<Load> ReadLoad(const http::Address& engine, TimePoint deadline) {
  http::Request request;
  request.method = "GET";
  request.path = "/metrics";
  const Result<http::Response> response =
      http::Call(MakeStateOptions(engine, deadline), request);
  if (!response)
    return response.assume_error();
  if (response.assume_value().status != 200)
    return Refused(response.assume_value().status, {},
                   response.assume_value().body);
  Load load;
  std::istringstream lines(response.assume_value().body);
  for (std::string line; std::getline(lines, line);) {
    double value = 0;
    if (ReadMetric(line, "engine_running", &value))
      load.running = static_cast<int>(value);
    else if (ReadMetric(line, "engine_waiting", &value))
      load.waiting = static_cast<int>(value);
    else if (ReadMetric(line, "engine_memory_used_mb", &value))
      load.memory_used_mb = static_cast<std::int64_t>(value);
  }
  return load;
}

Result<bool> StreamCompletion(const http::Address& engine,
                              const CompletionRequest& request,
                              const CompletionHandler& handler,
                              TimePoint deadline) {
  StreamReader reader(engine, request, handler);
  http::StreamHandler stream;
  stream.on_header = [&reader](int status,
                               gsl::span<const http::Header> headers) {
    return reader.OnHeader(status, headers);
  };
  stream.on_data = [&reader](std::string_view data) {
    return reader.OnData(data);
  };
  stream.on_idle = [&reader] { return reader.OnIdle(); };
  return reader.Finish(http::StreamCall(
      MakeOptions(engine, deadline), MakeCompletionRequest(request), stream));
}

Result<http::Response> Complete(const http::Address& engine,
                                const CompletionRequest& request,
                                const std::function<bool()>& on_idle,
                                TimePoint deadline) {
  const Result<http::Response> answer = http::Call(
      MakeOptions(engine, deadline), MakeCompletionRequest(request), on_idle);
  if (!answer && answer.assume_error().code == ErrorCode::kRefused)
    return Error{ErrorCode::kConflict, "cancelled by the caller"};
  if (!answer)
    return answer.assume_error();
  const http::Response& response = answer.assume_value();
  if (!EchoMatches(engine, request, response.headers))
    return Error{ErrorCode::kUnknown, "response has another request id"};
  if (response.status >= 400)
    return Refused(response.status, response.headers, response.body);
  return response;
}

}  // namespace coltsfootvane::endpoint
