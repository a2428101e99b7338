#include "booking_calls.h"

#include <charconv>

#include "http_calls.h"
#include "site.h"

namespace coltsfootvane::testing {
namespace {

void ReadRefusal(Answer* answer) {
  const nlohmann::json body =
      nlohmann::json::parse(answer->body, nullptr, false);
  if (!body.is_object() || !body.contains("error"))
    return;
  answer->run = body["error"].value("run", "");
  answer->type = body["error"].value("type", "");
}

void ReadRetryAfter(std::string_view text, Answer* answer) {
  int seconds = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (error == std::errc() && end == text.data() + text.size())
    answer->retry_after_ms = seconds * 1000;
}

}  // namespace

Answer Ask(const http::Address& to, const http::Request& request) {
  Answer answer;
  const TimePoint start = Clock::now();
  const Result<http::Response> response = Send(to, request);
  answer.time = std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
  if (!response)
    return answer;
  const http::Response& received = response.assume_value();
  answer.status = received.status;
  answer.body = received.body;
  answer.request_id = http::FindHeader(received.headers, "X-Request-Id");
  answer.replayed =
      http::FindHeader(received.headers, "Idempotent-Replayed") == "true";
  ReadRetryAfter(http::FindHeader(received.headers, "Retry-After"), &answer);
  if (answer.status != 200)
    ReadRefusal(&answer);
  return answer;
}

http::Request BookingRequest(const std::string& key, const std::string& body) {
  return {"POST",
          "/booking/bookings",
          "",
          {InteractiveKey(), {"Idempotency-Key", key}},
          body};
}

long CountOf(const nlohmann::json& counts, const std::string& request_id) {
  long sum = 0;
  for (const auto& [attempt, count] : counts.items()) {
    if (attempt.rfind(request_id + "-", 0) == 0)
      sum += count.get<long>();
  }
  return sum;
}

}  // namespace coltsfootvane::testing
