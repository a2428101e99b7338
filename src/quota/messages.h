#ifndef COLTSFOOTVANE_QUOTA_MESSAGES_H_
#define COLTSFOOTVANE_QUOTA_MESSAGES_H_

#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace coltsfootvane::quota {

/// IPv4 address of a daemon.
using Address = std::uint32_t;
/// Hash of the name of a team; never 0.
using TeamKey = std::uint32_t;

/// The limit of a team over all daemons, in its own units.
struct Limit {
  double per_second = 0;
  double burst = 0;
  std::int64_t version = 0;  ///< Of the configuration that states it.
};

/// The level of a team's bucket as an owner stated it.
struct KnownLevel {
  double level = 0;
  Milliseconds age{0};
};

/// Asks an owner for permission to send a request.
struct Request {
  std::int64_t number = 0;
  TeamKey team = 0;  ///< 0 for a probe, which only asks for a reply.
  Limit limit;
  double units = 0;
  /// Units spent without permission, less those returned, since the last
  /// request of this daemon for the team.
  double settled = 0;
  int rank = 0;  ///< 0 is the most urgent.
  std::optional<KnownLevel> level;
};

enum class Verdict {
  kGranted,
  kRefused,
  kNotOwner,  ///< The daemon leaves or has just started.
};

struct Reply {
  std::int64_t number = 0;
  Verdict verdict = Verdict::kRefused;
  double level = 0;
  Milliseconds retry_after{0};
  Address better_owner = 0;  ///< 0 if the sender knows none.
  int known_daemons = 0;     ///< Within the last minute, by the sender.
};

}  // namespace coltsfootvane::quota

#endif  // COLTSFOOTVANE_QUOTA_MESSAGES_H_
