#ifndef COLTSFOOTVANE_OCCUPANCY_PLAIN_RULE_H_
#define COLTSFOOTVANE_OCCUPANCY_PLAIN_RULE_H_

#include <cstddef>
#include <gsl/span>

#include "occupancy/candidates.h"

namespace coltsfootvane::occupancy {

/// Plain services with no more endpoints than this are asked for as a whole.
inline constexpr std::size_t kMaxPlainEndpoints = 8;

/// An endpoint of a plain service as a request finds it.
struct PlainEndpoint {
  int running = 0;  ///< Requests of all daemons.
  int slots = 1;
  int limit = 0;  ///< Of requests, as learned; 0 if not known.
  double penalty_ms = 0;
  bool exact = false;
  bool ejected = false;
  WeightedEndpoint reported;
};

struct PlainRequest {
  double objective_ms = 0;
  double call_ms = 0;  ///< Typical time of a call without waiting.
  double time_left_ms = 0;
  int rank = 0;   ///< 0 is the most urgent.
  int waits = 0;  ///< So far.
  double waited_ms = 0;
  double jitter = 0;  ///< Uniform from 0 to 1.
};

enum class PlainVerdict { kSend, kWait, kRefuse };

struct PlainDecision {
  PlainVerdict verdict = PlainVerdict::kSend;
  std::size_t position = 0;  ///< Of the endpoint, with kSend.
  double wait_ms = 0;        ///< Until the next attempt, with kWait.
  /// With kRefuse, the caller may come back after `earliest_ms` and within
  /// `spread_ms` from then.
  double earliest_ms = 0;
  double spread_ms = 0;
};

/// Returns the expected time, in ms, until a call begins.
double PlainWaitMs(int running, int slots, double call_ms);

/// Returns how long a call takes without waiting, of one that took `elapsed_ms`
/// after it had found `running` others.
double CallMsOf(double elapsed_ms, int running, int slots);

/// Decides where a call goes: to the endpoint with the least expected wait
/// whose queue is not believed full. If all are full, it waits a few times for
/// a short while, urgent ones for less, and is refused after that or when its
/// answer would come too late. The last places are left to more urgent requests
/// as long as the request may still wait. `endpoints` must not be empty.
PlainDecision DecidePlain(gsl::span<const PlainEndpoint> endpoints,
                          const PlainRequest& request);

}  // namespace coltsfootvane::occupancy

#endif  // COLTSFOOTVANE_OCCUPANCY_PLAIN_RULE_H_
