#ifndef COLTSFOOTVANE_BASE_RESULT_H_
#define COLTSFOOTVANE_BASE_RESULT_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <string>

namespace coltsfootvane {

enum class ErrorCode {
  kInvalid,      ///< The input is malformed.
  kNotFound,     ///< The object does not exist.
  kConflict,     ///< A conditional write lost, or the name exists already.
  kGone,         ///< A watch version is too old; list again.
  kRateLimited,  ///< The peer asked to come back later.
  kNotSent,      ///< No byte of the request was written to the peer.
  kUnknown,      ///< The request was written; its effect is not known.
  kTimeout,      ///< A local deadline passed before anything was sent.
  kRefused,      ///< The peer answered with a definite refusal.
};

struct Error {
  ErrorCode code = ErrorCode::kUnknown;
  std::string message;
  /// Time to wait before another attempt, in ms; 0 if the peer gave none.
  int retry_after_ms = 0;
  int http_status = 0;            ///< Of an endpoint's refusal; else 0.
  bool endpoint_leaving = false;  ///< The refusal said `X-Leaving: 1`.
};

/// A value or an Error. Reading the wrong one ends the process.
template <class T>
using Result = boost::outcome_v2::
    basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Returns the name of `code` as it appears in logs.
const char* ErrorCodeName(ErrorCode code);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_BASE_RESULT_H_
