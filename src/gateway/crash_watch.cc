#include "gateway/crash_watch.h"

#include <utility>

#include "base/name_text.h"
#include "gateway/gateway.h"

namespace coltsfootvane::gateway {
namespace {

/// Within this time the store shows that a process has ended.
constexpr Milliseconds kRemovalTime{5000};

}  // namespace

void CrashWatch::OnBroken(const EndpointPtr& endpoint,
                          BrokenRequest request,
                          std::function<void(bool crashed)> done) {
  const auto crash =
      quarantine::KeyOfCrash(endpoint->entry.id, endpoint->entry.incarnation);
  // An endpoint that leaves ends its connections.
  const bool leaves = !TakesNewWork(*endpoint);
  const auto known = this->cases.find(crash);
  const bool is_new = known == this->cases.end();
  if (leaves && is_new) {
    if (done)
      done(false);
    return;
  }
  Case& one = is_new ? this->cases[crash] : known->second;
  const bool unreachable = request.unreachable;
  one.requests.push_back(std::move(request));
  if (done)
    one.waiting.push_back(std::move(done));
  one.ends = BootNow() + kRemovalTime;
  if (is_new)
    one.endpoint = endpoint;
  if (one.state == State::kCrashed)
    this->RecordAll(crash, &one);
  else if (unreachable && (is_new || one.state == State::kListening))
    EndWaiting(&one);
  else if (is_new || one.state == State::kListening)
    this->Ask(crash);
}

/// Without a crash so far. Tick() may still show one.
void CrashWatch::EndWaiting(Case* one) {
  one->state = State::kListening;
  for (const auto& done : std::exchange(one->waiting, {}))
    done(false);
}

void CrashWatch::Ask(quarantine::CrashKey crash) {
  Case& one = this->cases.at(crash);
  one.state = State::kAsking;
  net::CheckListening(
      this->gateway->io, one.endpoint->entry.address, kListenCheckTimeout,
      [this, crash](net::ListenState state) {
        this->OnAsked(crash, state == net::ListenState::kRefused);
      });
}

void CrashWatch::OnAsked(quarantine::CrashKey crash, bool refused) {
  const auto found = this->cases.find(crash);
  if (found == this->cases.end())
    return;
  Case& one = found->second;
  if (refused) {
    Eject(one.endpoint.get(), BootNow());
    this->OnCrashed(crash, &one);
    return;
  }
  EndWaiting(&one);
}

void CrashWatch::OnCrashed(quarantine::CrashKey crash, Case* one) {
  const EndpointEntry& entry = one->endpoint->entry;
  one->state = State::kCrashed;
  this->gateway->metrics.CountCrash(entry.service);
  this->gateway->log->Write(
      kEndpointCrashed, "",
      "endpoint=" + Printable(entry.id) +
          " service=" + Printable(entry.service) +
          " unanswered=" + std::to_string(one->requests.size()));
  this->RecordAll(crash, one);
}

void CrashWatch::RecordAll(quarantine::CrashKey crash, Case* one) {
  const std::vector<BrokenRequest> requests = std::exchange(one->requests, {});
  const auto waiting = std::exchange(one->waiting, {});
  for (const BrokenRequest& request : requests) {
    quarantine::Involvement involvement;
    involvement.crash = crash;
    involvement.at = request.at;
    involvement.answering = request.answering;
    involvement.observers = {this->gateway->quarantine.self};
    RecordCrash(this->gateway, request.parts, involvement);
  }
  for (const auto& done : waiting)
    done(true);
}

void CrashWatch::Tick(TimePoint now) {
  for (auto it = this->cases.begin(); it != this->cases.end();) {
    Case& one = it->second;
    const bool ended_unannounced = one.endpoint->gone &&
                                   !one.endpoint->entry.draining &&
                                   !one.endpoint->stated->leaving;
    if (one.state == State::kListening && ended_unannounced)
      this->OnCrashed(it->first, &one);
    it = now >= one.ends && one.state != State::kAsking ? this->cases.erase(it)
                                                        : std::next(it);
  }
}

}  // namespace coltsfootvane::gateway
