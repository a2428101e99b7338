#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_BOOKING_CALLS_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_BOOKING_CALLS_H_

#include <nlohmann/json.hpp>
#include <string>

#include "base/clock.h"
#include "http/message.h"

namespace coltsfootvane::testing {

/// What a caller learned from one call.
struct Answer {
  int status = 0;    ///< 0: the connection broke before a whole answer.
  std::string run;   ///< Of a refusal: `no`, `unknown` or `yes`; else empty.
  std::string type;  ///< Of a refusal.
  std::string request_id;
  std::string body;
  int retry_after_ms = -1;  ///< -1: no `Retry-After`.
  bool replayed = false;
  Milliseconds time{0};  ///< From the start of the call to its answer.

  bool IsNotRun() const { return this->run == "no"; }
  bool IsFinal() const { return this->status == 200 || this->run == "yes"; }
};

/// Sends `request` and reads its answer, streamed or not.
Answer Ask(const http::Address& to, const http::Request& request);

http::Request BookingRequest(const std::string& key, const std::string& body);

/// Returns the effects, over all attempts, of the call with `request_id`;
/// `counts` are those per attempt.
long CountOf(const nlohmann::json& counts, const std::string& request_id);

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_BOOKING_CALLS_H_
