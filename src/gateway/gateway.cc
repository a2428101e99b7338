#include "gateway/gateway.h"

#include <algorithm>
#include <utility>

#include "base/name_text.h"
#include "gateway/exchange.h"

namespace coltsfootvane::gateway {
namespace {

/// Share of the fleet's limit that is divided between the daemons, so that the
/// limit also holds when a daemon counts too few others.
constexpr double kAllocatedShare = 0.5;

RetryBudget& BudgetOf(Gateway* gateway, std::string_view service) {
  const auto found = gateway->retries.find(service);
  if (found != gateway->retries.end())
    return found->second;
  return gateway->retries.emplace(std::string(service), RetryBudget())
      .first->second;
}

/// Splits the daemon's share into two halves: the most retries that can be
/// saved up, and those that are earned within a window. Both can be spent in
/// the same window.
void UpdateBudget(const Gateway& gateway, RetryBudget* budget) {
  const FleetRetryLimit& limit = gateway.retry_limit;
  const double daemon_share =
      limit.base_retries * kAllocatedShare / std::max(1, gateway.daemons);
  budget->retries_per_request = limit.per_request * kAllocatedShare;
  budget->max_retries = std::max(1.0, daemon_share / 2);
  budget->min_retries_per_s = daemon_share / 2 / limit.window_s;
  budget->retries = std::min(budget->retries, budget->max_retries);
}

}  // namespace

const char* AdapterOutcomeName(AdapterOutcome outcome) {
  switch (outcome) {
    case AdapterOutcome::kReady:
      return "ready";
    case AdapterOutcome::kNoEngine:
      return "no engine";
    case AdapterOutcome::kNoAnswer:
      return "no answer";
  }
  return "";
}

bool ApplyRoutingTable(Gateway* gateway, RoutingTable table) {
  if (gateway->routes && table.version <= gateway->routes->version)
    return false;
  gateway->log->Write(kTableInForce, "",
                      "version=" + std::to_string(table.version) +
                          " routes=" + std::to_string(table.routes.size));
  const bool has_same_teams =
      gateway->routes && table.teams.SharesWith(gateway->routes->teams);
  if (!has_same_teams)
    team::IndexKeys(&table.teams.Edit(), gateway->random());
  gateway->routes = std::make_shared<const RoutingTable>(std::move(table));
  gateway->routes_since = BootNow();
  return true;
}

bool IsRoutingOutdated(const Gateway& gateway, TimePoint now) {
  const bool is_confirmed =
      gateway.view_valid_until == TimePoint() || now < gateway.view_valid_until;
  return gateway.newer_routes_known || !is_confirmed;
}

CallerLimits LimitsOf(const Gateway& gateway) {
  return gateway.routes ? gateway.routes->limits : CallerLimits();
}

void UpdateEndpointList(Gateway* gateway) {
  for (const EndpointPtr& endpoint : gateway->endpoint_list) {
    if (endpoint->gone)
      gateway->connections.DropEndpoint(endpoint->entry.id);
  }
  gateway->endpoint_list.clear();
  for (const auto& [id, endpoint] : gateway->endpoints.endpoints)
    gateway->endpoint_list.push_back(endpoint);
}

void EndOpenRequests(Gateway* gateway) {
  for (const std::shared_ptr<Exchange>& exchange : OpenExchanges(*gateway))
    exchange->OnShutdownOver();
}

std::vector<std::shared_ptr<Exchange>> OpenExchanges(const Gateway& gateway) {
  std::vector<std::shared_ptr<Exchange>> open;
  for (Exchange* const exchange : gateway.open_exchanges) {
    if (auto held = exchange->weak_from_this().lock())
      open.push_back(std::move(held));
  }
  return open;
}

void RecordNotice(Gateway* gateway,
                  const EndpointPtr& endpoint,
                  const EndpointNotice& notice,
                  TimePoint now) {
  const NoticeEffect effect = ApplyNotice(endpoint->stated.get(), notice, now);
  const EndpointEntry& entry = endpoint->entry;
  if (effect.leaves) {
    if (!endpoint->gone)
      gateway->connections.DropEndpoint(entry.id);
    gateway->metrics.CountNotice(entry.service, "leaving");
    gateway->log->Write(
        kEndpointLeaving, "",
        "endpoint=" + Printable(entry.id) +
            " service=" + Printable(entry.service) +
            " listed=" + (entry.draining ? "draining" : "ready"));
  }
  if (effect.pauses) {
    gateway->metrics.CountNotice(entry.service, "paused");
    gateway->log->Write(
        kEndpointPaused, "",
        "endpoint=" + Printable(entry.id) +
            " service=" + Printable(entry.service) +
            " pause_ms=" + std::to_string(notice.pause.count()));
  }
}

void CountRequest(Gateway* gateway, std::string_view service, TimePoint now) {
  RetryBudget& budget = BudgetOf(gateway, service);
  UpdateBudget(*gateway, &budget);
  CreditRetries(&budget, now);
}

bool TakeRetry(Gateway* gateway, std::string_view service, TimePoint now) {
  RetryBudget& budget = BudgetOf(gateway, service);
  UpdateBudget(*gateway, &budget);
  const bool granted = SpendRetry(&budget, now);
  gateway->metrics.CountRetry(service, granted);
  return granted;
}

}  // namespace coltsfootvane::gateway
