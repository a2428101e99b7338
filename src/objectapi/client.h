#ifndef COLTSFOOTVANE_OBJECTAPI_CLIENT_H_
#define COLTSFOOTVANE_OBJECTAPI_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "base/clock.h"
#include "base/result.h"
#include "http/message.h"
#include "objectapi/object.h"

namespace coltsfootvane::objectapi {

/// Limits the calls of one process; shared by its threads.
class CallBudget;

/// What every call needs. Copyable; the budget is shared.
struct Connection {
  http::Address address;
  std::shared_ptr<CallBudget> budget;
};

/// `calls_per_s` bounds the calls a second of this process, with a burst of
/// twice that.
Connection MakeConnection(const http::Address& address, double calls_per_s);

// Every call ends by `deadline`. Errors of all calls: kNotSent (nothing was
// sent, or the budget is used up), kRateLimited (429), kUnknown (a response was
// lost, so a write may have taken effect or may still do so), kInvalid.

/// Also kNotFound.
Result<Object> ReadObject(const Connection& connection,
                          std::string_view kind,
                          std::string_view name,
                          TimePoint deadline);

/// Returns the object as stored. Also kConflict if the name exists.
Result<Object> CreateObject(const Connection& connection,
                            const Object& object,
                            TimePoint deadline);

/// Replaces the spec if the stored version is `object.resource_version`.
/// Also kConflict and kNotFound.
Result<Object> UpdateObject(const Connection& connection,
                            const Object& object,
                            TimePoint deadline);

/// Deletes if the stored version is `object.resource_version`.
/// Also kConflict and kNotFound.
Result<bool> DeleteObject(const Connection& connection,
                          const Object& object,
                          TimePoint deadline);

Result<ObjectList> ListObjects(const Connection& connection,
                               std::string_view kind,
                               TimePoint deadline);

/// Returns at most `limit` objects after those of the page that gave
/// `continue_token`, which is empty for the first page. Also kGone if the token
/// has expired.
Result<ObjectList> ListObjectPage(const Connection& connection,
                                  std::string_view kind,
                                  int limit,
                                  std::string_view continue_token,
                                  TimePoint deadline);

struct WatchHandler {
  /// Called with changes as they arrive. May block: later changes wait.
  std::function<void(const ChangeBatch&)> on_changes;
  /// May be empty; asked about every 100 ms.
  std::function<bool()> cancelled;
};

/// Delivers the changes of `kind` after `resource_version` until the deadline,
/// the platform's end of the watch, or cancellation. Returns the version where
/// the next watch continues. Also kGone: list again. Counts as one waiting call
/// at the platform however many changes come; not in the budget.
Result<std::int64_t> WatchObjects(const Connection& connection,
                                  std::string_view kind,
                                  std::int64_t resource_version,
                                  TimePoint deadline,
                                  const WatchHandler& handler);

}  // namespace coltsfootvane::objectapi

#endif  // COLTSFOOTVANE_OBJECTAPI_CLIENT_H_
