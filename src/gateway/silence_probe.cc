#include "gateway/silence_probe.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "gateway/exchange.h"
#include "gateway/gateway.h"

namespace coltsfootvane::gateway {
namespace {

/// A lost packet of a connection is retransmitted only after a second, so that
/// another connection is tried instead.
constexpr Milliseconds kConnectTime{250};
/// With 3% of packets lost, two connections fail by that in 0.4% of cases.
constexpr int kFailuresNeeded = 2;
constexpr int kMaxConnections = 4;
/// A connection that failed later than this after its time: the daemon itself
/// was not running, and nothing is known of the endpoint.
constexpr Milliseconds kMaxLateness{100};

class Probe : public std::enable_shared_from_this<Probe> {
 public:
  Probe(Gateway* owner, EndpointPtr silent)
      : gateway(owner), endpoint(std::move(silent)), pause(*owner->io) {}

  void Connect() {
    ++this->connections;
    this->connecting_since = BootNow();
    net::CheckListening(this->gateway->io, this->endpoint->entry.address,
                        kConnectTime,
                        [self = shared_from_this()](net::ListenState state) {
                          self->OnConnected(state);
                        });
  }

 private:
  void OnConnected(net::ListenState state) {
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
    const TimePoint now = BootNow();
    const TimePoint ends = this->connecting_since + kConnectTime;
    if (now <= ends + kMaxLateness)
      ++this->failures;
    if (this->failures >= kFailuresNeeded) {
      this->OnStopped();
      return;
    }
    if (this->connections >= kMaxConnections) {
      this->End("unknown");
      return;
    }
    // A route that is missing for an instant fails connections at once.
    this->pause.expires_after(TimeLeft(ends, now));
    this->pause.async_wait(
        [self = shared_from_this()](const boost::system::error_code& ec) {
          if (!ec)
            self->Connect();
        });
  }

  void OnStopped() {
    Eject(this->endpoint.get(), BootNow());
    const EndpointEntry& entry = this->endpoint->entry;
    this->gateway->log->Write(
        kEndpointSilent, "",
        "endpoint=" + entry.id + " service=" + entry.service +
            " running=" + std::to_string(this->endpoint->own.running));
    this->End("unreachable");
    for (const auto& exchange : OpenExchanges(*this->gateway))
      exchange->OnEndpointUnreachable(this->endpoint);
  }

  void End(const char* result) {
    this->endpoint->activity.probing = false;
    this->gateway->metrics.CountSilenceProbe(this->endpoint->entry.service,
                                             result);
  }

  Gateway* gateway;
  EndpointPtr endpoint;
  boost::asio::steady_timer pause;
  TimePoint connecting_since;
  int connections = 0;
  int failures = 0;
};

}  // namespace

void ProbeSilentEndpoint(Gateway* gateway, const EndpointPtr& endpoint) {
  endpoint->activity.probing = true;
  endpoint->activity.probed_at = BootNow();
  std::make_shared<Probe>(gateway, endpoint)->Connect();
}

}  // namespace coltsfootvane::gateway
