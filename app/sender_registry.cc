#include "sender_registry.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "distribution/daemon_registration.h"

namespace coltsfootvane {
namespace {

constexpr Milliseconds kReadInterval{500};
constexpr Milliseconds kReadTimeout{1000};

}  // namespace

SenderRegistry::SenderRegistry(platform::Connection connection)
    : connection(std::move(connection)) {}

bool SenderRegistry::IsGone(std::string_view incarnation, TimePoint now) {
  if (now < this->next_read)
    return false;
  this->next_read = now + kReadInterval;
  return this->Read(incarnation);
}

bool SenderRegistry::Read(std::string_view incarnation) {
  const TimePoint deadline = Clock::now() + kReadTimeout;
  const Result<std::vector<DaemonRecord>> daemons =
      ReadDaemonRecords(this->connection, deadline);
  if (!daemons)
    return false;
  const auto& records = daemons.assume_value();
  const auto record =
      std::find_if(records.begin(), records.end(),
                   [incarnation](const DaemonRecord& candidate) {
                     return candidate.incarnation == incarnation;
                   });
  if (record == records.end())
    return true;
  const Result<platform::ObjectList> vms =
      platform::ListObjects(this->connection, platform::kVmKind, deadline);
  if (!vms || vms.assume_value().items.empty())
    return false;
  const auto& items = vms.assume_value().items;
  return std::none_of(items.begin(), items.end(),
                      [&record](const platform::Object& vm) {
                        return vm.name == record->daemon_id;
                      });
}

}  // namespace coltsfootvane
