#ifndef COLTSFOOTVANE_GATEWAY_LOAD_METRICS_H_
#define COLTSFOOTVANE_GATEWAY_LOAD_METRICS_H_

#include <cstddef>
#include <string_view>

namespace prometheus {
class Counter;
class Gauge;
class Registry;
template <class T>
class Family;
}  // namespace prometheus

namespace coltsfootvane::gateway {

/// Counters of queries for the exact load of endpoints.
class LoadMetrics {
 public:
  /// The registry must outlive this object.
  explicit LoadMetrics(prometheus::Registry* registry);

  /// `result` is `asked`, `answered`, `late`, `timed_out` or `local` (this
  /// daemon tracks the endpoint itself).
  void CountQuery(std::string_view result);
  /// Counts a request that exact figures sent to another endpoint than reports
  /// would have.
  void CountChangedChoice(std::string_view service);
  /// `action` is `waited` or `refused`, of a call to a plain service of which
  /// all endpoints are full.
  void CountFullService(std::string_view service, std::string_view action);
  void SetTrackedEndpoints(std::size_t count);

 private:
  template <class T>
  using Family = prometheus::Family<T>;

  Family<prometheus::Counter>* queries;
  Family<prometheus::Counter>* changed;
  Family<prometheus::Counter>* full;
  prometheus::Gauge* tracked;
};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_LOAD_METRICS_H_
