#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_LIVE_DAEMONS_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_LIVE_DAEMONS_H_

#include <memory>
#include <vector>

#include "base/clock.h"
#include "gateway_process.h"

namespace coltsfootvane::testing {

/// Waits until the daemons, which have been started, are ready and know each
/// other. Returns whether all of them are; `limit` is for each one.
bool AwaitAllLive(const std::vector<std::unique_ptr<GatewayProcess>>& daemons,
                  Milliseconds limit);

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_LIVE_DAEMONS_H_
