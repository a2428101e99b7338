#ifndef COLTSFOOTVANE_TOOLS_HOLDER_SIMULATION_SIMULATION_H_
#define COLTSFOOTVANE_TOOLS_HOLDER_SIMULATION_SIMULATION_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace coltsfootvane::tools {

/// How the lease holders tell all daemons where adapters are, and how many
/// holders there are.
enum class HolderDesign {
  kAllPlacements,  ///< One holder sends all placements at each change.
  kBoundedNews,    ///< One holder sends changes, within a bound on its bytes.
  kParts,          ///< As before, with one holder for each part of the engines.
};

const char* DesignName(HolderDesign design);

/// A fleet without a network: daemons that ask holders for adapters, and
/// engines that load them.
struct HolderScene {
  HolderDesign design = HolderDesign::kBoundedNews;
  std::size_t daemons = 13;
  std::uint32_t engines = 9;
  std::size_t adapters = 56;
  std::size_t adapter_slots = 8;  ///< Of an engine.
  double requests_per_s = 20;     ///< For adapters, of all daemons together.
  std::uint32_t engines_per_part = 160;  ///< Of HolderDesign::kParts.
  double processor_share = 0.1;          ///< Of a core, for each daemon.
  double link_bytes_per_s = 1'250'000;   ///< Of each daemon.
  Milliseconds length{20'000};
  std::uint64_t seed = 1;
};

/// What the scene came to.
struct HolderResult {
  std::size_t requests = 0;
  std::size_t in_time = 0;       ///< Answered before the caller's objective.
  std::size_t never_served = 0;  ///< Adapters of which no request was in time.
  std::size_t asked_for = 0;     ///< Adapters.
  double orders_per_s = 0;
  double processor_share = 0;     ///< Of a core, of the busiest holder.
  double link_share = 0;          ///< Of its link, of the busiest holder.
  double store_writes_per_s = 0;  ///< To renew leases.
};

HolderResult Simulate(const HolderScene& scene);

}  // namespace coltsfootvane::tools

#endif  // COLTSFOOTVANE_TOOLS_HOLDER_SIMULATION_SIMULATION_H_
