#include "answer_check.h"

#include <utility>

#include "standins/engine_standin/expected_token.h"

namespace coltsfootvane::testing {
namespace {

using Json = nlohmann::json;

/// The request as the engine sees it, for the expected tokens.
struct Sent {
  std::string text_key;
  std::string model;
  std::int64_t tokens = 0;
};

Sent ParseSent(const http::Request& request, const std::string& seed) {
  Json body = Json::parse(request.body);
  if (!body.contains("seed"))
    body["seed"] = seed.empty() ? 0 : std::stoll(seed);
  return {standins::TextKey(body), body["model"], body["max_tokens"]};
}

CheckedAnswer Wrong(CheckedAnswer checked, std::string detail) {
  checked.answer = Answer::kWrong;
  checked.detail = std::move(detail);
  return checked;
}

/// The attempt's id that the answer names, if it belongs to `request_id`.
std::string FindAttempt(const std::string& data, std::string_view request_id) {
  const Json value = Json::parse(data, nullptr, false);
  if (!value.is_object() || !value.contains("id") || !value["id"].is_string())
    return {};
  std::string id = value["id"];
  const std::string prefix = std::string(request_id) + "-";
  return id.rfind(prefix, 0) == 0 ? id : std::string();
}

CheckedAnswer CheckRefusal(int status, const std::string& body) {
  const Json value = Json::parse(body, nullptr, false);
  const bool states_run = value.is_object() && value.contains("error") &&
                          value["error"].is_object() &&
                          value["error"].contains("run");
  CheckedAnswer checked;
  checked.answer = states_run ? Answer::kRefused : Answer::kWrong;
  checked.detail = std::to_string(status) + " " + body;
  return checked;
}

/// Judges the bytes after the last expected event.
CheckedAnswer CheckEnd(const ReceivedStream& stream,
                       const Sent& sent,
                       std::string_view rest,
                       CheckedAnswer checked) {
  constexpr std::string_view kError = "event: error\ndata: ";
  if (rest == "data: [DONE]\n\n") {
    if (checked.last_id != sent.tokens)
      return Wrong(checked, "done after " + std::to_string(checked.last_id));
    if (!stream.whole)
      return Wrong(checked, "no last chunk after [DONE]");
    checked.answer = Answer::kComplete;
    return checked;
  }
  if (rest.substr(0, kError.size()) == kError &&
      rest.find("\n\n") == rest.size() - 2) {
    checked.answer = Answer::kFailed;
    checked.detail = rest;
    return checked;
  }
  if (stream.whole)
    return Wrong(checked, "ended without [DONE] or error, after " +
                              std::to_string(checked.last_id) + ": " +
                              std::string(rest));
  checked.answer = Answer::kBroken;
  checked.detail = "cut after event " + std::to_string(checked.last_id);
  return checked;
}

}  // namespace

std::string ExpectedEvent(const http::Request& request,
                          const std::string& attempt,
                          std::int64_t n,
                          const std::string& seed) {
  const Sent sent = ParseSent(request, seed);
  Json choice = {{"index", 0}, {"finish_reason", nullptr}};
  choice["delta"] = {{"content", standins::TokenOf(sent.text_key, n)}};
  if (n == sent.tokens)
    choice["finish_reason"] = "length";
  const Json chunk = {{"id", attempt},
                      {"object", "chat.completion.chunk"},
                      {"model", sent.model},
                      {"choices", Json::array({choice})}};
  return "id: " + std::to_string(n) + "\ndata: " + chunk.dump() + "\n\n";
}

std::string ExpectedWhole(const http::Request& request,
                          const std::string& attempt,
                          const std::string& seed) {
  const Sent sent = ParseSent(request, seed);
  std::string text;
  for (std::int64_t n = 1; n <= sent.tokens; ++n)
    text += standins::TokenOf(sent.text_key, n);
  Json choice = {{"index", 0}, {"finish_reason", "length"}};
  choice["message"] = {{"role", "assistant"}, {"content", text}};
  const Json chunk = {{"id", attempt},
                      {"object", "chat.completion"},
                      {"model", sent.model},
                      {"choices", Json::array({choice})}};
  return chunk.dump();
}

CheckedAnswer CheckStream(const ReceivedStream& stream,
                          const http::Request& request,
                          std::int64_t resume_after) {
  if (stream.status == 0) {
    CheckedAnswer checked;
    checked.answer = Answer::kBroken;
    checked.detail = "no answer";
    return checked;
  }
  if (stream.status != 200)
    return CheckRefusal(stream.status, stream.raw);
  CheckedAnswer checked;
  checked.seed = http::FindHeader(stream.headers, "X-Seed");
  checked.last_id = resume_after;
  const Sent sent = ParseSent(request, checked.seed);
  const std::string_view request_id =
      http::FindHeader(stream.headers, "X-Request-Id");
  std::string_view rest = stream.raw;
  for (const ReceivedEvent& event : stream.events) {
    if (event.id.empty())
      break;
    const std::int64_t n = checked.last_id + 1;
    const std::string attempt = FindAttempt(event.data, request_id);
    const std::string expected =
        ExpectedEvent(request, attempt, n, checked.seed);
    if (attempt.empty() || rest.substr(0, expected.size()) != expected)
      return Wrong(checked, "expected " + expected + " got " +
                                std::string(rest.substr(0, expected.size())));
    rest.remove_prefix(expected.size());
    checked.last_id = n;
  }
  return CheckEnd(stream, sent, rest, checked);
}

CheckedAnswer CheckWhole(const Result<http::Response>& response,
                         const http::Request& request) {
  CheckedAnswer checked;
  if (!response) {
    checked.answer = Answer::kBroken;
    checked.detail = response.assume_error().message;
    return checked;
  }
  const http::Response& answer = response.assume_value();
  if (answer.status != 200)
    return CheckRefusal(answer.status, answer.body);
  checked.seed = http::FindHeader(answer.headers, "X-Seed");
  const Sent sent = ParseSent(request, checked.seed);
  const std::string attempt = FindAttempt(
      answer.body, http::FindHeader(answer.headers, "X-Request-Id"));
  const std::string expected = ExpectedWhole(request, attempt, checked.seed);
  if (attempt.empty() || expected != answer.body)
    return Wrong(checked, "expected " + expected + " got " + answer.body);
  checked.last_id = sent.tokens;
  checked.answer = Answer::kComplete;
  return checked;
}

}  // namespace coltsfootvane::testing
