#include <algorithm>

#include "base/name_text.h"
#include "log/event.h"
#include "placement/events.h"
#include "placement/planner_loop.h"

namespace coltsfootvane::detail {
namespace {

// Limits how often all endpoint objects are listed while some are unread.
constexpr Milliseconds kListInterval{1000};

std::set<std::string_view> DataCentresOfRegion(
    const Configuration& configuration,
    std::string_view region) {
  std::set<std::string_view> names;
  for (const DataCentre& data_centre : configuration.data_centres) {
    if (data_centre.region == region)
      names.insert(data_centre.name);
  }
  return names;
}

}  // namespace

void PlannerLoop::ApplyConfiguration(const Configuration& configuration) {
  const auto centres = DataCentresOfRegion(configuration, this->options.region);
  std::set<std::string_view> declared;
  for (const Endpoint& endpoint : configuration.endpoints) {
    if (endpoint.kind != EndpointKind::kEngine ||
        centres.count(endpoint.data_centre) == 0)
      continue;
    declared.insert(endpoint.id);
    this->endpoints[endpoint.id].endpoint = endpoint;
  }
  for (auto it = this->endpoints.begin(); it != this->endpoints.end();) {
    const bool keep = declared.count(it->first) != 0;
    it = keep ? std::next(it) : this->endpoints.erase(it);
  }
}

void PlannerLoop::ReadEndpoints() {
  const std::shared_ptr<const InForce> current = this->in_force->Get();
  if (current->version != this->configuration_version) {
    this->ApplyConfiguration(current->configuration);
    this->configuration_version = current->version;
    this->replan_needed = true;
    this->view_changed = true;
  }
  const auto is_unread = [](const auto& entry) { return !entry.second.read; };
  if (std::none_of(this->endpoints.begin(), this->endpoints.end(), is_unread) ||
      Clock::now() < this->next_list)
    return;
  this->next_list = Clock::now() + kListInterval;
  const Result<objectapi::ObjectList> list =
      objectapi::ListObjects(this->connection, objectapi::kEndpointKind,
                             Clock::now() + kPlatformTimeout);
  if (!list)
    return;
  std::map<std::string_view, const objectapi::Object*> stored;
  for (const objectapi::Object& object : list.assume_value().items)
    stored[object.name] = &object;
  for (auto& [id, state] : this->endpoints) {
    if (state.read)
      continue;
    const auto found = stored.find(id);
    if (found == stored.end()) {
      this->ApplyObject(&state, EndpointLedger{}, 0);
      continue;
    }
    const Result<EndpointLedger> ledger = ParseLedger(found->second->spec);
    if (ledger) {
      this->ApplyObject(&state, ledger.assume_value(),
                        found->second->resource_version);
      continue;
    }
    // The endpoint counts as down, so that the others are planned without it.
    state.failures = kMaxIndexFailures;
    this->view_changed = true;
    LogEvent(kLedgerInvalid, "endpoint=" + Printable(id) +
                                 " error=" + ledger.assume_error().message);
  }
}

void PlannerLoop::ApplyObject(EndpointState* state,
                              const EndpointLedger& ledger,
                              std::int64_t resource_version) {
  if (ledger.epoch > this->epoch) {
    this->OnConflictingWrite(state, ledger.epoch);
    return;
  }
  this->DropUnsentCommands(state);
  state->ledger = ledger;
  state->resource_version = resource_version;
  state->read = true;
  state->write_unconfirmed = false;
  state->synced = false;
  state->next_index = TimePoint();
  state->deferrable = false;
  this->view_changed = true;
  // If the stored ledger has the current epoch, the sequence continues, so that
  // no number is used twice. Numbers of index calls are not stored; the skipped
  // range covers them.
  constexpr std::int64_t kSkippedNumbers = 1 << 16;
  if (ledger.epoch < this->epoch)
    StartEpoch(&state->ledger, this->epoch);
  else
    state->ledger.sequence += kSkippedNumbers;
  state->dirty = true;
}

/// Returns whether the write of responses may wait, so that it is combined with
/// the intents of the next plan. Until then the stored object charges at least
/// as much memory as the ledger.
bool PlannerLoop::MayDefer(const EndpointState& state, TimePoint now) const {
  return state.deferrable && state.recorded_commands.empty() &&
         this->replan_needed && now < this->planned_at + kPlanInterval &&
         now < state.next_index && this->AreAllEndpointsKnown();
}

void PlannerLoop::FlushEndpoints() {
  const TimePoint now = Clock::now();
  for (auto& [id, state] : this->endpoints) {
    if (!this->leading)
      return;
    if (this->MayDefer(state, now))
      continue;
    if (state.read && state.write_unconfirmed)
      this->ReadBack(&state);
    if (state.read)
      this->ApplyOutcomes(&state);
    // If the platform does not answer, further writes would each wait for their
    // timeout too.
    if (state.read && state.dirty && !state.write_unconfirmed &&
        !this->Flush(&state))
      return;
  }
}

bool PlannerLoop::Flush(EndpointState* state) {
  objectapi::Object object;
  object.kind = objectapi::kEndpointKind;
  object.name = state->endpoint.id;
  object.resource_version = state->resource_version;
  object.spec = FormatLedger(state->ledger);
  state->written_spec = object.spec;
  const TimePoint deadline = Clock::now() + kPlatformTimeout;
  const Result<objectapi::Object> stored =
      object.resource_version == 0
          ? objectapi::CreateObject(this->connection, object, deadline)
          : objectapi::UpdateObject(this->connection, object, deadline);
  if (stored) {
    this->OnWritten(state, stored.assume_value().resource_version);
    return true;
  }
  switch (stored.assume_error().code) {
    case ErrorCode::kUnknown:
      state->write_unconfirmed = true;
      return false;
    case ErrorCode::kConflict:
    case ErrorCode::kNotFound:
      this->OnConflictingWrite(state, 0);
      return true;
    default:
      return false;
  }
}

void PlannerLoop::OnWritten(EndpointState* state,
                            std::int64_t resource_version) {
  state->resource_version = resource_version;
  state->write_unconfirmed = false;
  state->dirty = false;
  state->deferrable = false;
  this->RemoveStoredOutcomes(*state);
  if (!state->recorded_commands.empty())
    this->StartCommands(state);
}

void PlannerLoop::ReadBack(EndpointState* state) {
  const Result<objectapi::Object> stored = objectapi::ReadObject(
      this->connection, objectapi::kEndpointKind, state->endpoint.id,
      Clock::now() + kPlatformTimeout);
  if (stored) {
    this->OnStored(state, stored.assume_value());
    return;
  }
  const bool absent = stored.assume_error().code == ErrorCode::kNotFound;
  if (absent && state->resource_version == 0)
    state->write_unconfirmed = false;
  else if (absent)
    this->OnConflictingWrite(state, 0);
}

void PlannerLoop::OnStored(EndpointState* state,
                           const objectapi::Object& stored) {
  const Result<EndpointLedger> ledger = ParseLedger(stored.spec);
  if (!ledger) {
    this->OnConflictingWrite(state, 0);
    return;
  }
  if (FormatLedger(ledger.assume_value()) == state->written_spec) {
    // Results received since the write require another write.
    const bool current = FormatLedger(state->ledger) == state->written_spec;
    if (current) {
      this->OnWritten(state, stored.resource_version);
      return;
    }
    state->resource_version = stored.resource_version;
    state->write_unconfirmed = false;
    return;
  }
  // The write has not taken effect yet. It is safe to repeat: the two cannot
  // both succeed, since they are conditional on the same version.
  if (stored.resource_version == state->resource_version) {
    state->write_unconfirmed = false;
    return;
  }
  this->OnConflictingWrite(state, ledger.assume_value().epoch);
}

void PlannerLoop::OnConflictingWrite(EndpointState* state,
                                     std::int64_t stored_epoch) {
  LogEvent(kLedgerConflict, "endpoint=" + Printable(state->endpoint.id) +
                                " epoch=" + std::to_string(this->epoch) +
                                " stored=" + std::to_string(stored_epoch));
  this->view_changed = true;
  state->read = false;
  state->synced = false;
  state->dirty = false;
  state->write_unconfirmed = false;
  this->DropUnsentCommands(state);
  // Another process may hold the lease; read the lease object to find out.
  OnLeaseWriteFailed(&this->lease, Clock::now());
}

}  // namespace coltsfootvane::detail
