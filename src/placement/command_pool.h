#ifndef COLTSFOOTVANE_PLACEMENT_COMMAND_POOL_H_
#define COLTSFOOTVANE_PLACEMENT_COMMAND_POOL_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/ring.h"
#include "endpoint/engine.h"

namespace coltsfootvane::detail {

/// Calls to one endpoint: either an index call or a list of commands in the
/// order of their fencing numbers. A command is what src/orders calls an order.
struct EndpointJob {
  std::int64_t id = 0;  ///< Unique in the process; greater than 0.
  std::string endpoint_id;
  http::Address address;
  std::int64_t epoch = 0;
  /// Fencing number of the index call; 0 if the job is a list of commands.
  std::int64_t index_number = 0;
  std::vector<endpoint::Command> commands;
  /// Resource versions of the endpoint's object before and after the intents
  /// were recorded.
  std::int64_t from_version = 0;
  std::int64_t to_version = 0;
};

struct EndpointJobResult {
  EndpointJob job;
  std::optional<Result<endpoint::Index>> index;
  std::vector<Result<bool>> responses;  ///< One per command, in order.
};

/// The epoch in which and the time until which commands may be sent. Checked
/// immediately before each command is sent.
struct SendPermission {
  std::atomic<std::int64_t> epoch{0};
  std::atomic<TimePoint> until{TimePoint()};
};

/// Runs jobs on a fixed number of threads, so that slow loads do not block the
/// planner.
class CommandPool {
 public:
  explicit CommandPool(const SendPermission* permission);
  ~CommandPool();

  CommandPool(const CommandPool&) = delete;
  CommandPool& operator=(const CommandPool&) = delete;

  void Start();
  /// Waits a few seconds for jobs in progress, then cancels their calls.
  void Stop();

  bool Push(EndpointJob job);
  std::optional<EndpointJobResult> PopResult(TimePoint deadline);

 private:
  void RunThread();
  EndpointJobResult Run(EndpointJob job) const;
  Result<bool> Send(const EndpointJob& job,
                    const endpoint::Command& command) const;

  const SendPermission* permission;
  std::atomic<TimePoint> cancel_at{TimePoint::max()};
  Ring<EndpointJob> jobs;
  Ring<EndpointJobResult> results;
  std::vector<std::thread> threads;
};

}  // namespace coltsfootvane::detail

#endif  // COLTSFOOTVANE_PLACEMENT_COMMAND_POOL_H_
