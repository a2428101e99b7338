#ifndef COLTSFOOTVANE_ORDERS_ADAPTER_CHOICE_H_
#define COLTSFOOTVANE_ORDERS_ADAPTER_CHOICE_H_

#include <gsl/span>
#include <string>

#include "base/clock.h"

namespace coltsfootvane::orders {

/// An adapter that an engine has loaded.
struct AdapterUse {
  std::string name;        ///< As `model/adapter`.
  double demand = 0;       ///< Over all daemons, as far as they have reported.
  TimePoint requested_at;  ///< When a daemon last asked for it.
};

/// Returns whether a daemon has asked for the adapter so recently that its
/// requests may not have begun, and that reports may not show them yet.
bool IsRecent(const AdapterUse& adapter, TimePoint now);

/// Returns the adapter to unload so that another one has room, or nullptr if
/// there is none: the one with the least demand. Those asked for recently come
/// last, the earliest of them first.
const AdapterUse* ChooseVictim(gsl::span<const AdapterUse> adapters,
                               TimePoint now);

}  // namespace coltsfootvane::orders

#endif  // COLTSFOOTVANE_ORDERS_ADAPTER_CHOICE_H_
