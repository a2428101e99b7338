#ifndef COLTSFOOTVANE_GATEWAY_WIRE_FORMAT_H_
#define COLTSFOOTVANE_GATEWAY_WIRE_FORMAT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "gateway/endpoint_notice.h"
#include "net/message.h"

namespace coltsfootvane::gateway {

/// A part of a prompt that requests may have in common.
struct PromptPart {
  std::uint64_t id = 0;
  int tokens = 0;
};

/// Parsed head of a caller's request.
struct RequestInfo {
  std::string id;  ///< Differs between a caller's attempts; may be empty.
  std::string model;
  std::string adapter;  ///< Empty for the model itself.
  int prompt_tokens = 0;
  int output_tokens = 0;  ///< Expected, otherwise the maximum allowed.
  /// Of the prompt and of the longest output allowed, if the request states it.
  std::optional<double> quota_tokens;
  std::string key;  ///< API key; empty if there is none or more than one.
  std::vector<PromptPart> prompt;
  std::optional<Milliseconds> time_left;     ///< Until the caller's deadline.
  std::optional<std::int64_t> resume_after;  ///< Id of the last event received.
};

/// What the gateway adds to a request for an endpoint.
struct SendOptions {
  std::string endpoint_id;
  Milliseconds time_left{0};
  std::optional<int> urgency;  ///< 0 (most urgent) to 9; engines only.
  std::optional<std::int64_t> resume_after;
  /// The configuration has teams: endpoints get no key, and the name of a team
  /// from the gateway only.
  bool has_teams = false;
  std::string_view team;  ///< Name of the request's team; may be empty.
};

/// Parsed head of an endpoint's answer.
struct AnswerInfo {
  std::string request_id;
  bool not_executed = false;    ///< It was not and will not be executed.
  bool wrong_endpoint = false;  ///< Another process has this address.
  bool lacks_model = false;     ///< The model or adapter is not loaded.
  bool authentic = false;       ///< Has the endpoint's signature.
  bool encoded = false;         ///< The body has a content coding.
  EndpointNotice notice;        ///< Not of another process; see above.
};

/// Translates between the gateway and the protocols of callers and endpoints.
struct WireFormat {
  RequestInfo (*read_request)(const net::RequestHead& head);
  /// Returns the head for an endpoint. The gateway adds the framing fields.
  net::RequestHead (*endpoint_request)(const net::RequestHead& head,
                                       const SendOptions& options);
  AnswerInfo (*read_answer)(const net::ResponseHead& head);
  /// Returns the head for the caller. The gateway adds the framing fields.
  net::ResponseHead (*caller_answer)(const net::ResponseHead& head);
  /// Returns the head of an answer that the gateway generates itself.
  net::ResponseHead (*gateway_answer)(int status,
                                      const std::string& request_id,
                                      std::optional<Milliseconds> retry_after);
};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_WIRE_FORMAT_H_
