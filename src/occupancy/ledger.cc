#include "occupancy/ledger.h"

#include <algorithm>
#include <cstring>
#include <iterator>
#include <string_view>
#include <utility>

#include "base/digest.h"

namespace coltsfootvane::occupancy {
namespace {

void AddWork(const EndpointWork& work, EndpointWork* sum) {
  sum->running += work.running;
  sum->prompt_tokens += work.prompt_tokens;
  sum->yielding += work.yielding;
  sum->yielding_tokens += work.yielding_tokens;
}

std::uint64_t Rank(EndpointKey endpoint, DaemonId daemon) {
  char bytes[sizeof(daemon)];
  std::memcpy(bytes, &daemon, sizeof(daemon));
  return Hash64(std::string_view(bytes, sizeof(bytes)), endpoint);
}

bool IsExpired(const DaemonEntry& entry, TimePoint now) {
  return now - entry.updated_at >= kEntryLifetime;
}

/// Of the daemons that have asked for the load of three endpoints, one in three
/// sends a request to this one.
constexpr int kEndpointsPerClaim = 3;

/// Returns the requests to expect from claims, and adds one.
int AddClaim(DaemonId daemon, TimePoint now, std::vector<Claim>* claims) {
  claims->erase(std::remove_if(claims->begin(), claims->end(),
                               [now](const Claim& claim) {
                                 return now - claim.asked_at >= kClaimLifetime;
                               }),
                claims->end());
  const int expected =
      (static_cast<int>(claims->size()) + 1) / kEndpointsPerClaim;
  claims->push_back({daemon, now});
  return expected;
}

void RemoveClaim(DaemonId daemon, std::vector<Claim>* claims) {
  const auto found = std::find_if(
      claims->begin(), claims->end(),
      [daemon](const Claim& claim) { return claim.daemon == daemon; });
  if (found != claims->end())
    claims->erase(found);
}

/// Returns the work of all daemons but one.
EndpointWork SumWork(const TrackedEndpoint& endpoint,
                     DaemonId except,
                     TimePoint now) {
  EndpointWork sum;
  for (const auto& [daemon, entry] : endpoint.daemons) {
    if (daemon != except && !IsExpired(entry, now))
      AddWork(entry.work, &sum);
  }
  return sum;
}

}  // namespace

bool IsTracked(const Ledger& ledger, EndpointKey endpoint) {
  return ledger.endpoints.count(endpoint) > 0;
}

void BeginTracking(EndpointKey endpoint,
                   ReportedWork reported,
                   TimePoint now,
                   Ledger* ledger) {
  TrackedEndpoint tracked;
  tracked.since = now;
  tracked.used_at = now;
  for (const auto& [daemon, work] : reported)
    tracked.daemons[daemon] = {0, 0, work, now};
  ledger->endpoints[endpoint] = std::move(tracked);
}

bool ApplyUpdate(DaemonId from,
                 const WorkUpdate& update,
                 TimePoint now,
                 Ledger* ledger) {
  const auto found = ledger->endpoints.find(update.endpoint);
  if (found == ledger->endpoints.end())
    return false;
  found->second.used_at = now;
  DaemonEntry& entry = found->second.daemons[from];
  if (entry.process == update.process && entry.sequence >= update.sequence)
    return false;
  if (update.work.running > entry.work.running)
    RemoveClaim(from, &found->second.claims);
  entry = {update.process, update.sequence, update.work, now};
  if (update.refused)
    RecordRefusalAt(SumWork(found->second, 0, now).running, now,
                    &found->second.limit);
  return true;
}

TrackedLoad ReadLoad(EndpointKey endpoint,
                     DaemonId asker,
                     TimePoint now,
                     Ledger* ledger) {
  TrackedLoad load;
  const auto found = ledger->endpoints.find(endpoint);
  if (found == ledger->endpoints.end())
    return load;
  found->second.used_at = now;
  load.tracked_for =
      std::chrono::duration_cast<Milliseconds>(now - found->second.since);
  load.others = SumWork(found->second, asker, now);
  load.others.running += AddClaim(asker, now, &found->second.claims);
  load.limit = CurrentLimit(found->second.limit, now);
  return load;
}

void ExpireEntries(TimePoint now, Ledger* ledger) {
  for (auto it = ledger->endpoints.begin(); it != ledger->endpoints.end();) {
    auto& daemons = it->second.daemons;
    for (auto entry = daemons.begin(); entry != daemons.end();)
      entry = IsExpired(entry->second, now) ? daemons.erase(entry)
                                            : std::next(entry);
    const bool unused = now - it->second.used_at >= kTrackingTimeout;
    it = unused ? ledger->endpoints.erase(it) : std::next(it);
  }
}

void RemoveDaemon(DaemonId daemon, Ledger* ledger) {
  for (auto& [key, endpoint] : ledger->endpoints)
    endpoint.daemons.erase(daemon);
}

EndpointWork CombineWithReports(const TrackedLoad& answer,
                                const EndpointWork& reported) {
  if (answer.tracked_for >= kYoungTracker)
    return answer.others;
  return answer.others.running >= reported.running ? answer.others : reported;
}

DaemonId FindTracker(EndpointKey endpoint, gsl::span<const DaemonId> daemons) {
  DaemonId best = 0;
  std::uint64_t highest = 0;
  for (const DaemonId daemon : daemons) {
    const std::uint64_t rank = Rank(endpoint, daemon);
    if (best != 0 && (rank < highest || (rank == highest && daemon > best)))
      continue;
    best = daemon;
    highest = rank;
  }
  return best;
}

}  // namespace coltsfootvane::occupancy
