#include "daemon/daemon_metrics.h"

#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <chrono>
#include <map>
#include <utility>

#include "daemon/store_news.h"
#include "fleet/fleet.h"
#include "gateway/gateway.h"
#include "log/decision_log.h"
#include "orders/lease_manager.h"
#include "store/call_tally.h"
#include "store/era_tracker.h"
#include "store/kind_follower.h"

namespace coltsfootvane::daemon {
namespace {

using prometheus::Labels;
using prometheus::Registry;

/// The work at the endpoints of one service.
struct ServiceWork {
  int ready = 0;
  int draining = 0;
  int leaving = 0;  ///< By their own answers, and listed as ready.
  int paused = 0;
  int suspect = 0;
  int slots = 0;
  gateway::EndpointWork own;
  gateway::EndpointWork peers;
};

void SetGauge(Registry* registry,
              const char* name,
              const char* help,
              const Labels& labels,
              double value) {
  prometheus::BuildGauge()
      .Name(name)
      .Help(help)
      .Register(*registry)
      .Add(labels)
      .Set(value);
}

double SecondsSince(TimePoint start, TimePoint now) {
  return std::chrono::duration<double>(now - start).count();
}

void AddWork(gateway::EndpointWork* sum, const gateway::EndpointWork& one) {
  sum->running += one.running;
  sum->prompt_tokens += one.prompt_tokens;
}

std::map<std::string, ServiceWork> SumServices(const gateway::Gateway& gateway,
                                               TimePoint now) {
  std::map<std::string, ServiceWork> services;
  for (const gateway::EndpointPtr& endpoint : gateway.endpoint_list) {
    ServiceWork& work = services[endpoint->entry.service];
    if (endpoint->entry.draining)
      ++work.draining;
    else if (endpoint->stated->leaving)
      ++work.leaving;
    else if (IsPaused(*endpoint, now))
      ++work.paused;
    else if (now < endpoint->ejected_until)
      ++work.suspect;
    else
      ++work.ready;
    work.slots += endpoint->entry.slots;
    AddWork(&work.own, endpoint->own);
    AddWork(&work.peers, endpoint->peers);
  }
  return services;
}

void SetWork(Registry* registry,
             const std::string& service,
             const char* daemons,
             const gateway::EndpointWork& work) {
  const Labels labels = {{"service", service}, {"daemons", daemons}};
  SetGauge(registry, "coltsfootvane_endpoint_running_requests",
           "Requests in progress at the endpoints of a service, from this "
           "daemon and from the others",
           labels, work.running);
  SetGauge(registry, "coltsfootvane_endpoint_prompt_tokens",
           "Prompt tokens that the engines of a service have yet to read",
           labels, work.prompt_tokens);
}

void SetServices(Registry* registry,
                 const gateway::Gateway& gateway,
                 TimePoint now) {
  const char* const name = "coltsfootvane_endpoints";
  const char* const help = "Endpoints by service and state";
  for (const auto& [service, work] : SumServices(gateway, now)) {
    SetGauge(registry, name, help, {{"service", service}, {"state", "ready"}},
             work.ready);
    SetGauge(registry, name, help,
             {{"service", service}, {"state", "draining"}}, work.draining);
    SetGauge(registry, name, help, {{"service", service}, {"state", "leaving"}},
             work.leaving);
    SetGauge(registry, name, help, {{"service", service}, {"state", "paused"}},
             work.paused);
    SetGauge(registry, name, help, {{"service", service}, {"state", "suspect"}},
             work.suspect);
    SetGauge(registry, "coltsfootvane_endpoint_slots",
             "Requests that the endpoints of a service take at once",
             {{"service", service}}, work.slots);
    SetWork(registry, service, "own", work.own);
    SetWork(registry, service, "peers", work.peers);
  }
}

void SetBeliefs(Registry* registry, const DaemonParts& parts, TimePoint now) {
  const gateway::Gateway& gateway = *parts.gateway;
  SetGauge(registry, "coltsfootvane_gateway_requests_in_progress",
           "Requests in progress", {}, gateway.exchanges);
  SetGauge(registry, "coltsfootvane_held_bytes",
           "Bytes held for requests and answers, but large bodies", {},
           static_cast<double>(gateway.held_bytes.held));
  SetGauge(registry, "coltsfootvane_large_body_bytes",
           "Bytes granted to large bodies of requests", {},
           static_cast<double>(gateway.intake->GrantedBytes()));
  SetGauge(registry, "coltsfootvane_large_body_bytes_limit",
           "Bytes that large bodies of requests may have", {},
           static_cast<double>(gateway.intake->bounds.large_bytes));
  SetGauge(registry, "coltsfootvane_caller_connections",
           "Connections of callers", {},
           static_cast<double>(gateway.intake->ConnectionCount()));
  SetGauge(registry, "coltsfootvane_waiting_bodies",
           "Large bodies that are not read for lack of room", {},
           static_cast<double>(gateway.intake->WaitingCount()));
  SetGauge(registry, "coltsfootvane_held_bytes_limit",
           "Bytes held for requests and answers from which on new requests are "
           "refused",
           {}, static_cast<double>(gateway.held_bytes.limit));
  if (gateway.routes) {
    SetGauge(registry, "coltsfootvane_config_version",
             "Version of the configuration in force", {},
             static_cast<double>(gateway.routes->version));
    SetGauge(registry, "coltsfootvane_config_age_seconds",
             "Since when the configuration is in force", {},
             SecondsSince(gateway.routes_since, now));
  }
  for (const store::KindFollower* follower : parts.followers) {
    const Labels kind = {{"kind", follower->Kind()}};
    SetGauge(registry, "coltsfootvane_store_reachable",
             "Whether the last call for the kind was answered", kind,
             follower->Reachable() ? 1 : 0);
    SetGauge(registry, "coltsfootvane_store_revision",
             "Revision of the store that is known for the kind", kind,
             static_cast<double>(follower->At().revision));
    if (follower->HeardAt() != TimePoint())
      SetGauge(registry, "coltsfootvane_store_answer_age_seconds",
               "Time since the last answer of the store for the kind", kind,
               SecondsSince(follower->HeardAt(), now));
  }
  if (parts.view_confirmed_at != TimePoint())
    SetGauge(registry, "coltsfootvane_store_view_age_seconds",
             "Time since the view of the store was known to be complete", {},
             SecondsSince(parts.view_confirmed_at, now));
  SetGauge(registry, "coltsfootvane_live_daemons",
           "Daemons that report, this one included", {},
           parts.fleet->CountLiveDaemons());
  SetGauge(registry, "coltsfootvane_quota_buckets",
           "Teams whose quota this daemon has decided on lately", {},
           static_cast<double>(parts.fleet->CountQuotaBuckets()));
  SetGauge(registry, "coltsfootvane_lease_held",
           "Whether this daemon may give orders to engines", {},
           parts.lease->MaySendOrder(now) ? 1 : 0);
  SetGauge(registry, "coltsfootvane_lease_epoch",
           "Number of the latest known holder of the lease", {},
           static_cast<double>(parts.lease->Epoch()));
}

void SetEra(Registry* registry, const store::EraTracker& eras) {
  SetGauge(registry, "coltsfootvane_store_era",
           "Latest known era of the store, which rises each time it comes back "
           "from an older copy",
           {}, static_cast<double>(eras.latest));
  SetGauge(registry, "coltsfootvane_store_eras_total",
           "New eras of the store since the start", {},
           static_cast<double>(eras.changes));
}

void SetStoreCalls(Registry* registry, const DaemonParts& parts) {
  const char* const name = "coltsfootvane_store_calls_by_cause_total";
  const char* const help =
      "Calls to the store by cause; those that may return stale data have a "
      "low "
      "price";
  for (std::size_t i = 0; i < store::kCallCauses; ++i) {
    const char* const cause = CauseName(static_cast<store::CallCause>(i));
    SetGauge(registry, name, help, {{"cause", cause}, {"data", "latest"}},
             static_cast<double>(parts.store_calls->latest.at(i)));
    SetGauge(registry, name, help, {{"cause", cause}, {"data", "stale"}},
             static_cast<double>(parts.store_calls->stale.at(i)));
  }
}

void SetNews(Registry* registry, const DaemonParts& parts) {
  const NewsCounts& counts = *parts.news;
  const std::pair<const char*, std::uint64_t> rows[] = {
      {"pushed", counts.pushed},     {"applied", counts.applied},
      {"gap", counts.gaps},          {"asked", counts.asked},
      {"answered", counts.answered}, {"fetched", counts.fetched}};
  for (const auto& [event, count] : rows)
    SetGauge(registry, "coltsfootvane_store_news_total",
             "What daemons told each other of changes in the store",
             {{"event", event}}, static_cast<double>(count));
  SetGauge(registry, "coltsfootvane_config_bytes_received_total",
           "Bytes of configurations that came from other daemons", {},
           static_cast<double>(counts.config_bytes_received));
  SetGauge(registry, "coltsfootvane_config_bytes_sent_total",
           "Bytes of configurations that other daemons have fetched", {},
           static_cast<double>(counts.config_bytes_sent));
  SetGauge(registry, "coltsfootvane_config_faults_total",
           "Changes of the configuration that were damaged or did not fit", {},
           static_cast<double>(counts.config_faults));
  SetGauge(registry, "coltsfootvane_config_busy_seconds_total",
           "Time of the event loop for configurations", {},
           std::chrono::duration<double>(counts.config_busy).count());
  SetGauge(registry, "coltsfootvane_config_longest_turn_seconds",
           "Longest turn of the event loop for configurations", {},
           std::chrono::duration<double>(counts.config_longest_turn).count());
  SetGauge(registry, "coltsfootvane_store_reader",
           "Whether this daemon reads the store for the others", {},
           parts.fleet->ReadsLatestState() ? 1 : 0);
}

void SetTeams(Registry* registry, const gateway::Gateway& gateway) {
  if (!gateway.routes)
    return;
  for (const team::Team& team : gateway.routes->teams->teams) {
    const auto key = gateway::KeyOf(team.name);
    const auto use = gateway.team_use.find(key);
    if (use == gateway.team_use.end())
      continue;
    const Labels labels = {{"team", team.name}};
    SetGauge(registry, "coltsfootvane_team_use_units_per_second",
             "Units of a team's quota granted by all daemons, as stated by the "
             "owner",
             labels, use->second.per_second);
    SetGauge(registry, "coltsfootvane_team_over_share",
             "Whether the team yields to others where capacity is short",
             labels, gateway.teams_over_share.count(key) > 0 ? 1 : 0);
  }
}

void SetQuarantine(Registry* registry,
                   const gateway::PartQuarantine& state,
                   TimePoint now) {
  SetGauge(registry, "coltsfootvane_suspected_parts",
           "Parts of prompts that stood in requests during crashes of "
           "endpoints",
           {}, static_cast<double>(state.ledger.suspects.size()));
  SetGauge(registry, "coltsfootvane_quarantines",
           "Quarantines of parts of prompts that crash endpoints", {},
           static_cast<double>(state.quarantines.size()));
  for (const quarantine::Quarantine& one : state.quarantines) {
    const Labels parts = {{"parts", gateway::PartList(one.parts)}};
    SetGauge(registry, "coltsfootvane_quarantine_crashes",
             "Crashes that count against quarantined parts", parts,
             one.crashes);
    SetGauge(registry, "coltsfootvane_quarantine_observers",
             "Daemons that have seen these crashes", parts, one.observers);
    SetGauge(registry, "coltsfootvane_quarantine_age_seconds",
             "Since when the parts are quarantined", parts,
             SecondsSince(state.since.at(one.parts.front()), now));
  }
}

void SetLogLines(Registry* registry, const DecisionLog& log) {
  const char* const name = "coltsfootvane_log_lines_left_out";
  const char* const help = "Log lines that were not written since the start";
  SetGauge(registry, name, help, {{"reason", "rate"}},
           static_cast<double>(log.left_out_by_rate));
  SetGauge(registry, name, help, {{"reason", "buffer_full"}},
           static_cast<double>(log.left_out_by_buffer));
}

}  // namespace

std::string FormatMetrics(const DaemonParts& parts, TimePoint now) {
  // State is collected anew, so that nothing stays of a service that left.
  Registry state;
  SetServices(&state, *parts.gateway, now);
  SetBeliefs(&state, parts, now);
  SetQuarantine(&state, parts.gateway->quarantine, now);
  SetTeams(&state, *parts.gateway);
  SetLogLines(&state, *parts.log);
  if (parts.eras != nullptr)
    SetEra(&state, *parts.eras);
  if (parts.store_calls != nullptr)
    SetStoreCalls(&state, parts);
  if (parts.news != nullptr)
    SetNews(&state, parts);
  std::vector<prometheus::MetricFamily> families =
      parts.gateway->registry.Collect();
  for (prometheus::MetricFamily& family : state.Collect())
    families.push_back(std::move(family));
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace coltsfootvane::daemon
