#ifndef COLTSFOOTVANE_DISTRIBUTION_LEAVING_SET_H_
#define COLTSFOOTVANE_DISTRIBUTION_LEAVING_SET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "objectapi/object.h"

namespace coltsfootvane {

/// A VM as the platform lists it.
struct ListedVm {
  bool leaving = false;
  std::string endpoint_id;  ///< Empty if the VM runs no endpoint.
  std::int64_t resource_version = 0;
};

/// An id that was seen as leaving outside of the list. The list lags, so that
/// only what it says after this time counts.
struct NotedLeaving {
  /// Version of the list at that time; 0 before the first list.
  std::int64_t list_version = 0;
  bool listed = false;  ///< The list has shown it since or at that time.
};

/// The platform's list of VMs and the ids noted as leaving. An id is the name
/// of a VM or of its endpoint.
struct LeavingSet {
  std::int64_t list_version = 0;
  std::map<std::string, ListedVm, std::less<>> vms;
  std::map<std::string, NotedLeaving, std::less<>> noted;
};

/// Returns whether `id` was not noted yet.
bool NoteLeavingId(LeavingSet* set, std::string_view id);

/// Takes over a whole list of VMs.
void ReplaceVms(LeavingSet* set, const objectapi::ObjectList& list);

/// Takes over changes of the list.
void ChangeVms(LeavingSet* set, const objectapi::ChangeBatch& batch);

/// Returns all ids that are leaving, by the list or as noted.
std::set<std::string> LeavingIds(const LeavingSet& set);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_DISTRIBUTION_LEAVING_SET_H_
