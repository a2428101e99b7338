#ifndef COLTSFOOTVANE_INTAKE_POLICY_H_
#define COLTSFOOTVANE_INTAKE_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <vector>

#include "base/clock.h"

namespace coltsfootvane::intake {

/// Bodies up to this size need no grant; most requests are smaller.
inline constexpr std::size_t kSmallBodyBytes = 64UL * 1024;
/// Receive buffer that is asked for from the kernel, which doubles it. Links of
/// 10 Mbit/s with latencies of some ms need less; without it the kernel lets
/// the buffer of a fast sender grow to some MB.
inline constexpr int kReceiveBufferBytes = 32 * 1024;
/// What a connection that is not read may hold in the kernel.
inline constexpr std::size_t kUnreadBytes = 2UL * kReceiveBufferBytes;
/// Memory of a connection beside its bytes: its objects and those of its
/// parser, timers and handlers.
inline constexpr std::size_t kConnectionBytes = 4UL * 1024;
/// Waiting for room for longer costs a caller more than coming back.
inline constexpr Milliseconds kMaxRoomWait{4000};

/// Bounds of a process, derived from its memory and descriptors.
struct Bounds {
  /// For everything that is held for others but large bodies.
  std::size_t common_bytes = SIZE_MAX;
  /// For bodies above kSmallBodyBytes, which are granted before they are read.
  std::size_t large_bytes = SIZE_MAX;
  /// Large bodies that may wait for a grant; the rest is refused at once.
  std::size_t max_waiting = SIZE_MAX;
  int max_descriptors = INT32_MAX;
  /// Callers get descriptors with numbers below this one. The rest is for
  /// endpoints, the store, other daemons, health checks and metrics.
  int caller_descriptors = INT32_MAX;
};

/// Returns the bounds for `memory_mb`. `descriptors` are those that the process
/// may have open for connections.
Bounds BoundsFor(double memory_mb, int descriptors);

/// How far a peer is behind the slowest pace that counts as progress. Bytes buy
/// time: a pause after fast progress counts only after a second.
struct Progress {
  TimePoint paid_until;
};

void StartProgress(Progress* progress, TimePoint now);
void RecordBytes(Progress* progress, std::size_t count, TimePoint now);
Milliseconds Behind(const Progress& progress, TimePoint now);

enum class Stage {
  kLingering,  ///< Answered and closing.
  kIdle,       ///< Between requests.
  kReceiving,  ///< A head or a small body arrives.
  kWaiting,    ///< A large body that is not read for lack of room.
  kGranted,    ///< A large body arrives.
  kServing,    ///< The request is with an endpoint, or waits for one.
  kTaking,     ///< Answer bytes wait for the caller to take them.
};

/// What one connection holds.
struct Holder {
  Stage stage = Stage::kIdle;
  std::size_t bytes = 0;   ///< By capacity, and granted ones not yet arrived.
  Milliseconds behind{0};  ///< See Progress; since it waits, for kWaiting.
  bool has_been_served = false;  ///< A request of the connection.
};

/// What room is needed for.
enum class Need {
  kCommonBytes,  ///< An ordinary request, while the common bytes are used up.
  kSpareBytes,   ///< The daemon's own calls, while half of them are used.
  kLargeBody,    ///< A large body that waits.
  kDescriptor,   ///< A new connection.
};

/// Returns the connections that may be ended, the first one first: those with
/// the least progress for what they hold. A request that is with an endpoint is
/// in it only if its caller does not take the answer.
std::vector<std::size_t> EndOrder(Need need, gsl::span<const Holder> holders);

enum class Admission { kGrant, kWait, kRefuse };

/// Decides on a large body of which `wanted` bytes have to be granted, while
/// `granted` are and `waiting` others wait.
Admission AdmitLargeBody(const Bounds& bounds,
                         std::size_t granted,
                         std::size_t waiting,
                         std::size_t wanted);

}  // namespace coltsfootvane::intake

#endif  // COLTSFOOTVANE_INTAKE_POLICY_H_
