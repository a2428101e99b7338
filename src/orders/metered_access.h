#ifndef COLTSFOOTVANE_ORDERS_METERED_ACCESS_H_
#define COLTSFOOTVANE_ORDERS_METERED_ACCESS_H_

#include "orders/order.h"

namespace prometheus {
class Registry;
}

namespace coltsfootvane::orders {

/// Wraps `inner` and counts orders by operation, object and result, and report
/// reads by result. The registry must outlive the returned object.
EngineAccess Metered(EngineAccess inner, prometheus::Registry* registry);

}  // namespace coltsfootvane::orders

#endif  // COLTSFOOTVANE_ORDERS_METERED_ACCESS_H_
