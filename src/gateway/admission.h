#ifndef COLTSFOOTVANE_GATEWAY_ADMISSION_H_
#define COLTSFOOTVANE_GATEWAY_ADMISSION_H_

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "gateway/routing_table.h"

namespace coltsfootvane::gateway {

/// Expected waits for the first event at the chosen engine, in ms.
struct ExpectedWaits {
  double ms = 0;
  double yielding_ms = 0;  ///< If the request yields to others.
  /// Time until a slot is free, by exact figures; see Choice.
  std::optional<double> begin_ms = {};
  std::optional<double> yielding_begin_ms = {};
};

struct Admission {
  bool admitted = true;
  /// The first event cannot come within the latency objective. The engine
  /// begins such a request after those for which it still can; see UrgencyOf().
  bool deferred = false;
  /// The engine interrupts it for requests that can meet a near objective: it
  /// is deferred, or its own objective is far off.
  bool yields = false;
  Milliseconds retry_after{0};  ///< Earliest useful retry, if not admitted.
};

/// When a refused caller may come back: within `spread` after `earliest`, both
/// from now. The spread keeps callers that were refused for the same reason
/// from returning all at once.
struct ReturnTime {
  Milliseconds earliest{0};
  Milliseconds spread{0};
};

/// Where the last refused caller returns within its spread, in units of 2^-64
/// of it. It starts at random, so that daemons differ.
struct ReturnSequence {
  std::uint64_t position = 0;
};

/// Returns when the next refused caller may come back, from now. Callers that
/// are refused one after the other return evenly over the spread, where times
/// drawn at random would let many of them return together.
Milliseconds NextReturn(const ReturnTime& time, ReturnSequence* sequence);

/// Returns a time around an estimated wait.
ReturnTime ReturnAfter(Milliseconds wait);

/// Returns a time after the end of a pause that began at `since`. Callers that
/// were refused during a pause return over as long a time as it has lasted, but
/// not so late that they cannot be served within `time_left`.
ReturnTime ReturnAfterPause(TimePoint since,
                            TimePoint until,
                            TimePoint now,
                            Milliseconds time_left);

/// Decides on arrival whether an engine can start a request soon enough. In an
/// overload, a queue that is longer than the latency objective would make every
/// request late. Requests that are late anyway are deferred, so that the others
/// remain on time. `caller_time_left` is how long the caller said to wait, if
/// it did: one that has waited for longer than the objective is late. By exact
/// figures an engine gets no more requests than its slots and those that can
/// begin within the objective: further ones would only make it interrupt runs
/// and read their prompts again. Requests of a team over its share of the
/// capacity yield sooner than others and wait less.
Admission Admit(const Route& route,
                const ExpectedWaits& waits,
                Milliseconds time_left,
                std::optional<Milliseconds> caller_time_left,
                bool over_share = false);

/// Returns whether a plain service has no capacity left for a team over its
/// share.
bool ExceedsShare(const Route& route, double wait_ms);

/// Returns the urgency of a request at an engine, from 0 to 9. Requests that
/// can meet their objective come first, by `rank`, and deferred ones after all
/// of them: an engine interrupts requests for more urgent ones, so that a late
/// one of a high rank would make others late too. Requests whose objective is
/// far off can wait without harm and come last.
int UrgencyOf(const Route& route, int rank, bool deferred);

/// Returns whether the objective of the route is so far off that its requests
/// yield to others even if they can meet it.
bool HasFarObjective(const Route& route);

/// Returns the retry delay for a model that no endpoint has loaded. `model` may
/// be nullptr.
Milliseconds RetryAfterLoad(const EngineModel* model);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_ADMISSION_H_
