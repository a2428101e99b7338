#include "base/result.h"

namespace coltsfootvane {

const char* ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalid:
      return "invalid";
    case ErrorCode::kNotFound:
      return "not found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kGone:
      return "gone";
    case ErrorCode::kRateLimited:
      return "rate limited";
    case ErrorCode::kNotSent:
      return "not sent";
    case ErrorCode::kUnknown:
      return "unknown";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kRefused:
      return "refused";
  }
  return "invalid error code";
}

}  // namespace coltsfootvane
