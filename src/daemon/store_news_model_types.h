#ifndef COLTSFOOTVANE_DAEMON_STORE_NEWS_MODEL_TYPES_H_
#define COLTSFOOTVANE_DAEMON_STORE_NEWS_MODEL_TYPES_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <tuple>

#include "daemon/news_recovery.h"
#include "daemon/view_check.h"
#include "fleet/member_table.h"
#include "fleet/store_batches.h"

namespace coltsfootvane::daemon {

inline constexpr TimePoint kStart{Milliseconds(1'000'000)};
inline constexpr Milliseconds kTick{250};
inline constexpr Milliseconds kHop{2};
inline constexpr double kReportBytes = 228;
inline constexpr double kLoss = 0.025;

struct Scenario {
  const char* name = "";
  int daemons = 0;
  int limit_ms = 0;          ///< Time for changes.
  double changes_per_s = 0;  ///< Of endpoints that stay.
  int lost_readers = 0;      ///< So many of the first ones, before a departure.
  enum { kKilled, kFrozen, kCut } how = kKilled;  ///< kCut: from the store.
  double killed = 0;   ///< Share of daemons that are lost with them.
  double refused = 0;  ///< Share of daemons that the store turns away.
  int max_calls = 0;
};

struct Event {
  TimePoint at;
  std::uint64_t number = 0;
  std::function<void()> run;
  bool operator<(const Event& other) const {
    return std::tie(this->at, this->number) > std::tie(other.at, other.number);
  }
};

/// A daemon as StoreView and StoreNews have it, with endpoints only.
struct ModelDaemon {
  std::uint32_t address = 0;
  fleet::MemberTable table;
  fleet::BatchLog log;
  ViewCheck check;
  NewsRecovery recovery;
  std::int64_t revision = 1;
  std::int64_t departed = 0;
  std::int64_t max_departure = 1;
  std::int64_t sequence = 0;
  bool live = true;
  bool frozen = false;
  bool refused = false;
  bool cut = false;
  bool reachable = true;
  bool calling = false;
  bool checking = false;
  int failures = 0;
  int rank = 0;
  TimePoint reads_until;
  TimePoint retry_at;
  std::deque<std::function<void()>> held;  ///< While it is frozen.
};

struct StoreEvent {
  std::int64_t revision = 0;
  bool departure = false;
  TimePoint at;
};

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_STORE_NEWS_MODEL_TYPES_H_
