#include "http_calls.h"

#include <functional>
#include <utility>

#include "process.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::testing {
namespace {

constexpr int kCallTimeoutMs = 30000;
constexpr char kVmPath[] = "/apis/coltsfootvane/v1/vms";

void ParseEvent(std::string_view block, ReceivedEvent* event) {
  while (!block.empty()) {
    const std::size_t end = block.find('\n');
    const std::string_view line = block.substr(0, end);
    block.remove_prefix(end == std::string_view::npos ? block.size() : end + 1);
    const std::size_t colon = line.find(": ");
    if (colon == std::string_view::npos)
      continue;
    const std::string value(line.substr(colon + 2));
    if (line.substr(0, colon) == "id")
      event->id = value;
    if (line.substr(0, colon) == "event")
      event->type = value;
    if (line.substr(0, colon) == "data")
      event->data = value;
  }
}

}  // namespace

Result<http::Response> Send(const http::Address& to,
                            const http::Request& request) {
  return http::Call({to, In(5000), In(kCallTimeoutMs)}, request);
}

Result<http::Response> Get(const http::Address& to, const std::string& path) {
  return Send(to, {"GET", path, "", {}, ""});
}

Result<http::Response> PostJson(const http::Address& to,
                                const std::string& path,
                                const nlohmann::json& body,
                                std::vector<http::Header> headers) {
  return Send(to, {"POST", path, "", std::move(headers), body.dump()});
}

nlohmann::json GetJson(const http::Address& to, const std::string& path) {
  const Result<http::Response> response = Get(to, path);
  if (!response || response.assume_value().status != 200)
    return nullptr;
  return nlohmann::json::parse(response.assume_value().body, nullptr, false);
}

void SetFaults(const http::Address& to, const nlohmann::json& faults) {
  const Result<http::Response> response =
      PostJson(to, "/control/faults", faults);
  CHECK_TEXT(response && response.assume_value().status == 200,
             faults.dump().c_str());
}

ReceivedStream ReadStream(
    const http::Address& to,
    const http::Request& request,
    const std::function<bool(const ReceivedEvent&)>& on_event,
    int timeout_ms) {
  ReceivedStream stream;
  stream.started = Clock::now();
  std::string pending;
  http::StreamHandler handler;
  handler.on_header = [&](int status, gsl::span<const http::Header> headers) {
    stream.status = status;
    stream.headers.assign(headers.begin(), headers.end());
    return true;
  };
  handler.on_data = [&](std::string_view data) {
    stream.raw.append(data);
    pending.append(data);
    for (std::size_t end; (end = pending.find("\n\n")) != std::string::npos;) {
      ReceivedEvent event;
      ParseEvent(pending.substr(0, end), &event);
      event.arrival = Clock::now();
      pending.erase(0, end + 2);
      stream.done = stream.done || event.data == "[DONE]";
      stream.events.push_back(event);
      if (on_event && !on_event(event))
        return false;
    }
    return true;
  };
  const Result<int> result =
      http::StreamCall({to, In(5000), In(timeout_ms)}, request, handler);
  stream.whole = result.has_value();
  return stream;
}

http::Request ChatRequest(const std::string& model,
                          const std::string& prompt,
                          int max_tokens,
                          bool stream) {
  const nlohmann::json body = {
      {"model", model},
      {"messages", {{{"role", "user"}, {"content", prompt}}}},
      {"max_tokens", max_tokens},
      {"stream", stream},
      {"seed", 7}};
  return {"POST",
          "/v1/chat/completions",
          "",
          {{"Content-Type", "application/json"}},
          body.dump()};
}

std::string StreamText(const ReceivedStream& stream) {
  std::string text;
  for (const ReceivedEvent& event : stream.events) {
    const nlohmann::json chunk =
        nlohmann::json::parse(event.data, nullptr, false);
    if (chunk.is_discarded() || !chunk.contains("choices"))
      continue;
    const nlohmann::json& choice = chunk["choices"][0];
    if (choice.contains("delta"))
      text += choice["delta"].value("content", "");
    else
      text += choice.value("text", "");
  }
  return text;
}

void ListVm(const http::Address& platform,
            const std::string& endpoint,
            const char* state) {
  const std::string path = std::string(kVmPath) + "/vm-" + endpoint;
  nlohmann::json object = {
      {"metadata", {{"name", "vm-" + endpoint}}},
      {"spec", {{"state", state}, {"endpoint", endpoint}}}};
  const nlohmann::json known = GetJson(platform, path);
  if (!known.is_null())
    object["metadata"]["resourceVersion"] =
        known["metadata"]["resourceVersion"];
  const Result<http::Response> response =
      Send(platform, {known.is_null() ? "POST" : "PUT",
                      known.is_null() ? kVmPath : path,
                      "",
                      {{"Content-Type", "application/json"}},
                      object.dump()});
  CHECK(response && response.assume_value().status < 300);
}

}  // namespace coltsfootvane::testing
