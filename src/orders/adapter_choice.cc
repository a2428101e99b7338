#include "orders/adapter_choice.h"

#include <tuple>

namespace coltsfootvane::orders {
namespace {

/// Reports of hundreds of daemons are seconds old.
constexpr Milliseconds kRecently{3000};

}  // namespace

bool IsRecent(const AdapterUse& adapter, TimePoint now) {
  return adapter.requested_at != TimePoint() &&
         now < adapter.requested_at + kRecently;
}

const AdapterUse* ChooseVictim(gsl::span<const AdapterUse> adapters,
                               TimePoint now) {
  const auto rank = [now](const AdapterUse& adapter) {
    const bool recent = IsRecent(adapter, now);
    return std::tuple(recent, recent ? 0 : adapter.demand,
                      adapter.requested_at);
  };
  const AdapterUse* victim = nullptr;
  for (const AdapterUse& adapter : adapters) {
    if (victim == nullptr || rank(adapter) < rank(*victim))
      victim = &adapter;
  }
  return victim;
}

}  // namespace coltsfootvane::orders
