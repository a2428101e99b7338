#include <utility>

#include "gateway/exchange.h"
#include "gateway/gateway.h"

namespace coltsfootvane::gateway {

/// Ends a request that would crash an endpoint, and returns whether it has. The
/// status does not state that the request has not been executed: callers would
/// repeat it.
bool Exchange::EndIfQuarantined() {
  if (this->shared_parts.empty() || this->tried_part)
    return false;
  PartQuarantine& state = this->gateway->quarantine;
  const TimePoint now = BootNow();
  const quarantine::Quarantine* const active = FindActiveQuarantine(
      state, this->shared_parts, this->gateway->daemons, now);
  if (active != nullptr) {
    this->Fail(502, "quarantined part",
               " parts=" + PartList(this->shared_parts));
    return true;
  }
  const quarantine::Quarantine* const over =
      quarantine::FindQuarantine(state.quarantines, this->shared_parts);
  if (over != nullptr) {
    this->tried_part = over->parts.front();
    ++state.trials[*this->tried_part];
    this->Log(kQuarantineTried, "parts=" + PartList(over->parts));
  }
  return false;
}

void Exchange::OnQuarantineChanged() {
  const bool has_begun = this->first_event_at != TimePoint();
  if (!this->finished && !has_begun && this->engine != nullptr)
    (void)this->EndIfQuarantined();
}

/// The connection ended before the answer. If the endpoint has crashed, this
/// request may be the cause: it is not sent to another one, unless endpoints
/// are known to answer such requests.
void Exchange::OnSendBroken(const char* reason, bool unreachable) {
  const bool may_be_cause =
      this->first_event_at == TimePoint() && !this->shared_parts.empty();
  if (!may_be_cause) {
    this->OnSendFailed(reason);
    return;
  }
  const EndpointPtr broken = this->endpoint;
  BrokenRequest request{this->shared_parts, this->head_read, BootNow(),
                        unreachable};
  this->EndFailedSend(reason);
  std::function<void(bool)> done;
  const bool is_sound =
      IsUnsuspected(this->gateway->quarantine, this->shared_parts);
  if (!is_sound && this->MayRetry())
    done = [weak = weak_from_this(), reason](bool crashed) {
      const auto self = weak.lock();
      if (!self || self->finished)
        return;
      if (crashed)
        self->Fail(502, "endpoint crashed");
      else
        self->RetryOrFail(reason);
    };
  const bool waits = done != nullptr;
  this->gateway->crash_watch.OnBroken(broken, std::move(request),
                                      std::move(done));
  if (!waits && !this->finished)
    this->RetryOrFail(reason);
}

/// An answer without a length ends with its connection, and so does that of a
/// process that ends. It is complete only if the endpoint has not been listed
/// or stated as leaving, removed or restarted, and something listens at its
/// address. After a silence that may hide a restart, the next check-in of the
/// endpoint is awaited first. See "Answers without a length" in docs/design.md.
void Exchange::OnUnframedEnd() {
  if (!TakesNewWork(*this->endpoint)) {
    this->OnSendBroken("endpoint leaves");
    return;
  }
  if (!stall::MayHideRestart(this->arrival, BootNow())) {
    this->CheckUnframedEnd();
    return;
  }
  this->silence_timer.Set(
      stall::kRestartKnown,
      [weak = weak_from_this(), current = this->send_generation] {
        const auto self = weak.lock();
        if (self && !self->finished && self->send_generation == current)
          self->CheckUnframedEnd();
      });
}

void Exchange::CheckUnframedEnd() {
  if (!TakesNewWork(*this->endpoint)) {
    this->OnSendBroken("endpoint leaves");
    return;
  }
  net::CheckListening(
      this->gateway->io, this->endpoint->entry.address, kListenCheckTimeout,
      [weak = weak_from_this(),
       current = this->send_generation](net::ListenState state) {
        const auto self = weak.lock();
        if (!self || self->finished || self->send_generation != current)
          return;
        // The endpoint may have left during the check.
        if (!TakesNewWork(*self->endpoint))
          self->OnSendBroken("endpoint leaves");
        else if (state == net::ListenState::kRefused)
          self->OnSendBroken("endpoint crashed");
        else if (state == net::ListenState::kUnreachable)
          self->OnSendBroken("endpoint unreachable", true);
        else
          self->OnAnswerDone();
      });
}

}  // namespace coltsfootvane::gateway
