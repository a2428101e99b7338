#include "placement/command_pool.h"

namespace coltsfootvane::detail {
namespace {

// Loads at full speed and unloads at once, with room for index calls.
constexpr int kThreads = 24;
// Above the number of endpoints of a region, each of which has one job at most.
constexpr std::size_t kCapacity = 4096;
constexpr Milliseconds kIndexTimeout{2000};
constexpr Milliseconds kAdapterTimeout{10000};
// Large models take minutes when the weight store is busy.
constexpr Milliseconds kModelTimeout{600000};
// Closing the ring wakes the threads at once.
constexpr Milliseconds kIdleWait{5000};
constexpr Milliseconds kStopTimeout{3000};

}  // namespace

CommandPool::CommandPool(const SendPermission* permission)
    : permission(permission), jobs(kCapacity), results(kCapacity) {}

CommandPool::~CommandPool() {
  this->Stop();
}

void CommandPool::Start() {
  for (int i = 0; i < kThreads; ++i)
    this->threads.emplace_back([this] { this->Work(); });
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

void CommandPool::Work() {
  while (!this->jobs.IsClosed()) {
    std::optional<EndpointJob> job =
        this->jobs.PopUntil(Clock::now() + kIdleWait);
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
      command.adapter ? kAdapterTimeout : kModelTimeout;
  return endpoint::SendCommand(job.address, command, now + timeout, [this] {
    return Clock::now() >= this->cancel_at.load();
  });
}

}  // namespace coltsfootvane::detail
