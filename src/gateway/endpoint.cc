#include "gateway/endpoint.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/digest.h"

namespace coltsfootvane::gateway {
namespace {

/// How long requests for a model or adapter avoid an endpoint that refused it
/// as missing. Adapters are replaced and loaded again faster than models.
constexpr Milliseconds kModelAbsence{1500};
constexpr Milliseconds kAdapterAbsence{400};

constexpr double kOutcomeHalfLifeS = 4;
constexpr Milliseconds kFirstEjection{400};
constexpr Milliseconds kFirstRefusalPause{200};
constexpr int kMaxDoublings = 3;
/// Successes added to the recent ones, so that a few failures do not already
/// give a high share.
constexpr double kAssumedSuccesses = 3;

double Decay(TimePoint from, TimePoint to) {
  const std::chrono::duration<double> elapsed = to - from;
  return std::exp2(-std::max(0.0, elapsed.count()) / kOutcomeHalfLifeS);
}

bool IsAbsent(const Endpoint& endpoint, std::string_view name, TimePoint now) {
  const auto absent = endpoint.absent_until.find(name);
  return absent != endpoint.absent_until.end() && now < absent->second;
}

}  // namespace

EndpointPtr UpsertEndpoint(EndpointTable* table, EndpointEntry entry) {
  EndpointPtr& slot = table->endpoints[entry.id];
  const bool restarted = slot && slot->entry.incarnation != entry.incarnation;
  if (!slot || restarted) {
    if (slot)
      slot->gone = true;
    slot = std::make_shared<Endpoint>();
    slot->key = KeyOf(entry.id);
    slot->stated =
        RecallInstance(&table->memory, {entry.id, entry.incarnation});
  }
  slot->gone = false;
  slot->entry = std::move(entry);
  return slot;
}

void RemoveEndpoint(EndpointTable* table, std::string_view id) {
  const auto found = table->endpoints.find(id);
  if (found == table->endpoints.end())
    return;
  found->second->gone = true;
  table->endpoints.erase(found);
}

bool TakesNewWork(const Endpoint& endpoint) {
  return !endpoint.gone && !endpoint.entry.draining &&
         !endpoint.stated->leaving;
}

bool IsPaused(const Endpoint& endpoint, TimePoint now) {
  return now < endpoint.stated->paused_until;
}

const LoadedModel* FindLoaded(const Endpoint& endpoint,
                              std::string_view model) {
  for (const LoadedModel& loaded : endpoint.entry.models) {
    if (loaded.name == model)
      return &loaded;
  }
  return nullptr;
}

bool HasCachedWeights(const EndpointEntry& entry, std::string_view model) {
  for (const auto* cached : {&entry.cached_in_memory, &entry.cached_on_disk}) {
    if (std::find(cached->begin(), cached->end(), model) != cached->end())
      return true;
  }
  return false;
}

bool HoldsModel(const Endpoint& endpoint,
                std::string_view model,
                TimePoint now) {
  if (FindLoaded(endpoint, model) == nullptr ||
      endpoint.retiring.count(KeyOf(model)) > 0)
    return false;
  return !IsAbsent(endpoint, model, now);
}

bool HoldsAdapter(const Endpoint& endpoint,
                  std::string_view model,
                  std::string_view adapter,
                  TimePoint now) {
  const LoadedModel* const loaded = FindLoaded(endpoint, model);
  const std::string name = AdapterName(model, adapter);
  if (loaded == nullptr || IsAbsent(endpoint, name, now))
    return false;
  if (endpoint.adapters.count(KeyOf(name)) > 0)
    return true;
  return std::find(loaded->adapters.begin(), loaded->adapters.end(), adapter) !=
         loaded->adapters.end();
}

void RecordAbsence(Endpoint* endpoint,
                   std::string_view model,
                   std::string_view adapter,
                   TimePoint now) {
  if (adapter.empty()) {
    endpoint->absent_until[std::string(model)] = now + kModelAbsence;
    return;
  }
  const std::string name = AdapterName(model, adapter);
  endpoint->adapters.erase(KeyOf(name));
  endpoint->absent_until[name] = now + kAdapterAbsence;
}

std::uint32_t KeyOf(std::string_view name) {
  return static_cast<std::uint32_t>(Hash64(name));
}

std::string AdapterName(std::string_view model, std::string_view adapter) {
  std::string name(model);
  return name.append("/").append(adapter);
}

void RecordOutcome(Endpoint* endpoint, bool success, TimePoint now) {
  RecentOutcomes& results = endpoint->outcomes;
  const double factor = Decay(results.updated, now);
  results.successes = results.successes * factor + (success ? 1 : 0);
  results.failures = results.failures * factor + (success ? 0 : 1);
  results.updated = now;
  if (success) {
    endpoint->ejections = 0;
    endpoint->refusals = 0;
  }
}

double OutcomeDecay(const Endpoint& endpoint, TimePoint now) {
  return Decay(endpoint.outcomes.updated, now);
}

double FailureShare(const Endpoint& endpoint, TimePoint now) {
  const double factor = OutcomeDecay(endpoint, now);
  const double failures =
      endpoint.outcomes.failures * factor + std::max(0, endpoint.peer_failures);
  const double successes = endpoint.outcomes.successes * factor +
                           std::max(0, endpoint.peer_successes);
  return failures / (failures + successes + kAssumedSuccesses);
}

void Eject(Endpoint* endpoint, TimePoint now) {
  const int doublings = std::min(endpoint->ejections, kMaxDoublings);
  endpoint->ejected_until = now + kFirstEjection * (1 << doublings);
  ++endpoint->ejections;
  RecordOutcome(endpoint, false, now);
}

void RecordRefusal(Endpoint* endpoint, TimePoint now) {
  const int doublings = std::min(endpoint->refusals, kMaxDoublings);
  endpoint->refusing_until = now + kFirstRefusalPause * (1 << doublings);
  ++endpoint->refusals;
}

}  // namespace coltsfootvane::gateway
