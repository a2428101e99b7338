#ifndef COLTSFOOTVANE_ENTRY_ENTRY_DEPENDENCIES_H_
#define COLTSFOOTVANE_ENTRY_ENTRY_DEPENDENCIES_H_

#include <functional>
#include <string_view>

#include "dispatch/slot_client.h"
#include "distribution/in_force.h"
#include "idempotency/record_writer.h"
#include "metrics/metrics.h"
#include "objectapi/client.h"
#include "settings/settings.h"

namespace coltsfootvane {

/// Dependencies of the entry listener on the other parts of the daemon. The
/// objects pointed to must outlive the listener.
struct EntryDependencies {
  Settings settings;
  const InForceHolder* in_force = nullptr;
  SlotClient slots;
  objectapi::Connection platform;
  RecordWriter* records = nullptr;
  Metrics* metrics = nullptr;
  /// Called when a response says that its endpoint is leaving. May be empty.
  std::function<void(std::string_view endpoint_id)> on_endpoint_leaving;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_ENTRY_DEPENDENCIES_H_
