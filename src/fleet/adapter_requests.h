#ifndef COLTSFOOTVANE_FLEET_ADAPTER_REQUESTS_H_
#define COLTSFOOTVANE_FLEET_ADAPTER_REQUESTS_H_

#include <memory>

#include "base/clock.h"
#include "gateway/gateway.h"
#include "net/timer.h"

namespace coltsfootvane::fleet {

/// A request to the lease holder that has no answer yet.
struct PendingAdapter {
  gateway::AdapterWanted wanted;
  gateway::AdapterHandler done;
  std::unique_ptr<net::Timer> timer;
  int sends = 0;
};

/// Returns when to send a request again that has been sent `sends` times. The
/// pauses grow, as a holder may be busy, or be replaced.
TimePoint NextSend(int sends, TimePoint now);

}  // namespace coltsfootvane::fleet

#endif  // COLTSFOOTVANE_FLEET_ADAPTER_REQUESTS_H_
