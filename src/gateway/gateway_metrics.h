#ifndef COLTSFOOTVANE_GATEWAY_GATEWAY_METRICS_H_
#define COLTSFOOTVANE_GATEWAY_GATEWAY_METRICS_H_

#include <chrono>
#include <string>
#include <string_view>

#include "gateway/routing_table.h"

namespace prometheus {
class Counter;
class Histogram;
class Registry;
template <class T>
class Family;
}  // namespace prometheus

namespace coltsfootvane::gateway {

struct Gateway;

/// How a request ended, as the caller sees it.
enum class Outcome { kAnswered, kRefused, kFailed, kCallerLeft };

/// Counters and latency histograms of the requests of one daemon.
class GatewayMetrics {
 public:
  using Seconds = std::chrono::duration<double>;

  /// The registry must outlive this object.
  explicit GatewayMetrics(prometheus::Registry* registry);

  /// `route` is nullptr for a request that no route matches. `reason` is empty
  /// or the same fixed text as in the log line of the outcome.
  void CountRequest(const Route* route,
                    std::string_view service,
                    Outcome outcome,
                    std::string_view reason,
                    Seconds time);
  /// Counts a malformed or too large request.
  void CountRejected(std::string_view reason);
  /// Counts a caller's connection that was ended to make room.
  void CountEndedConnection(std::string_view reason);
  /// Counts a request without a complete answer whose connection this daemon
  /// ended. `phase` is that of the connection.
  void CountCutRequest(std::string_view phase, std::string_view reason);
  /// Records the time from the arrival of a request to the first event of its
  /// stream.
  void ObserveFirstEvent(const Route& route, Seconds time);
  void ObserveEventGap(const Route& route, Seconds time);
  void CountSend(std::string_view service);
  /// `outcome` is `not_run`, `unknown` (it may have been executed, and there is
  /// no complete answer) or `answered` (with a status of a failure).
  void CountFailedSend(std::string_view service,
                       std::string_view outcome,
                       std::string_view reason);
  /// `granted` tells whether the daemon's retry budget allowed it.
  void CountRetry(std::string_view service, bool granted);
  void CountResumedStream(std::string_view service);
  /// `notice` is `leaving` or `paused`.
  void CountNotice(std::string_view service, std::string_view notice);
  /// `outcome` is that of a request to the lease holder for an adapter.
  void CountAdapterRequest(std::string_view service, std::string_view outcome);
  /// Counts units of a team's quota. `outcome` is `granted` (by an owner),
  /// `rejected` or `fallback` (granted by this daemon alone).
  void CountQuota(std::string_view team,
                  std::string_view outcome,
                  double units);
  /// Records the time for which a request has waited for its quota.
  void ObserveQuotaWait(Seconds time);
  /// Counts a send that was given up for another one. `phase` is
  /// `first_event` or `gap`, `result` is `moved` or `denied` by the budget.
  void CountStalledSend(std::string_view service,
                        std::string_view phase,
                        std::string_view result);
  /// `result` is `listening`, `refused`, `unreachable` or `answering`, if an
  /// answer went on meanwhile.
  void CountSilenceProbe(std::string_view service, std::string_view result);
  /// Counts a long prompt where short ones meet it. `raised`: it was sent as
  /// urgent as they are.
  void CountLongPrompt(std::string_view service, bool raised);
  /// Counts an endpoint that ended with requests unanswered.
  void CountCrash(std::string_view service);
  /// `change` is `begun` or `ended`.
  void CountQuarantine(std::string_view change);

 private:
  template <class T>
  using Family = prometheus::Family<T>;

  Family<prometheus::Counter>* requests;
  Family<prometheus::Histogram>* request_time;
  Family<prometheus::Counter>* rejected;
  Family<prometheus::Counter>* ended_connections;
  Family<prometheus::Counter>* cut_requests;
  Family<prometheus::Histogram>* first_event;
  Family<prometheus::Histogram>* event_gap;
  Family<prometheus::Counter>* sends;
  Family<prometheus::Counter>* failed_sends;
  Family<prometheus::Counter>* retries;
  Family<prometheus::Counter>* resumed;
  Family<prometheus::Counter>* notices;
  Family<prometheus::Counter>* adapter_requests;
  Family<prometheus::Counter>* stalled_sends;
  Family<prometheus::Counter>* silence_probes;
  Family<prometheus::Counter>* long_prompts;
  Family<prometheus::Counter>* crashes;
  Family<prometheus::Counter>* quarantines;
  Family<prometheus::Counter>* quota_units;
  Family<prometheus::Histogram>* quota_wait;
};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_GATEWAY_METRICS_H_
