#ifndef COLTSFOOTVANE_STALL_ANSWER_ARRIVAL_H_
#define COLTSFOOTVANE_STALL_ANSWER_ARRIVAL_H_

#include "base/clock.h"

namespace coltsfootvane::stall {

/// No process ends and is replaced at its address sooner.
inline constexpr Milliseconds kMinRestartTime{400};
/// Within this time an endpoint that has started again checks in, and this
/// daemon has heard of it. Endpoints check in each 1,200 ms.
inline constexpr Milliseconds kRestartKnown{1500};

/// When the bytes of an answer arrived.
struct AnswerArrival {
  TimePoint last_bytes;  ///< Or the send of the request.
  /// Arrival of the last bytes that came after a silence of kMinRestartTime,
  /// also one in which this daemon did not run.
  TimePoint silence_ended;
};

inline void RecordArrival(AnswerArrival* arrival, TimePoint now) {
  if (now - arrival->last_bytes >= kMinRestartTime)
    arrival->silence_ended = now;
  arrival->last_bytes = now;
}

/// Returns whether the endpoint may have ended within the answer and been
/// replaced before the end of the connection was seen at `now`: there was a
/// silence just before. Bytes that were delayed arrive together with the end.
inline bool MayHideRestart(const AnswerArrival& arrival, TimePoint now) {
  return now - arrival.last_bytes >= kMinRestartTime ||
         now - arrival.silence_ended < kMinRestartTime;
}

}  // namespace coltsfootvane::stall

#endif  // COLTSFOOTVANE_STALL_ANSWER_ARRIVAL_H_
