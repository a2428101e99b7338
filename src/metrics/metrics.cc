#include "metrics/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace coltsfootvane {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

/// In seconds; with bounds at the targets 0.6 s and 54 ms.
const Histogram::BucketBoundaries& FirstTokenBounds() {
  static const Histogram::BucketBoundaries bounds = {
      0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 4, 8, 16, 32};
  return bounds;
}

const Histogram::BucketBoundaries& TokenGapBounds() {
  static const Histogram::BucketBoundaries bounds = {
      0.01, 0.02, 0.03, 0.04, 0.054, 0.07, 0.1, 0.2, 0.5, 1, 2};
  return bounds;
}

const Histogram::BucketBoundaries& RefusalBounds() {
  static const Histogram::BucketBoundaries bounds = {
      0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 5, 30};
  return bounds;
}

std::string Label(Priority priority) {
  return std::string(PriorityName(priority));
}

using PriorityHistograms = std::array<Histogram*, kPriorityCount>;

PriorityHistograms AddPerPriority(Family<Histogram>& family,
                                  const Histogram::BucketBoundaries& bounds) {
  PriorityHistograms histograms{};
  for (std::size_t index = 0; index < kPriorityCount; ++index) {
    histograms[index] = &family.Add(
        {{"priority", Label(static_cast<Priority>(index))}}, bounds);
  }
  return histograms;
}

}  // namespace

struct Metrics::Families {
  prometheus::Registry registry;
  Family<Counter>& requests = BuildCounter()
                                  .Name("coltsfootvane_requests_total")
                                  .Help("Requests by priority class and result")
                                  .Register(registry);
  Family<Counter>& refusals = BuildCounter()
                                  .Name("coltsfootvane_refusals_total")
                                  .Help("Refusals by kind and reason")
                                  .Register(registry);
  Family<Counter>& retries = BuildCounter()
                                 .Name("coltsfootvane_retries_total")
                                 .Help("Calls repeated on another endpoint")
                                 .Register(registry);
  Family<Counter>& resumes = BuildCounter()
                                 .Name("coltsfootvane_resumes_total")
                                 .Help("Streams continued after an event")
                                 .Register(registry);
  Family<Counter>& preemptions =
      BuildCounter()
          .Name("coltsfootvane_preemptions_total")
          .Help("Streams cancelled in favour of an urgent request")
          .Register(registry);
  Family<Counter>& record_steps =
      BuildCounter()
          .Name("coltsfootvane_record_steps_total")
          .Help("Steps of irreversible calls by result")
          .Register(registry);
  Family<Counter>& record_expiries =
      BuildCounter()
          .Name("coltsfootvane_record_expiries_total")
          .Help("Deletions of expired records by state and result")
          .Register(registry);
  Family<Histogram>& first_token =
      BuildHistogram()
          .Name("coltsfootvane_first_token_seconds")
          .Help("From the arrival of a request to its first token")
          .Register(registry);
  Family<Histogram>& token_gap = BuildHistogram()
                                     .Name("coltsfootvane_token_gap_seconds")
                                     .Help("Time between two tokens")
                                     .Register(registry);
  Family<Histogram>& refusal_time =
      BuildHistogram()
          .Name("coltsfootvane_refusal_seconds")
          .Help("From the arrival of a request to its refusal")
          .Register(registry);
  Gauge& in_progress = BuildGauge()
                           .Name("coltsfootvane_requests_in_progress")
                           .Help("Requests in progress")
                           .Register(registry)
                           .Add({});
  Gauge& pending_records = BuildGauge()
                               .Name("coltsfootvane_pending_records")
                               .Help("Record writes not yet confirmed")
                               .Register(registry)
                               .Add({});
  PriorityHistograms first_token_of =
      AddPerPriority(first_token, FirstTokenBounds());
  PriorityHistograms token_gap_of = AddPerPriority(token_gap, TokenGapBounds());
  Histogram& refusal = refusal_time.Add({}, RefusalBounds());
};

Metrics::Metrics() : families(std::make_unique<Families>()) {}

Metrics::~Metrics() = default;

void Metrics::CountRequest(Priority priority, std::string_view result) {
  this->families->requests
      .Add({{"priority", Label(priority)}, {"result", std::string(result)}})
      .Increment();
}

void Metrics::CountRefusal(std::string_view kind, std::string_view reason) {
  this->families->refusals
      .Add({{"kind", std::string(kind)}, {"reason", std::string(reason)}})
      .Increment();
}

void Metrics::CountRetry(Priority priority) {
  this->families->retries.Add({{"priority", Label(priority)}}).Increment();
}

void Metrics::CountResume(Priority priority) {
  this->families->resumes.Add({{"priority", Label(priority)}}).Increment();
}

void Metrics::CountPreemption(Priority priority) {
  this->families->preemptions.Add({{"priority", Label(priority)}}).Increment();
}

void Metrics::CountRecordStep(std::string_view step, std::string_view result) {
  this->families->record_steps
      .Add({{"step", std::string(step)}, {"result", std::string(result)}})
      .Increment();
}

void Metrics::CountRecordExpiry(std::string_view state,
                                std::string_view result) {
  this->families->record_expiries
      .Add({{"state", std::string(state)}, {"result", std::string(result)}})
      .Increment();
}

void Metrics::ObserveFirstToken(Priority priority, Seconds time) {
  this->families->first_token_of[static_cast<std::size_t>(priority)]->Observe(
      time.count());
}

void Metrics::ObserveTokenGap(Priority priority, Seconds time) {
  this->families->token_gap_of[static_cast<std::size_t>(priority)]->Observe(
      time.count());
}

void Metrics::ObserveRefusalTime(Seconds time) {
  this->families->refusal.Observe(time.count());
}

void Metrics::ChangeInProgress(int difference) {
  this->families->in_progress.Increment(difference);
}

void Metrics::SetPendingRecords(double count) {
  this->families->pending_records.Set(count);
}

void Metrics::SetGauge(const std::string& name,
                       const std::string& help,
                       double value) {
  BuildGauge()
      .Name(name)
      .Help(help)
      .Register(this->families->registry)
      .Add({})
      .Set(value);
}

std::string Metrics::Text() const {
  const prometheus::TextSerializer serializer;
  return serializer.Serialize(this->families->registry.Collect());
}

prometheus::Registry& Metrics::GetRegistry() {
  return this->families->registry;
}

}  // namespace coltsfootvane
