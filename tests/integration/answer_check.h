#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_ANSWER_CHECK_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_ANSWER_CHECK_H_

#include <cstdint>
#include <string>

#include "http/message.h"
#include "http_calls.h"

namespace coltsfootvane::testing {

/// What a caller can say of the answer to one completion.
enum class Answer {
  kComplete,  ///< Every byte as the engine would have sent it.
  kFailed,    ///< A right beginning, then an `error` event and no `[DONE]`.
  kRefused,   ///< A refusal that says whether the request was run.
  kBroken,    ///< The connection broke before the end of the answer.
  kWrong,     ///< Bytes that do not belong to this request, or a false end.
};

struct CheckedAnswer {
  Answer answer = Answer::kWrong;
  std::string detail;        ///< Why it is not complete.
  std::int64_t last_id = 0;  ///< Of the right beginning.
  std::string seed;          ///< Header `X-Seed`.
};

/// Returns event `n`, and the whole answer, that the engine stand-in sends for
/// the chat request `request` when it was sent under the id `attempt`. `seed`
/// is used if the request has none.
std::string ExpectedEvent(const http::Request& request,
                          const std::string& attempt,
                          std::int64_t n,
                          const std::string& seed = "");
std::string ExpectedWhole(const http::Request& request,
                          const std::string& attempt,
                          const std::string& seed = "");

/// Compares each byte of the streamed answer to the chat request `request`
/// with what the engine stand-in sends for it after event `resume_after`.
CheckedAnswer CheckStream(const ReceivedStream& stream,
                          const http::Request& request,
                          std::int64_t resume_after = 0);

/// The same for the answer to a chat request that is not streamed.
CheckedAnswer CheckWhole(const Result<http::Response>& response,
                         const http::Request& request);

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_ANSWER_CHECK_H_
