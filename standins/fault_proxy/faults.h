#ifndef COLTSFOOTVANE_STANDINS_FAULT_PROXY_FAULTS_H_
#define COLTSFOOTVANE_STANDINS_FAULT_PROXY_FAULTS_H_

#include <cstdint>
#include <string_view>

#include "base/clock.h"
#include "base/result.h"

namespace coltsfootvane::standin {

/// The faults of `POST /control/faults`. Absent members are off.
struct ProxyFaults {
  Milliseconds delay{0};  ///< Before a connection's first request byte.
  /// Each connection is cut after that many response bytes; 0 for never.
  std::int64_t cut_after_bytes = 0;
  int dropped_responses = 0;  ///< Connections left whose response is dropped.
  bool refuse = false;        ///< Connection refused.
  bool blackhole = false;     ///< Accept, but forward nothing.
};

/// Errors: kInvalid, also for an unknown member.
Result<ProxyFaults> ParseProxyFaults(std::string_view json);

}  // namespace coltsfootvane::standin

#endif  // COLTSFOOTVANE_STANDINS_FAULT_PROXY_FAULTS_H_
