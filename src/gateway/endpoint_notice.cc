#include "gateway/endpoint_notice.h"

#include <algorithm>

namespace coltsfootvane::gateway {
namespace {

/// Forgets the oldest instances that nobody uses while there are too many.
void ForgetOldest(InstanceMemory* memory) {
  std::size_t examined = 0;
  while (memory->order.size() > kMaxRememberedInstances &&
         examined++ < memory->order.size()) {
    EndpointInstance oldest = std::move(memory->order.front());
    memory->order.pop_front();
    const auto found = memory->instances.find(oldest);
    if (found->second.use_count() == 1)
      memory->instances.erase(found);
    else
      memory->order.push_back(std::move(oldest));
  }
}

}  // namespace

NoticeEffect ApplyNotice(StatedAvailability* stated,
                         const EndpointNotice& notice,
                         TimePoint now) {
  NoticeEffect effect;
  effect.leaves = notice.leaving && !stated->leaving;
  stated->leaving = stated->leaving || notice.leaving;
  const TimePoint until = now + notice.pause;
  effect.pauses =
      notice.pause > Milliseconds(0) && until > stated->paused_until;
  if (!effect.pauses)
    return effect;
  if (now >= stated->paused_until)
    stated->paused_since = now;
  stated->paused_until = until;
  return effect;
}

std::shared_ptr<StatedAvailability> RecallInstance(
    InstanceMemory* memory,
    const EndpointInstance& instance) {
  const auto known = memory->instances.find(instance);
  if (known != memory->instances.end())
    return known->second;
  auto stated = std::make_shared<StatedAvailability>();
  memory->instances.emplace(instance, stated);
  memory->order.push_back(instance);
  ForgetOldest(memory);
  return stated;
}

}  // namespace coltsfootvane::gateway
