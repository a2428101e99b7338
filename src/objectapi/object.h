#ifndef COLTSFOOTVANE_OBJECTAPI_OBJECT_H_
#define COLTSFOOTVANE_OBJECTAPI_OBJECT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace coltsfootvane::objectapi {

/// An object of the platform's API.
struct Object {
  std::string kind;
  std::string name;
  /// The platform's version of this object; 0 for one not yet created.
  std::int64_t resource_version = 0;
  std::string spec;  ///< JSON text.
};

struct ObjectList {
  std::vector<Object> items;
  std::int64_t resource_version = 0;  ///< Where a watch continues.
  std::string continue_token;         ///< For the next page; empty on the last.
};

enum class ChangeType { kAdded, kModified, kDeleted };

struct Change {
  ChangeType type = ChangeType::kAdded;
  Object object;
};

struct ChangeBatch {
  std::vector<Change> changes;        ///< Empty if the watch timed out.
  std::int64_t resource_version = 0;  ///< Where the next watch continues.
};

inline constexpr char kConfigKind[] = "config";
inline constexpr char kConfigHeadName[] = "head";
inline constexpr char kConfigPartKind[] = "configparts";
inline constexpr char kEndpointKind[] = "endpoints";
inline constexpr char kLeaseKind[] = "leases";
inline constexpr char kPlacementKind[] = "placements";
inline constexpr char kRecordKind[] = "records";
inline constexpr char kExpiryKind[] = "expiry";
inline constexpr char kAuditKind[] = "audit";
inline constexpr char kDaemonKind[] = "daemons";
inline constexpr char kVmKind[] = "vms";

}  // namespace coltsfootvane::objectapi

#endif  // COLTSFOOTVANE_OBJECTAPI_OBJECT_H_
