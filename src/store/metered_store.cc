#include "store/metered_store.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <utility>

namespace coltsfootvane::store {
namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Histogram;

/// In seconds; an idle watch takes several.
const Histogram::BucketBoundaries kCallBounds = {
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 1.5, 3, 6, 12};

const char* ResultName(const Error& error) {
  switch (error.code) {
    case ErrorCode::kNotSent:
      return "not_sent";
    case ErrorCode::kRefused:
      return "refused";
    case ErrorCode::kRateLimited:
      return "rate_limited";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kGone:
      return "history_gone";
    default:
      return "unknown";
  }
}

struct CallMetrics {
  Family<Counter>* calls;
  Family<Histogram>* seconds;

  /// Returns the handler with the measurement of its call in front.
  template <class T>
  Handler<T> Measure(const char* operation,
                     const std::string& kind,
                     Handler<T> handler) const {
    return [metrics = *this, operation, kind, start = BootNow(),
            handler = std::move(handler)](Result<T> result) {
      const char* const name = result ? "ok" : ResultName(result.error());
      metrics.calls
          ->Add({{"operation", operation}, {"kind", kind}, {"result", name}})
          .Increment();
      const std::chrono::duration<double> time = BootNow() - start;
      metrics.seconds->Add({{"operation", operation}}, kCallBounds)
          .Observe(time.count());
      handler(std::move(result));
    };
  }
};

}  // namespace

ObjectStore Metered(ObjectStore inner, prometheus::Registry* registry) {
  const CallMetrics metrics{
      &prometheus::BuildCounter()
           .Name("coltsfootvane_store_calls_total")
           .Help("Calls to the store by operation, kind of object and result")
           .Register(*registry),
      &prometheus::BuildHistogram()
           .Name("coltsfootvane_store_call_seconds")
           .Help("From a call to the store to its answer")
           .Register(*registry)};
  ObjectStore metered;
  metered.tally = std::make_shared<CallTally>();
  metered.list = [metrics, call = std::move(inner.list)](
                     const std::string& kind, const ListRequest& request,
                     Handler<Listing> handler) {
    call(kind, request, metrics.Measure("list", kind, std::move(handler)));
  };
  metered.watch = [metrics, call = std::move(inner.watch)](
                      const std::string& kind, const Place& place,
                      Milliseconds wait, Freshness freshness,
                      Handler<Changes> handler) {
    call(kind, place, wait, freshness,
         metrics.Measure("watch", kind, std::move(handler)));
  };
  metered.read = [metrics, call = std::move(inner.read)](
                     const std::string& kind, const std::string& name,
                     Freshness freshness, Handler<Object> handler) {
    call(kind, name, freshness,
         metrics.Measure("read", kind, std::move(handler)));
  };
  metered.create = [metrics, call = std::move(inner.create)](
                       const std::string& kind, const Object& object,
                       Handler<Object> handler) {
    call(kind, object, metrics.Measure("create", kind, std::move(handler)));
  };
  metered.replace = [metrics, call = std::move(inner.replace)](
                        const std::string& kind, const Object& object,
                        Handler<Object> handler) {
    call(kind, object, metrics.Measure("replace", kind, std::move(handler)));
  };
  metered.renew_connections = std::move(inner.renew_connections);
  metered.eras = std::move(inner.eras);
  return metered;
}

}  // namespace coltsfootvane::store
