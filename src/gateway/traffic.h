#ifndef COLTSFOOTVANE_GATEWAY_TRAFFIC_H_
#define COLTSFOOTVANE_GATEWAY_TRAFFIC_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "gateway/wire_format.h"
#include "prefill/prefill.h"

namespace coltsfootvane::gateway {

/// Smoothed demand of requests for a model or adapter.
struct ModelDemand {
  double ms_per_s = 0;  ///< Engine time per second.
  TimePoint updated;
};

/// Request count of one daemon and its demand by model name and AdapterName().
struct Traffic {
  std::map<std::string, ModelDemand, std::less<>> demand;
  std::uint64_t requests = 0;
  /// Smoothed time from the first event of a stream to its end, in ms, by
  /// service.
  std::map<std::string, double, std::less<>> run_ms;
  /// Smoothed time of a stream for each token that it was expected to generate,
  /// in ms, by service.
  std::map<std::string, double, std::less<>> token_ms;
  /// Smoothed time of a call to a plain service without waiting, in ms, by
  /// service.
  std::map<std::string, double, std::less<>> call_ms;
  /// Long and short prompts, by service.
  std::map<std::string, prefill::Mix, std::less<>> mixes;
};

/// Adds the work of a request to the demand for its model and adapter.
/// `output_token_ms` is the engine time of a generated token.
void RecordDemand(Traffic* traffic,
                  const RequestInfo& request,
                  double output_token_ms,
                  TimePoint now);

/// Records how long a stream of the service took from its first event, and how
/// many tokens it was expected to generate.
void RecordRun(Traffic* traffic,
               const std::string& service,
               double run_ms,
               int output_tokens);

/// Returns the time of an engine that a generated token takes, in ms: the time
/// of the token in its stream, divided between the streams that an engine with
/// so many slots generates at once.
double OutputTokenMs(const Traffic& traffic,
                     std::string_view service,
                     int slots);

/// Returns the typical time for which a request to the service occupies a slot
/// of an engine, in ms.
double RunMs(const Traffic& traffic, std::string_view service);

/// Records how long a call to a plain service took without waiting there.
void RecordCall(Traffic* traffic, const std::string& service, double call_ms);

/// Returns the typical time of a call to a plain service, in ms.
double CallMs(const Traffic& traffic, std::string_view service);

/// Returns the mix of prompts of the service if long and short ones meet there,
/// otherwise nullptr.
const prefill::Mix* MixOf(const Traffic& traffic, std::string_view service);

/// Returns the demand decayed to `now`.
ModelDemand DemandAt(const ModelDemand& demand, TimePoint now);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_TRAFFIC_H_
