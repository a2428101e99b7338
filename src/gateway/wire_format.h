#ifndef COLTSFOOTVANE_GATEWAY_WIRE_FORMAT_H_
#define COLTSFOOTVANE_GATEWAY_WIRE_FORMAT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/message.h"

namespace coltsfootvane::gateway {

/// A part of a prompt that several requests may share.
struct PromptPart {
  std::uint64_t id = 0;
  int tokens = 0;
};

/// What the head of a caller's request says.
struct RequestInfo {
  std::string id;  ///< Of one attempt of the caller; empty if absent.
  std::string model;
  std::string adapter;  ///< Of the model; empty for the model itself.
  int prompt_tokens = 0;
  int output_tokens = 0;  ///< Expected, else the most allowed.
  std::vector<PromptPart> prompt;
  std::optional<Milliseconds> time_left;     ///< The caller's patience.
  std::optional<std::int64_t> resume_after;  ///< Id of the last event it has.
};

/// What a request to an endpoint says beside what the caller sent.
struct SendOptions {
  std::string endpoint_id;
  Milliseconds time_left{0};
  std::optional<int> urgency;  ///< 0 to 9, 0 first; engines only.
  std::optional<std::int64_t> resume_after;
};

/// What the head of an endpoint's answer says.
struct AnswerInfo {
  std::string request_id;
  bool not_executed = false;    ///< Neither run nor ever will be.
  bool wrong_endpoint = false;  ///< Another process has the address.
  bool lacks_model = false;     ///< The endpoint does not hold the model.
  bool authentic = false;       ///< Bears the endpoint's proof of origin.
  bool encoded = false;         ///< The body is not the endpoint's bytes.
};

/// Translation between the gateway and what callers and endpoints speak.
struct WireFormat {
  RequestInfo (*read_request)(const net::RequestHead& head);
  /// Returns the head for an endpoint; framing fields are the gateway's.
  net::RequestHead (*endpoint_request)(const net::RequestHead& head,
                                       const SendOptions& options);
  AnswerInfo (*read_answer)(const net::ResponseHead& head);
  /// Returns the endpoint's head for the caller; framing is the gateway's.
  net::ResponseHead (*caller_answer)(const net::ResponseHead& head);
  /// Returns the head of an answer of the gateway itself.
  net::ResponseHead (*own_answer)(int status,
                                  const std::string& request_id,
                                  std::optional<Milliseconds> retry_after);
};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_WIRE_FORMAT_H_
