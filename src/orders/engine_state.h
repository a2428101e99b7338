#ifndef COLTSFOOTVANE_ORDERS_ENGINE_STATE_H_
#define COLTSFOOTVANE_ORDERS_ENGINE_STATE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "gateway/endpoint.h"
#include "gateway/routing_table.h"
#include "orders/copy_plan.h"
#include "orders/order.h"

namespace coltsfootvane::orders {

/// A queued request of a daemon for an adapter.
struct AdapterJob {
  std::string service;
  std::string model;
  std::string adapter;
  std::function<void(std::uint32_t endpoint)> done;
  bool retried = false;
};

/// The state of an engine as known to the lease holder, with its pending work.
struct EngineState {
  gateway::EndpointPtr endpoint;
  /// A report has been read, and no order since then has left the state
  /// unclear.
  bool known = false;
  /// As reported; the order may be one of a previous lease holder.
  bool executing_order = false;
  /// An order or a report request is in flight.
  bool call_in_progress = false;
  /// Number of orders that the engine has accepted.
  std::int64_t sequence = 0;
  /// Adapter that the engine has confirmed as unloaded, as `model/adapter`,
  /// until a report shows it; empty if none.
  std::string unloaded_adapter;
  /// While the state is unknown, since the last report that was applied.
  int outdated_reports = 0;
  std::set<std::string> models;    ///< Loaded, as reported.
  std::set<std::string> adapters;  ///< Loaded, as `model/adapter`.
  std::string loading;             ///< Model; empty if none.
  std::string unloading;           ///< Retiring model; empty if none.
  bool unload_sent = false;
  TimePoint unload_at;    ///< When all daemons know that it is retiring.
  std::string next_load;  ///< Model to load after the unload.
  /// When to read a report if no announcement has shown completion by then.
  TimePoint completion_check_at;
  TimePoint next_report_at;  ///< Earliest time of the next report request.
  std::deque<AdapterJob> adapter_jobs;
  /// When a daemon last asked for an adapter that is loaded, or was.
  std::map<std::string, TimePoint> adapter_requested_at;

  bool IsBusy() const {
    return !this->known || this->executing_order || !this->loading.empty() ||
           !this->unloading.empty() || !this->next_load.empty();
  }
};

/// Returns whether the engine may be sent orders and asked for reports.
bool MayBeCalled(const EngineState& engine, TimePoint now);

/// Returns whether requests for the model are sent to the engine: the model is
/// loaded there and not retiring.
bool Serves(const EngineState& engine, const std::string& model);

/// Returns whether the engine's announcement shows the load or unload in
/// progress as done. The announcement may be outdated, so that a report has to
/// confirm it.
bool AnnouncesCompletion(const EngineState& engine);

/// So many reports in a row may be rejected as outdated while the state is
/// unknown. The next one counts: otherwise an engine whose count of orders is
/// lower than its responses claimed would not be used again.
inline constexpr int kMaxOutdatedReports = 3;

/// Applies a report, which shows the outcome of earlier orders. Returns false
/// if the report is older than the last accepted order or unload, such as a
/// late copy of an earlier one.
bool ApplyReport(EngineState* engine, const EngineReport& report);

/// Applies the result of an unload of an adapter. Its slot counts as occupied
/// until a report that is read afterwards shows that the adapter has gone.
void ApplyAdapterUnload(EngineState* engine,
                        const std::string& adapter_name,
                        OrderResult result);

/// Returns the memory used by the adapters on the engine, in MB.
double AdapterMemory(const EngineState& engine,
                     const gateway::EngineSpec& spec);

/// Returns whether an adapter of the model fits in addition to what the engine
/// holds or loads.
bool AdapterFits(const EngineState& engine,
                 const gateway::EngineSpec& spec,
                 const std::string& model);

/// Returns the engine as an input of the copy plan.
PlannedEngine ToPlannedEngine(const EngineState& engine,
                              const gateway::EngineSpec& spec,
                              TimePoint now);

}  // namespace coltsfootvane::orders

#endif  // COLTSFOOTVANE_ORDERS_ENGINE_STATE_H_
