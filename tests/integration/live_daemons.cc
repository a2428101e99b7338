#include "live_daemons.h"

#include <algorithm>
#include <string>

namespace coltsfootvane::testing {

bool AwaitAllLive(const std::vector<std::unique_ptr<GatewayProcess>>& daemons,
                  Milliseconds limit) {
  const std::string all_live =
      "coltsfootvane_live_daemons " + std::to_string(daemons.size()) + "\n";
  const auto knows_all = [&](GatewayProcess* daemon) {
    return daemon->Metrics().find(all_live) != std::string::npos;
  };
  return std::all_of(daemons.begin(), daemons.end(),
                     [&](const std::unique_ptr<GatewayProcess>& daemon) {
                       return daemon->AwaitReady() &&
                              daemon->RunUntil(
                                  [&] { return knows_all(daemon.get()); },
                                  static_cast<int>(limit.count()));
                     });
}

}  // namespace coltsfootvane::testing
