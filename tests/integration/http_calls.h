#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_HTTP_CALLS_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_HTTP_CALLS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/result.h"
#include "http/client.h"
#include "http/message.h"

namespace coltsfootvane::testing {

/// Sends one request with a deadline of 30 s.
Result<http::Response> Send(const http::Address& to,
                            const http::Request& request);
Result<http::Response> Get(const http::Address& to, const std::string& path);
Result<http::Response> PostJson(const http::Address& to,
                                const std::string& path,
                                const nlohmann::json& body,
                                std::vector<http::Header> headers = {});

/// Returns the JSON body of GET `path`, or null on any failure.
nlohmann::json GetJson(const http::Address& to, const std::string& path);

/// Sets faults of a stand-in; fails the test if it does not answer 200.
void SetFaults(const http::Address& to, const nlohmann::json& faults);

/// One server-sent event as it reached the caller.
struct ReceivedEvent {
  std::string id;
  std::string type;
  std::string data;
  TimePoint arrival;
};

struct ReceivedStream {
  int status = 0;
  std::vector<http::Header> headers;
  std::vector<ReceivedEvent> events;
  std::string raw;
  bool whole = false;  ///< The transfer ended as a whole.
  bool done = false;   ///< `[DONE]` was received.
  TimePoint started;
};

/// Reads a streamed answer; `on_event` (may be empty) runs on each event and
/// returns false to close the connection.
ReceivedStream ReadStream(
    const http::Address& to,
    const http::Request& request,
    const std::function<bool(const ReceivedEvent&)>& on_event = {},
    int timeout_ms = 30000);

/// Returns a streamed chat request for `model`.
http::Request ChatRequest(const std::string& model,
                          const std::string& prompt,
                          int max_tokens,
                          bool stream = true);

/// Joins the text of all data events of a stream.
std::string StreamText(const ReceivedStream& stream);

/// Writes the VM of `endpoint` into the platform's list; `state` is `live` or
/// `leaving`.
void ListVm(const http::Address& platform,
            const std::string& endpoint,
            const char* state);

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_HTTP_CALLS_H_
