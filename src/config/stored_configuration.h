#ifndef COLTSFOOTVANE_CONFIG_STORED_CONFIGURATION_H_
#define COLTSFOOTVANE_CONFIG_STORED_CONFIGURATION_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <thread>

#include "base/clock.h"
#include "base/result.h"
#include "config/bundle.h"
#include "objectapi/client.h"
#include "objectapi/retry.h"

namespace coltsfootvane {

/// The head at the platform with its resource version. Both versions are 0
/// while there is none.
struct StoredHead {
  ConfigurationHead head;
  std::int64_t resource_version = 0;
  std::string spec;  ///< The head as stored, members unknown here included.
};

/// Repeats until `deadline`. Errors as objectapi::ReadObject() but kNotFound;
/// kInvalid if the head is malformed.
Result<StoredHead> ReadStoredHead(const objectapi::Connection& connection,
                                  TimePoint deadline);

/// Reads the parts that `head` names; version 0 has none. Repeats until
/// `deadline`. Errors as objectapi::ReadObject(); kInvalid if the digest
/// differs from the head's.
Result<Bundle> ReadStoredBundle(const objectapi::Connection& connection,
                                const ConfigurationHead& head,
                                TimePoint deadline);

/// Returns whether a call that failed with `code` may succeed later.
bool IsTransient(ErrorCode code);

/// Waits before attempt `attempt` + 1. Returns false, without waiting, if the
/// wait would end after `deadline`.
bool WaitForRetry(int attempt, const Error& error, TimePoint deadline);

/// Returns the deadline of one attempt, so that one lost response leaves time
/// for another attempt.
TimePoint AttemptDeadline(TimePoint deadline);

/// Repeats `call(attempt deadline)`, which must be idempotent, until it
/// succeeds, fails for good or `deadline` passes.
template <class Call>
auto RetryUntil(TimePoint deadline, const Call& call) {
  for (int attempt = 1;; ++attempt) {
    auto result = call(AttemptDeadline(deadline));
    if (result || !IsTransient(result.error().code) ||
        !WaitForRetry(attempt, result.error(), deadline))
      return result;
  }
}

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_CONFIG_STORED_CONFIGURATION_H_
