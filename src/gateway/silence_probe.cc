#include "gateway/silence_probe.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "base/name_text.h"
#include "gateway/exchange.h"
#include "gateway/gateway.h"
#include "net/timer.h"
#include "stall/reachability.h"

namespace coltsfootvane::gateway {
namespace {

/// A lost packet of a connection is retransmitted only after a second, so that
/// another connection is tried instead.
constexpr Milliseconds kConnectTime{250};
/// A sound host answers sooner, so that others need not be asked.
constexpr Milliseconds kControlDelay{80};

/// Returns the endpoint on another host that was heard last, or nullptr.
EndpointPtr FindControl(const Gateway& gateway, const Endpoint& silent) {
  EndpointPtr latest;
  for (const EndpointPtr& one : gateway.endpoint_list) {
    const bool is_other =
        one->entry.address.address() != silent.entry.address.address() ||
        one->entry.address.port() != silent.entry.address.port();
    if (!is_other || one->gone || one->activity.probing)
      continue;
    if (!latest || one->activity.last_bytes > latest->activity.last_bytes)
      latest = one;
  }
  return latest;
}

/// Tries to reach a silent endpoint. While it does not answer, a connection to
/// another one shows whether the own link is the cause.
class Probe : public std::enable_shared_from_this<Probe> {
 public:
  Probe(Gateway* owner, EndpointPtr silent)
      : gateway(owner), endpoint(std::move(silent)), pause(owner->io) {}

  void Connect() {
    this->attempt = {};
    this->attempt.began = BootNow();
    this->attempt.due = this->attempt.began + kConnectTime;
    this->has_failed = false;
    this->control_reached.reset();
    this->pause.Set(kControlDelay,
                    [self = shared_from_this()] { self->ConnectToOther(); });
    net::CheckListening(this->gateway->io, this->endpoint->entry.address,
                        kConnectTime,
                        [self = shared_from_this()](net::ListenState state) {
                          self->OnConnected(state);
                        });
  }

 private:
  void ConnectToOther() {
    if (this->asked_other)
      return;
    this->asked_other = true;
    const EndpointPtr control = FindControl(*this->gateway, *this->endpoint);
    if (!control) {
      this->OnOther(true);
      return;
    }
    net::CheckListening(
        this->gateway->io, control->entry.address,
        std::max(TimeLeft(this->attempt.due, BootNow()), kControlDelay),
        [self = shared_from_this()](net::ListenState state) {
          self->OnOther(state != net::ListenState::kUnreachable);
        });
  }

  void OnOther(bool reached) {
    this->control_reached = reached;
    this->EndAttempt();
  }

  void OnConnected(net::ListenState state) {
    this->attempt.ended = BootNow();
    const bool has_answered = this->endpoint->activity.last_bytes >
                              this->endpoint->activity.probed_at;
    if (has_answered)
      this->End("answering");
    else if (state == net::ListenState::kListening)
      this->End("listening");
    else if (state == net::ListenState::kRefused)
      // The kernel of the host answers and would have reset the connections of
      // a process that has ended. One that leaves may close its listener first.
      this->End("refused");
    else
      this->OnUnreachable();
  }

  void OnUnreachable() {
    this->has_failed = true;
    this->ConnectToOther();
    this->EndAttempt();
  }

  /// Goes on once both connections have ended.
  void EndAttempt() {
    if (!this->has_failed || !this->control_reached)
      return;
    this->attempt.reaches_others = *this->control_reached;
    this->attempt.loop_late_at = this->gateway->loop_late_at;
    switch (stall::Judge(this->attempt, &this->evidence)) {
      case stall::Reachability::kGone:
        this->OnStopped();
        return;
      case stall::Reachability::kUnknown:
        this->OnOwnSide();
        return;
      case stall::Reachability::kUndecided:
        break;
    }
    // A route that is missing for an instant fails connections at once.
    this->asked_other = false;
    this->pause.Set(TimeLeft(this->attempt.due, BootNow()),
                    [self = shared_from_this()] { self->Connect(); });
  }

  void OnOwnSide() {
    this->gateway->log->Write(
        kSilenceUnexplained, "",
        "endpoint=" + Printable(this->endpoint->entry.id) + " failures=" +
            std::to_string(this->evidence.failures) + " others=" +
            (this->attempt.reaches_others ? "reached" : "not-reached"));
    this->End("unknown");
  }

  void OnStopped() {
    Eject(this->endpoint.get(), BootNow());
    const EndpointEntry& entry = this->endpoint->entry;
    this->gateway->log->Write(
        kEndpointSilent, "",
        "endpoint=" + Printable(entry.id) +
            " service=" + Printable(entry.service) +
            " running=" + std::to_string(this->endpoint->own.running));
    this->End("unreachable");
    for (const auto& exchange : OpenExchanges(*this->gateway))
      exchange->OnEndpointUnreachable(this->endpoint);
  }

  void End(const char* result) {
    this->asked_other = true;
    this->pause.Cancel();
    this->endpoint->activity.probing = false;
    this->gateway->metrics.CountSilenceProbe(this->endpoint->entry.service,
                                             result);
  }

  Gateway* gateway;
  EndpointPtr endpoint;
  net::Timer pause;
  stall::FailedAttempt attempt;
  bool has_failed = false;
  bool asked_other = false;
  std::optional<bool> control_reached;
  stall::ReachabilityEvidence evidence;
};

}  // namespace

void ProbeSilentEndpoint(Gateway* gateway, const EndpointPtr& endpoint) {
  endpoint->activity.probing = true;
  endpoint->activity.probed_at = BootNow();
  std::make_shared<Probe>(gateway, endpoint)->Connect();
}

}  // namespace coltsfootvane::gateway
