#ifndef COLTSFOOTVANE_TOOLS_LOADTOOL_SENDER_H_
#define COLTSFOOTVANE_TOOLS_LOADTOOL_SENDER_H_

#include <atomic>
#include <vector>

#include "base/clock.h"
#include "http/message.h"
#include "tools/loadtool/results.h"
#include "tools/loadtool/scene.h"
#include "tools/loadtool/schedule.h"

namespace coltsfootvane::loadtool {

/// Where and when requests are sent.
struct Target {
  std::vector<http::Address> entries;  ///< Used in turn.
  std::atomic<std::size_t> next_entry{0};
  TimePoint start;
  TimePoint end;  ///< Requests still in progress are cut then.
};

/// Sends the schedule of `caller` from a pool of threads and returns when all
/// requests have ended.
void RunCaller(const Scene& scene,
               const SceneCaller& caller,
               Target* target,
               Results* results);

}  // namespace coltsfootvane::loadtool

#endif  // COLTSFOOTVANE_TOOLS_LOADTOOL_SENDER_H_
