#ifndef COLTSFOOTVANE_ORDERS_METERED_ACCESS_H_
#define COLTSFOOTVANE_ORDERS_METERED_ACCESS_H_

#include "orders/order.h"

namespace prometheus {
class Registry;
}

namespace coltsfootvane::orders {

/// Returns access through `inner` that counts orders by operation, object and
/// result, and reads of reports by result. The registry must outlive it.
EngineAccess Metered(EngineAccess inner, prometheus::Registry* registry);

}  // namespace coltsfootvane::orders

#endif  // COLTSFOOTVANE_ORDERS_METERED_ACCESS_H_
