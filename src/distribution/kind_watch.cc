#include "distribution/kind_watch.h"

#include <algorithm>

#include "log/event.h"
#include "objectapi/events.h"
#include "objectapi/retry.h"

namespace coltsfootvane {
namespace {

constexpr objectapi::Backoff kWatchBackoff{Milliseconds{100},
                                           Milliseconds{5000}};
/// A connection that was lost without a sign is noticed after this time.
constexpr Milliseconds kLongestWatch{10000};
/// An empty watch that ends sooner is followed by a pause, so that a platform
/// that ends every watch at once is not called without a break.
constexpr Milliseconds kShortestWatch{100};
/// With less time than this before the next list, the list comes at once.
/// Watches have whole seconds and end 0.5 s to 1.5 s before their deadline; a
/// second, short watch would only add a call.
constexpr Milliseconds kLeastWatchTime{1600};

/// The state of one RunKindWatch().
class Follower {
 public:
  Follower(const KindWatch& watch,
           const objectapi::Connection& connection,
           StopSignal* stop)
      : watch(&watch), connection(&connection), stop(stop) {}

  void Run();

 private:
  bool List();
  /// Returns false if the kind has to be listed again.
  bool WatchOnce(TimePoint list_at);
  void HandleFailure(const Error& error);
  void HandleSuccess();

  const KindWatch* watch;
  const objectapi::Connection* connection;
  StopSignal* stop;
  std::int64_t version = 0;
  int failures = 0;
};

void Follower::HandleFailure(const Error& error) {
  ++this->failures;
  if (this->failures == 1) {
    LogEvent(objectapi::kPlatformCallsFail,
             "kind=" + this->watch->kind +
                 " error=" + ErrorCodeName(error.code) + " message=\"" +
                 error.message + "\"");
  }
  this->stop->Wait(objectapi::BackoffDelay(kWatchBackoff, this->failures,
                                           objectapi::RandomFraction(),
                                           error.retry_after_ms));
}

void Follower::HandleSuccess() {
  if (this->failures > 0) {
    LogEvent(objectapi::kPlatformCallsSucceed,
             "kind=" + this->watch->kind +
                 " failures=" + std::to_string(this->failures));
  }
  this->failures = 0;
}

bool Follower::List() {
  const Result<objectapi::ObjectList> list =
      objectapi::ListObjects(*this->connection, this->watch->kind,
                             Clock::now() + this->watch->call_timeout);
  if (!list) {
    this->HandleFailure(list.error());
    return false;
  }
  this->HandleSuccess();
  this->version = list.value().resource_version;
  this->watch->on_list(list.value());
  return true;
}

bool Follower::WatchOnce(TimePoint list_at) {
  const TimePoint start = Clock::now();
  bool changed = false;
  objectapi::WatchHandler handler;
  handler.on_changes = [this, &changed](const objectapi::ChangeBatch& batch) {
    changed = true;
    this->watch->on_changes(batch);
  };
  handler.cancelled = [this] { return this->stop->IsStopped(); };
  const Result<std::int64_t> next = objectapi::WatchObjects(
      *this->connection, this->watch->kind, this->version,
      std::min(list_at, start + kLongestWatch), handler);
  if (!next && next.error().code == ErrorCode::kGone) {
    LogEvent(objectapi::kWatchTooOld,
             "kind=" + this->watch->kind +
                 " version=" + std::to_string(this->version));
    this->stop->Wait(kShortestWatch);
    return false;
  }
  if (!next) {
    this->HandleFailure(next.error());
    return true;
  }
  this->HandleSuccess();
  this->version = next.value();
  if (!changed && Clock::now() - start < kShortestWatch)
    this->stop->Wait(kShortestWatch);
  return true;
}

void Follower::Run() {
  while (!this->stop->IsStopped()) {
    if (!this->List())
      continue;
    // Between 80% and 120%, so that daemons do not list at the same time.
    const double jitter = 0.8 + 0.4 * objectapi::RandomFraction();
    const TimePoint list_at =
        Clock::now() + std::chrono::duration_cast<Milliseconds>(
                           this->watch->list_interval * jitter);
    bool watching = true;
    while (watching && !this->stop->IsStopped() &&
           Clock::now() + kLeastWatchTime < list_at)
      watching = this->WatchOnce(list_at);
  }
}

}  // namespace

void RunKindWatch(const KindWatch& watch,
                  const objectapi::Connection& connection,
                  StopSignal* stop) {
  Follower follower(watch, connection, stop);
  follower.Run();
}

}  // namespace coltsfootvane
