#ifndef COLTSFOOTVANE_STANDINS_FAULT_PROXY_FAULTS_H_
#define COLTSFOOTVANE_STANDINS_FAULT_PROXY_FAULTS_H_

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/result.h"

namespace coltsfootvane::standin {

/// Holds requests back until the rule is absent from the faults. They are
/// delivered on a new connection then, so that they outlive a restart of the
/// target and the end of the client.
struct HoldRule {
  std::string match;  ///< Part of the first bytes, such as the path.
  bool cut = false;   ///< The client's connection is closed at once.
  int count = std::numeric_limits<int>::max();  ///< Requests held at most.
};

/// The faults of `POST /control/faults`. Absent members are off.
struct ProxyFaults {
  Milliseconds delay{0};  ///< Before a connection's first request byte.
  /// Each connection is cut after that many response bytes; 0 for never.
  std::int64_t cut_after_bytes = 0;
  int dropped_responses = 0;  ///< Connections left whose response is dropped.
  bool refuse = false;        ///< Connection refused.
  bool blackhole = false;     ///< Accept, but forward nothing.
  std::vector<HoldRule> holds;
};

/// Errors: kInvalid, also for an unknown member.
Result<ProxyFaults> ParseProxyFaults(std::string_view json);

}  // namespace coltsfootvane::standin

#endif  // COLTSFOOTVANE_STANDINS_FAULT_PROXY_FAULTS_H_
