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

/// Calls to one endpoint: an index call, or commands in the order of their
/// numbers.
struct EndpointJob {
  std::int64_t id = 0;  ///< Unique in the process; above 0.
  std::string endpoint_id;
  http::Address address;
  std::int64_t epoch = 0;
  std::int64_t index_number = 0;  ///< 0 if the job is a list of commands.
  std::vector<endpoint::Command> commands;
  /// Of the endpoint's object, before and after the intents were recorded.
  std::int64_t from_version = 0;
  std::int64_t to_version = 0;
};

struct EndpointJobResult {
  EndpointJob job;
  std::optional<Result<endpoint::Index>> index;
  std::vector<Result<bool>> responses;  ///< One per command.
};

/// The permission to send commands, read immediately before each one.
struct SendPermission {
  std::atomic<std::int64_t> epoch{0};
  std::atomic<TimePoint> until{TimePoint()};
};

/// Runs jobs on a bounded number of threads, since loads take long.
class CommandPool {
 public:
  explicit CommandPool(const SendPermission* permission);
  ~CommandPool();

  CommandPool(const CommandPool&) = delete;
  CommandPool& operator=(const CommandPool&) = delete;

  void Start();
  /// Gives jobs in progress a few seconds, then cancels their calls.
  void Stop();

  bool Push(EndpointJob job);
  std::optional<EndpointJobResult> PopResult(TimePoint deadline);

 private:
  void Work();
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
