#include <algorithm>
#include <cstdio>

#include "gateway/caller_connection.h"
#include "gateway/exchange.h"
#include "gateway/gateway.h"
#include "gateway/silence_probe.h"

namespace coltsfootvane::gateway {
namespace {

/// Between two looks at a send that is silent for longer than it should be.
/// Each may search all endpoints.
constexpr Milliseconds kCheckInterval{400};
/// A timer that fires later than this was held up with the whole daemon, and
/// bytes that have arrived meanwhile are read first.
constexpr Milliseconds kMaxLateness{150};
constexpr Milliseconds kCatchUpTime{50};
/// Between two attempts to go on with a stream.
constexpr Milliseconds kContinuationInterval{150};

stall::Objectives ObjectivesOf(const Route& route) {
  return {route.target_latency, route.gap_target};
}

}  // namespace

/// Refuses a stream whose caller would give up before its first event. Returns
/// whether it has.
bool Exchange::RefuseBeyondPatience(const Choice& choice) {
  if (this->route->kind != RouteKind::kStreaming ||
      this->possible_executions > 0 || this->forwarding)
    return false;
  const stall::Objectives objectives = ObjectivesOf(*this->route);
  const double wait_ms =
      this->yields ? choice.yielding_wait_ms : choice.wait_ms;
  if (!stall::IsBeyondPatience(objectives, wait_ms, this->received, BootNow()))
    return false;
  char inputs[120];
  std::snprintf(inputs, sizeof(inputs), "wait_ms=%.0f best=%s", wait_ms,
                choice.endpoint->entry.id.c_str());
  this->Refuse("wait beyond patience",
               ReturnAfter(stall::ReturnAfterWait(objectives, wait_ms)),
               inputs);
  return true;
}

stall::Run Exchange::DescribeRun() const {
  stall::Run run;
  run.objectives = ObjectivesOf(*this->route);
  run.has_event = this->last_event_at != TimePoint();
  run.waiting_since = run.has_event ? this->last_event_at : this->received;
  run.silent_since = std::max(this->sent_at, this->last_bytes_at);
  run.longest_gap_ms = this->longest_gap_ms;
  run.expected_ms = this->expected_ms;
  // A call without events has sent nothing until its answer is complete.
  if (this->route->kind != RouteKind::kStreaming)
    run.expected_ms =
        std::max(run.expected_ms,
                 static_cast<double>(this->route->target_latency.count()));
  return run;
}

stall::Waits Exchange::ExpectedWaits(const Choice& choice) const {
  const double run_ms = RunMs(this->gateway->traffic, this->service);
  const bool after_others = this->yields && this->engine != nullptr;
  stall::Waits waits;
  waits.here = after_others
                   ? YieldingWaitMs(*this->endpoint, *this->engine, 0, run_ms)
                   : ExpectedWaitMs(*this->endpoint, this->engine, 0, run_ms);
  waits.elsewhere = after_others ? choice.yielding_wait_ms : choice.wait_ms;
  return waits;
}

/// Returns whether the endpoint, not the caller, holds up the answer.
bool Exchange::IsSilent() const {
  return this->stream && this->stream->IsOpen() &&
         !this->stream->HasUnreadBytes() && !this->caller->IsCongested();
}

/// Returns whether the request may be continued at another endpoint: an answer
/// that is no event stream has no place to go on from.
bool Exchange::MayMove() const {
  const bool is_other_answer = this->head_read && this->mode != Mode::kEvents &&
                               this->mode != Mode::kDiscarded;
  return this->route->kind == RouteKind::kStreaming && !is_other_answer &&
         !this->move_denied && this->MayRetry();
}

/// Sets the timer to the next moment at which silence would matter.
void Exchange::WatchSilence() {
  const stall::Run run = this->DescribeRun();
  const TimePoint now = BootNow();
  TimePoint next = stall::ProbeAt(run);
  if (this->MayMove() && now < stall::PatienceEnd(run))
    next =
        std::min(next, stall::ConsiderAt(run, this->endpoint->activity.pace));
  if (next <= now)
    next = now + kCheckInterval;
  this->CheckSilenceAt(next);
}

void Exchange::CheckSilenceAt(TimePoint at) {
  this->silence_check_at = at;
  this->silence_timer.Set(
      TimeLeft(at, BootNow()) + Milliseconds(1),
      [weak = weak_from_this(), current = this->send_generation] {
        const auto self = weak.lock();
        if (self && !self->finished && self->send_generation == current)
          self->CheckSilence();
      });
}

void Exchange::CheckSilence() {
  const TimePoint now = BootNow();
  if (now > this->silence_check_at + kMaxLateness) {
    this->CheckSilenceAt(now + kCatchUpTime);
    return;
  }
  if (this->IsSilent()) {
    if (this->MoveIfWorthwhile(now))
      return;
    if (stall::IsProbeDue(this->DescribeRun(), this->endpoint->activity, now))
      ProbeSilentEndpoint(this->gateway, this->endpoint);
  }
  this->WatchSilence();
}

/// Gives up the current send if another one is expected to be of more use. The
/// connection is closed first, which cancels the run at the endpoint.
bool Exchange::MoveIfWorthwhile(TimePoint now) {
  const stall::Run run = this->DescribeRun();
  const stall::Activity& activity = this->endpoint->activity;
  if (!this->MayMove() || now < stall::ConsiderAt(run, activity.pace) ||
      now >= stall::PatienceEnd(run))
    return false;
  const Choice choice = this->ChooseNext(now);
  if (choice.verdict != ChoiceVerdict::kChosen ||
      choice.endpoint->ejected_until > now ||
      choice.endpoint->refusing_until > now)
    return false;
  const stall::Waits waits = this->ExpectedWaits(choice);
  if (!stall::IsMoveWorthwhile(run, activity, waits, now))
    return false;
  const char* const phase = run.has_event ? "gap" : "first_event";
  const bool granted = TakeRetry(this->gateway, this->service, now);
  this->gateway->metrics.CountStalledSend(this->service, phase,
                                          granted ? "moved" : "denied");
  // The caller's own retry would be the same load without the limit.
  this->move_denied = !granted;
  if (!granted)
    return false;
  const bool is_busy = stall::OthersProgress(run, activity, now);
  char detail[160];
  std::snprintf(detail, sizeof(detail),
                "from=%s phase=%s here_ms=%.0f elsewhere_ms=%.0f busy=%d",
                this->endpoint->entry.id.c_str(), phase, waits.here,
                waits.elsewhere, is_busy ? 1 : 0);
  this->Log(kStreamMoved, detail);
  // A load that is known explains the wait; otherwise others avoid it too.
  const bool is_explained =
      is_busy ||
      waits.here >
          static_cast<double>(TimeLeft(now, run.silent_since).count()) / 2;
  this->EndFailedSend("stalled", !is_explained);
  this->TryNextEndpoint();
  return true;
}

/// A stream that its caller reads is not given up because no endpoint takes it
/// at once: it waits for one, and for the retry budget, until its caller would
/// leave. Returns whether it does.
bool Exchange::AwaitContinuation() {
  const bool may_wait = this->forwarding && !this->stream && this->MayRetry() &&
                        !this->gateway->leaving &&
                        BootNow() + kContinuationInterval <
                            stall::PatienceEnd(this->DescribeRun());
  if (!may_wait)
    return false;
  this->tried_endpoints.clear();
  this->silence_timer.Set(kContinuationInterval, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->finished)
      self->ContinueStream();
  });
  return true;
}

void Exchange::ContinueStream() {
  const TimePoint now = BootNow();
  const bool has_endpoint =
      this->ChooseNext(now).verdict == ChoiceVerdict::kChosen;
  if (has_endpoint && TakeRetry(this->gateway, this->service, now))
    this->TryNextEndpoint();
  else if (!this->AwaitContinuation())
    this->Fail(502, "no endpoint goes on with the stream");
}

/// A call that nobody repeats gains nothing by an early end: its host may only
/// have been held up. It stays until its connection fails.
void Exchange::OnEndpointUnreachable(const EndpointPtr& stopped) {
  if (this->finished || this->endpoint != stopped || !this->stream ||
      this->route->kind == RouteKind::kUnsafe)
    return;
  this->OnSendBroken("endpoint silent and not reached", true);
}

}  // namespace coltsfootvane::gateway
