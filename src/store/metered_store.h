#ifndef COLTSFOOTVANE_STORE_METERED_STORE_H_
#define COLTSFOOTVANE_STORE_METERED_STORE_H_

#include "store/object_store.h"

namespace prometheus {
class Registry;
}

namespace coltsfootvane::store {

/// Returns access through `inner` that counts the calls by operation, kind and
/// result and measures the time to their answers. The registry must outlive it.
ObjectStore Metered(ObjectStore inner, prometheus::Registry* registry);

}  // namespace coltsfootvane::store

#endif  // COLTSFOOTVANE_STORE_METERED_STORE_H_
