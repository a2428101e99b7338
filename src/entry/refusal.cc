#include "entry/refusal.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootvane {

Refusal::Refusal(Kind kind,
                 int status,
                 std::string type,
                 std::string message,
                 int retry_after_ms)
    : kind(kind),
      status(status),
      type(std::move(type)),
      message(std::move(message)),
      retry_after_ms(std::max(retry_after_ms, 0)) {}

Refusal Refusal::NotRun(const NotSentProof&,
                        int status,
                        std::string type,
                        std::string message,
                        int retry_after_ms) {
  return {Kind::kNotRun, status, std::move(type), std::move(message),
          retry_after_ms};
}

Refusal Refusal::Unknown(int status,
                         std::string type,
                         std::string message,
                         int retry_after_ms) {
  return {Kind::kUnknown, status, std::move(type), std::move(message),
          retry_after_ms};
}

std::string Refusal::Body() const {
  const char* const run = this->kind == Kind::kNotRun ? "no" : "unknown";
  const nlohmann::ordered_json body = {
      {"error",
       {{"message", this->message}, {"type", this->type}, {"run", run}}}};
  return body.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

http::Response Refusal::ToResponse() const {
  const int seconds =
      this->retry_after_ms / 1000 + (this->retry_after_ms % 1000 == 0 ? 0 : 1);
  http::Response response;
  response.status = this->status;
  response.headers = {{"Content-Type", "application/json"},
                      {"Retry-After", std::to_string(seconds)},
                      {"Retry-After-Ms", std::to_string(this->retry_after_ms)}};
  response.body = this->Body();
  return response;
}

Refusal MakeRefusal(const SendTracker& tracker,
                    int status,
                    std::string type,
                    std::string message,
                    int retry_after_ms) {
  const std::optional<NotSentProof> proof = tracker.Proof();
  if (!proof) {
    return Refusal::Unknown(status, std::move(type), std::move(message),
                            retry_after_ms);
  }
  return Refusal::NotRun(*proof, status, std::move(type), std::move(message),
                         retry_after_ms);
}

}  // namespace coltsfootvane
