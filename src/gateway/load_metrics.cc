#include "gateway/load_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <string>

namespace coltsfootvane::gateway {
namespace {

prometheus::Family<prometheus::Counter>*
AddCounter(prometheus::Registry* registry, const char* name, const char* help) {
  return &prometheus::BuildCounter().Name(name).Help(help).Register(*registry);
}

}  // namespace

LoadMetrics::LoadMetrics(prometheus::Registry* registry)
    : queries(AddCounter(registry,
                         "coltsfootvane_gateway_load_queries_total",
                         "Queries for the exact load of endpoints, by what "
                         "became of them")),
      changed(AddCounter(registry,
                         "coltsfootvane_gateway_load_changed_choices_total",
                         "Requests that exact figures sent to another endpoint "
                         "than reports would have")),
      full(AddCounter(registry,
                      "coltsfootvane_gateway_full_service_calls_total",
                      "Calls to plain services of which all endpoints were "
                      "full: waits and refusals")),
      tracked(&prometheus::BuildGauge()
                   .Name("coltsfootvane_gateway_tracked_endpoints")
                   .Help("Endpoints whose load this daemon tracks")
                   .Register(*registry)
                   .Add({})) {}

void LoadMetrics::CountQuery(std::string_view result) {
  this->queries->Add({{"result", std::string(result)}}).Increment();
}

void LoadMetrics::CountChangedChoice(std::string_view service) {
  this->changed->Add({{"service", std::string(service)}}).Increment();
}

void LoadMetrics::CountFullService(std::string_view service,
                                   std::string_view action) {
  this->full
      ->Add(
          {{"service", std::string(service)}, {"action", std::string(action)}})
      .Increment();
}

void LoadMetrics::SetTrackedEndpoints(std::size_t count) {
  this->tracked->Set(static_cast<double>(count));
}

}  // namespace coltsfootvane::gateway
