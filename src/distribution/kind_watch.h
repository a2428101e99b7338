#ifndef COLTSFOOTVANE_DISTRIBUTION_KIND_WATCH_H_
#define COLTSFOOTVANE_DISTRIBUTION_KIND_WATCH_H_

#include <functional>
#include <string>

#include "base/clock.h"
#include "distribution/stop_signal.h"
#include "objectapi/client.h"

namespace coltsfootvane {

/// Follows all objects of one kind.
struct KindWatch {
  std::string kind;
  /// The kind is listed about this often, with jitter, even while watches work.
  /// The list comes up to 1.6 s early if a watch ends then.
  Milliseconds list_interval{0};
  Milliseconds call_timeout{1000};
  std::function<void(const objectapi::ObjectList&)> on_list;
  /// Called with at least one change.
  std::function<void(const objectapi::ChangeBatch&)> on_changes;
};

/// Lists and watches until `stop`. Failed calls are repeated with a backoff;
/// the start and the end of a row of failures are logged.
void RunKindWatch(const KindWatch& watch,
                  const objectapi::Connection& connection,
                  StopSignal* stop);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_DISTRIBUTION_KIND_WATCH_H_
