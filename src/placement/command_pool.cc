#include "placement/command_pool.h"

namespace coltsfootvane::detail {
namespace {

// Enough for loads at the full rate of the weight store together with unloads,
// with spare threads for index calls.
constexpr int kThreadCount = 24;
// Exceeds the number of endpoints of a region; each has at most one job.
constexpr std::size_t kQueueCapacity = 4096;
constexpr Milliseconds kIndexTimeout{2000};
constexpr Milliseconds kAdapterCommandTimeout{10000};
// Loading a large model takes minutes when the weight store is busy.
constexpr Milliseconds kModelCommandTimeout{600000};
// Does not delay Stop(), since closing the queue wakes the threads.
constexpr Milliseconds kPollInterval{5000};
constexpr Milliseconds kStopTimeout{3000};

}  // namespace

CommandPool::CommandPool(const SendPermission* permission)
    : permission(permission), jobs(kQueueCapacity), results(kQueueCapacity) {}

CommandPool::~CommandPool() {
  this->Stop();
}

void CommandPool::Start() {
  for (int i = 0; i < kThreadCount; ++i)
    this->threads.emplace_back([this] { this->RunThread(); });
}

void CommandPool::Stop() {
  this->cancel_at = Clock::now() + kStopTimeout;
  this->jobs.Close();
  for (std::thread& thread : this->threads)
    thread.join();
  this->threads.clear();
}

bool CommandPool::Push(EndpointJob job) {
  return this->jobs.Push(std::move(job));
}

std::optional<EndpointJobResult> CommandPool::PopResult(TimePoint deadline) {
  return this->results.PopUntil(deadline);
}

void CommandPool::RunThread() {
  while (!this->jobs.IsClosed()) {
    std::optional<EndpointJob> job =
        this->jobs.PopUntil(Clock::now() + kPollInterval);
    if (job)
      this->results.Push(this->Run(std::move(*job)));
  }
}

EndpointJobResult CommandPool::Run(EndpointJob job) const {
  EndpointJobResult result;
  if (job.index_number > 0) {
    result.index = endpoint::ReadIndex(job.address, job.index_number,
                                       Clock::now() + kIndexTimeout);
  }
  for (const endpoint::Command& command : job.commands)
    result.responses.push_back(this->Send(job, command));
  result.job = std::move(job);
  return result;
}

Result<bool> CommandPool::Send(const EndpointJob& job,
                               const endpoint::Command& command) const {
  const TimePoint now = Clock::now();
  if (this->permission->epoch.load() != job.epoch ||
      now >= this->permission->until.load())
    return Error{ErrorCode::kNotSent, "lease is not held"};
  const Milliseconds timeout =
      command.adapter ? kAdapterCommandTimeout : kModelCommandTimeout;
  return endpoint::SendCommand(job.address, command, now + timeout, [this] {
    return Clock::now() >= this->cancel_at.load();
  });
}

}  // namespace coltsfootvane::detail
