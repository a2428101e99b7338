#include "sender_registry.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "distribution/daemon_registration.h"

namespace coltsfootvane {
namespace {

constexpr Milliseconds kReadInterval{500};
constexpr Milliseconds kReadTimeout{1000};

bool HasVm(const std::vector<objectapi::Object>& vms, std::string_view name) {
  return std::any_of(
      vms.begin(), vms.end(),
      [name](const objectapi::Object& vm) { return vm.name == name; });
}

}  // namespace

SenderRegistry::SenderRegistry(objectapi::Connection connection)
    : connection(std::move(connection)) {}

bool SenderRegistry::IsGone(std::string_view incarnation, TimePoint now) {
  if (this->gone.count(incarnation) != 0)
    return true;
  this->asked.emplace(incarnation);
  if (now < this->next_read)
    return false;
  this->next_read = now + kReadInterval;
  this->Read();
  this->asked.clear();
  return this->gone.count(incarnation) != 0;
}

void SenderRegistry::Read() {
  const TimePoint deadline = Clock::now() + kReadTimeout;
  const Result<std::vector<DaemonRecord>> daemons =
      ReadDaemonRecords(this->connection, deadline);
  if (!daemons)
    return;
  const Result<objectapi::ObjectList> vms =
      objectapi::ListObjects(this->connection, objectapi::kVmKind, deadline);
  const bool listed = vms && !vms.assume_value().items.empty();
  const auto& records = daemons.assume_value();
  for (const std::string& incarnation : this->asked) {
    const auto record =
        std::find_if(records.begin(), records.end(),
                     [&incarnation](const DaemonRecord& candidate) {
                       return candidate.incarnation == incarnation;
                     });
    const bool replaced = record == records.end();
    if (replaced ||
        (listed && !HasVm(vms.assume_value().items, record->daemon_id)))
      this->gone.insert(incarnation);
  }
}

}  // namespace coltsfootvane
