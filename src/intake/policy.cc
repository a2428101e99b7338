#include "intake/policy.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace coltsfootvane::intake {
namespace {

constexpr double kBytesPerMb = 1024.0 * 1024.0;
/// Shares of the memory. The rest is for tables, code, the allocator and what
/// has arrived in the kernel and is about to be read.
constexpr double kCommonShare = 0.2;
constexpr double kLargeShare = 0.2;
/// Of the common bytes, for the kernel's buffers of waiting callers.
constexpr std::size_t kWaitingShare = 4;
/// Of the descriptors, not for callers.
constexpr int kReservedShare = 4;
constexpr int kMinReserved = 32;
/// The slowest pace that counts as progress: a body of 4 MB in 64 s.
constexpr double kMinBytesPerMs = 64;
constexpr Milliseconds kPatience{1000};

/// Position of a stage in the order in which connections are ended; nullopt
/// for those that are not.
using Class = std::optional<int>;

Class ClassForCommonBytes(const Holder& holder) {
  const bool is_late = holder.behind.count() > 0;
  switch (holder.stage) {
    case Stage::kReceiving:
      return is_late ? 0 : 2;
    case Stage::kTaking:
      return holder.behind >= kPatience ? Class(0) : std::nullopt;
    case Stage::kWaiting:
      return 1;
    case Stage::kIdle:
      return 3;
    default:
      return std::nullopt;
  }
}

/// Those that are late anyway.
Class ClassForSpareBytes(const Holder& holder) {
  const Class position = ClassForCommonBytes(holder);
  return position == 0 ? position : std::nullopt;
}

Class ClassForLargeBody(const Holder& holder) {
  if (holder.stage != Stage::kGranted || holder.behind.count() <= 0)
    return std::nullopt;
  return 0;
}

Class ClassForDescriptor(const Holder& holder) {
  const bool is_late = holder.behind.count() > 0;
  switch (holder.stage) {
    case Stage::kLingering:
      return 0;
    case Stage::kIdle:
      if (holder.has_been_served)
        return 3;
      return is_late ? 1 : 4;
    case Stage::kReceiving:
    case Stage::kGranted:
      return is_late ? 2 : 6;
    case Stage::kWaiting:
      return 5;
    case Stage::kTaking:
      return holder.behind >= kPatience ? Class(7) : std::nullopt;
    case Stage::kServing:
      break;
  }
  return std::nullopt;
}

Class ClassOf(Need need, const Holder& holder) {
  switch (need) {
    case Need::kCommonBytes:
      return ClassForCommonBytes(holder);
    case Need::kSpareBytes:
      return ClassForSpareBytes(holder);
    case Need::kLargeBody:
      return ClassForLargeBody(holder);
    case Need::kDescriptor:
      return ClassForDescriptor(holder);
  }
  return std::nullopt;
}

/// What a connection holds, for as long as it has brought nothing. A descriptor
/// is the same to all.
double CostOf(Need need, const Holder& holder) {
  const double behind = static_cast<double>(holder.behind.count());
  if (need == Need::kDescriptor)
    return behind;
  const double bytes = static_cast<double>(holder.bytes);
  if (holder.stage == Stage::kWaiting)
    return -behind;  // The newest goes: the others have paid with their time.
  return holder.behind.count() > 0 ? bytes * behind : bytes;
}

}  // namespace

Bounds BoundsFor(double memory_mb, int descriptors) {
  Bounds bounds;
  bounds.common_bytes =
      static_cast<std::size_t>(memory_mb * kBytesPerMb * kCommonShare);
  bounds.large_bytes =
      static_cast<std::size_t>(memory_mb * kBytesPerMb * kLargeShare);
  bounds.max_waiting = bounds.common_bytes / kWaitingShare / kUnreadBytes;
  bounds.max_descriptors = descriptors;
  bounds.caller_descriptors =
      descriptors - std::max(kMinReserved, descriptors / kReservedShare);
  return bounds;
}

void StartProgress(Progress* progress, TimePoint now) {
  progress->paid_until = now + kPatience;
}

void RecordBytes(Progress* progress, std::size_t count, TimePoint now) {
  const auto paid = std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::duration<double, std::milli>(static_cast<double>(count) /
                                                kMinBytesPerMs));
  progress->paid_until = std::min(progress->paid_until + paid, now + kPatience);
}

Milliseconds Behind(const Progress& progress, TimePoint now) {
  return std::chrono::duration_cast<Milliseconds>(now - progress.paid_until);
}

std::vector<std::size_t> EndOrder(Need need, gsl::span<const Holder> holders) {
  struct Candidate {
    int position;
    double cost;
    std::size_t index;
  };
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < holders.size(); ++i) {
    if (const Class position = ClassOf(need, holders[i]))
      candidates.push_back({*position, CostOf(need, holders[i]), i});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::make_tuple(a.position, -a.cost, a.index) <
                     std::make_tuple(b.position, -b.cost, b.index);
            });
  std::vector<std::size_t> order;
  order.reserve(candidates.size());
  for (const Candidate& candidate : candidates)
    order.push_back(candidate.index);
  return order;
}

Admission AdmitLargeBody(const Bounds& bounds,
                         std::size_t granted,
                         std::size_t waiting,
                         std::size_t wanted) {
  // Alone, the largest legal body is always served.
  if (granted == 0 ||
      wanted <= bounds.large_bytes - std::min(granted, bounds.large_bytes))
    return Admission::kGrant;
  return waiting < bounds.max_waiting ? Admission::kWait : Admission::kRefuse;
}

}  // namespace coltsfootvane::intake
