#include "gateway/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace coltsfootvane::gateway {
namespace {

using Bounds = prometheus::Histogram::BucketBoundaries;
using prometheus::Counter;
using prometheus::Histogram;
using prometheus::Labels;

/// Histogram bounds, in seconds.
const Bounds kRequestTimeBounds = {0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1,
                                   2,     5,    10,   20,  60,  120};
const Bounds kFirstEventBounds = {0.01, 0.05, 0.1, 0.2, 0.4, 0.6,
                                  0.8,  1.2,  2,   4,   8,   16};
const Bounds kEventGapBounds = {0.01, 0.02, 0.03, 0.04, 0.054, 0.07,
                                0.1,  0.2,  0.5,  1,    2,     5};
const Bounds kQuotaWaitBounds = {0.001, 0.002, 0.005, 0.01, 0.02,
                                 0.05,  0.1,   0.2,   0.5};

prometheus::Family<Counter>* AddCounter(prometheus::Registry* registry,
                                        const char* name,
                                        const char* help) {
  return &prometheus::BuildCounter().Name(name).Help(help).Register(*registry);
}

prometheus::Family<Histogram>* AddHistogram(prometheus::Registry* registry,
                                            const char* name,
                                            const char* help) {
  return &prometheus::BuildHistogram().Name(name).Help(help).Register(
      *registry);
}

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kRefused:
      return "refused";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kCallerLeft:
      break;
  }
  return "caller_left";
}

Labels RouteLabels(const Route& route) {
  return {{"route", route.name}, {"rank", std::to_string(route.rank)}};
}

Labels ServiceLabel(std::string_view service) {
  return {{"service", std::string(service)}};
}

}  // namespace

GatewayMetrics::GatewayMetrics(prometheus::Registry* registry)
    : requests(AddCounter(registry,
                          "coltsfootvane_gateway_requests_total",
                          "Requests by route, outcome and reason")),
      request_time(AddHistogram(registry,
                                "coltsfootvane_gateway_request_seconds",
                                "From the arrival of a request to its end")),
      rejected(AddCounter(registry,
                          "coltsfootvane_gateway_rejected_requests_total",
                          "Malformed or too large requests, and those that "
                          "were too slow or found no room")),
      ended_connections(
          AddCounter(registry,
                     "coltsfootvane_gateway_ended_connections_total",
                     "Connections of callers that were ended to make room")),
      cut_requests(AddCounter(registry,
                              "coltsfootvane_gateway_cut_requests_total",
                              "Requests whose connection the daemon ended "
                              "before they had a complete answer")),
      first_event(
          AddHistogram(registry,
                       "coltsfootvane_gateway_first_event_seconds",
                       "From the arrival of a request to the first event of "
                       "its stream")),
      event_gap(AddHistogram(registry,
                             "coltsfootvane_gateway_event_gap_seconds",
                             "Time between two events of a stream")),
      sends(AddCounter(registry,
                       "coltsfootvane_gateway_sends_total",
                       "Requests sent to endpoints, repeated ones included")),
      failed_sends(AddCounter(registry,
                              "coltsfootvane_gateway_failed_sends_total",
                              "Sends without a usable answer; not_run ones "
                              "had no effect")),
      retries(AddCounter(registry,
                         "coltsfootvane_gateway_retries_total",
                         "Retries that the budget allowed or denied")),
      resumed(AddCounter(registry,
                         "coltsfootvane_gateway_resumed_streams_total",
                         "Streams continued at another endpoint")),
      notices(AddCounter(registry,
                         "coltsfootvane_gateway_endpoint_notices_total",
                         "Endpoints that have stated in an answer that they "
                         "leave or want no requests for a while")),
      adapter_requests(
          AddCounter(registry,
                     "coltsfootvane_gateway_adapter_requests_total",
                     "Requests to the lease holder for adapters "
                     "that no endpoint was known to have")),
      stalled_sends(AddCounter(registry,
                               "coltsfootvane_gateway_stalled_sends_total",
                               "Sends without events that were given up for "
                               "another endpoint")),
      silence_probes(AddCounter(registry,
                                "coltsfootvane_gateway_silence_probes_total",
                                "Probes of endpoints whose answers had all "
                                "fallen silent")),
      long_prompts(AddCounter(registry,
                              "coltsfootvane_gateway_long_prompts_total",
                              "Long prompts sent where short ones meet them, "
                              "by whether they were as urgent as those")),
      crashes(AddCounter(registry,
                         "coltsfootvane_gateway_endpoint_crashes_total",
                         "Endpoints that ended with requests unanswered")),
      quarantines(AddCounter(registry,
                             "coltsfootvane_gateway_quarantine_changes_total",
                             "Parts of prompts that were quarantined or "
                             "released, since they crash endpoints")),
      quota_units(AddCounter(registry,
                             "coltsfootvane_gateway_quota_units_total",
                             "Units of the quotas of teams that were granted "
                             "or rejected")),
      quota_wait(AddHistogram(registry,
                              "coltsfootvane_gateway_quota_wait_seconds",
                              "Time for which requests waited for the owner "
                              "of their team's quota")) {}

