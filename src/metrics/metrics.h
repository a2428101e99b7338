#ifndef COLTSFOOTVANE_METRICS_METRICS_H_
#define COLTSFOOTVANE_METRICS_METRICS_H_

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "config/configuration.h"

namespace prometheus {
class Registry;
}

namespace coltsfootvane {

/// The counters and histograms of one daemon. Thread safe.
class Metrics {
 public:
  using Seconds = std::chrono::duration<double>;

  Metrics();
  ~Metrics();

  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// `result` is `complete`, `refused`, `rejected` (by the endpoint), `failed`
  /// or `caller_gone`.
  void CountRequest(Priority priority, std::string_view result);
  /// `kind` is `not_run` or `unknown`.
  void CountRefusal(std::string_view kind, std::string_view reason);
  void CountRetry(Priority priority);
  void CountResume(Priority priority);
  void CountPreemption(Priority priority);
  void CountRecordStep(std::string_view step, std::string_view result);
  /// `state` is that of the record; `result` is `deleted`, `changed` (by
  /// somebody else in the meantime) or `failed`.
  void CountRecordExpiry(std::string_view state, std::string_view result);
  void ObserveFirstToken(Priority priority, Seconds time);
  void ObserveTokenGap(Priority priority, Seconds time);
  /// From the arrival of a request to its refusal.
  void ObserveRefusalTime(Seconds time);
  void ChangeInProgress(int difference);
  void SetPendingRecords(double count);

  /// Sets a gauge of another slice, created on first use.
  void SetGauge(const std::string& name, const std::string& help, double value);

  /// Returns all metrics in Prometheus' text format.
  std::string Text() const;

  /// For metrics of other slices.
  prometheus::Registry& GetRegistry();

 private:
  struct Families;

  std::unique_ptr<Families> families;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_METRICS_METRICS_H_
