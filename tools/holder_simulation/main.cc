#include <easylogging++.h>

#include <cstdio>

#include "tools/holder_simulation/simulation.h"

INITIALIZE_EASYLOGGINGPP

using coltsfootvane::tools::HolderDesign;
using coltsfootvane::tools::HolderResult;
using coltsfootvane::tools::HolderScene;

namespace {

struct Size {
  std::size_t daemons;
  std::uint32_t engines;
  std::size_t adapters;
  double requests_per_s;
};

constexpr Size kSizes[] = {{13, 13, 77, 20},
                           {93, 93, 400, 110},
                           {295, 160, 774, 215},
                           {320, 1300, 3000, 1200}};

void Print(const Size& size, HolderDesign design) {
  HolderScene scene;
  scene.design = design;
  scene.daemons = size.daemons;
  scene.engines = size.engines;
  scene.adapters = size.adapters;
  scene.requests_per_s = size.requests_per_s;
  const HolderResult result = Simulate(scene);
  std::printf(
      "engines=%u daemons=%zu design=\"%s\" in_time=%.3f never_served=%zu/%zu "
      "orders_per_s=%.0f processor=%.4f link=%.3f store_writes_per_s=%.1f\n",
      size.engines, size.daemons, DesignName(design),
      static_cast<double>(result.in_time) /
          static_cast<double>(result.requests),
      result.never_served, result.asked_for, result.orders_per_s,
      result.processor_share, result.link_share, result.store_writes_per_s);
}

}  // namespace

/// Compares designs of lease holders at several sizes of a fleet.
int main() {
  for (const Size& size : kSizes) {
    for (const HolderDesign design :
         {HolderDesign::kAllPlacements, HolderDesign::kBoundedNews,
          HolderDesign::kParts})
      Print(size, design);
  }
  return 0;
}