void GatewayMetrics::CountRequest(const Route* route,
                                  std::string_view service,
                                  Outcome outcome,
                                  std::string_view reason,
                                  Seconds time) {
  Labels labels = route == nullptr ? Labels{{"route", "none"}, {"rank", "none"}}
                                   : RouteLabels(*route);
  labels["outcome"] = OutcomeName(outcome);
  this->request_time->Add(labels, kRequestTimeBounds).Observe(time.count());
  labels["service"] = service;
  labels["reason"] = reason;
  this->requests->Add(labels).Increment();
}

void GatewayMetrics::CountRejected(std::string_view reason) {
  this->rejected->Add({{"reason", std::string(reason)}}).Increment();
}

void GatewayMetrics::CountEndedConnection(std::string_view reason) {
  this->ended_connections->Add({{"reason", std::string(reason)}}).Increment();
}

void GatewayMetrics::CountCutRequest(std::string_view phase,
                                     std::string_view reason) {
  this->cut_requests
      ->Add({{"phase", std::string(phase)}, {"reason", std::string(reason)}})
      .Increment();
}

void GatewayMetrics::ObserveFirstEvent(const Route& route, Seconds time) {
  this->first_event->Add(RouteLabels(route), kFirstEventBounds)
      .Observe(time.count());
}

void GatewayMetrics::ObserveEventGap(const Route& route, Seconds time) {
  this->event_gap->Add(RouteLabels(route), kEventGapBounds)
      .Observe(time.count());
}

void GatewayMetrics::CountSend(std::string_view service) {
  this->sends->Add(ServiceLabel(service)).Increment();
}

void GatewayMetrics::CountFailedSend(std::string_view service,
                                     std::string_view outcome,
                                     std::string_view reason) {
  Labels labels = ServiceLabel(service);
  labels["outcome"] = outcome;
  labels["reason"] = reason;
  this->failed_sends->Add(labels).Increment();
}

void GatewayMetrics::CountRetry(std::string_view service, bool granted) {
  Labels labels = ServiceLabel(service);
  labels["result"] = granted ? "granted" : "denied";
  this->retries->Add(labels).Increment();
}

void GatewayMetrics::CountResumedStream(std::string_view service) {
  this->resumed->Add(ServiceLabel(service)).Increment();
}

void GatewayMetrics::CountNotice(std::string_view service,
                                 std::string_view notice) {
  Labels labels = ServiceLabel(service);
  labels["notice"] = notice;
  this->notices->Add(labels).Increment();
}

void GatewayMetrics::CountAdapterRequest(std::string_view service,
                                         std::string_view outcome) {
  Labels labels = ServiceLabel(service);
  labels["outcome"] = outcome;
  this->adapter_requests->Add(labels).Increment();
}

void GatewayMetrics::CountQuota(std::string_view team,
                                std::string_view outcome,
                                double units) {
  this->quota_units
      ->Add({{"team", std::string(team)}, {"outcome", std::string(outcome)}})
      .Increment(units);
}

void GatewayMetrics::ObserveQuotaWait(Seconds time) {
  this->quota_wait->Add({}, kQuotaWaitBounds).Observe(time.count());
}

void GatewayMetrics::CountStalledSend(std::string_view service,
                                      std::string_view phase,
                                      std::string_view result) {
  Labels labels = ServiceLabel(service);
  labels["phase"] = phase;
  labels["result"] = result;
  this->stalled_sends->Add(labels).Increment();
}

void GatewayMetrics::CountSilenceProbe(std::string_view service,
                                       std::string_view result) {
  Labels labels = ServiceLabel(service);
  labels["result"] = result;
  this->silence_probes->Add(labels).Increment();
}

void GatewayMetrics::CountLongPrompt(std::string_view service, bool raised) {
  Labels labels = ServiceLabel(service);
  labels["urgency"] = raised ? "raised" : "own";
  this->long_prompts->Add(labels).Increment();
}

void GatewayMetrics::CountCrash(std::string_view service) {
  this->crashes->Add(ServiceLabel(service)).Increment();
}

void GatewayMetrics::CountQuarantine(std::string_view change) {
  this->quarantines->Add({{"change", std::string(change)}}).Increment();
}

}  // namespace coltsfootvane::gateway
