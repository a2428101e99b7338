#include <algorithm>

#include "placement/planner_loop.h"

namespace coltsfootvane::detail {
namespace {

// Limits writes to objects of another lease holder, since each one makes that
// holder read the object again.
constexpr Milliseconds kResolutionInterval{1000};
// Interval between reads of one object that has intents of other senders.
constexpr Milliseconds kForeignReadInterval{5000};

}  // namespace

void PlannerLoop::RecordOutcomes(const EndpointJobResult& result) {
  std::vector<CommandOutcome>& known = this->outcomes[result.job.endpoint_id];
  for (std::size_t i = 0; i < result.responses.size(); ++i) {
    const Result<bool>& response = result.responses[i];
    if (IsDefinite(response))
      known.push_back({result.job.commands[i].fencing_number,
                       response.has_value(), /*base_version=*/0});
  }
}

void PlannerLoop::DropUnsentCommands(EndpointState* state) {
  if (state->recorded_commands.empty())
    return;
  std::vector<CommandOutcome>& known = this->outcomes[state->endpoint.id];
  for (const endpoint::Command& command : state->recorded_commands)
    known.push_back(
        {command.fencing_number, /*done=*/false, state->resource_version});
  state->recorded_commands.clear();
}

void PlannerLoop::ApplyOutcomes(EndpointState* state) {
  for (const CommandOutcome& outcome : this->outcomes[state->endpoint.id]) {
    if (!ResolveBySender(&state->ledger, outcome.number, outcome.done))
      continue;
    state->dirty = true;
    state->deferrable = false;
    this->replan_needed = true;
    this->view_changed = true;
  }
}

void PlannerLoop::RemoveStoredOutcomes(const EndpointState& state) {
  std::vector<CommandOutcome>& known = this->outcomes[state.endpoint.id];
  const auto is_stored = [&state](const CommandOutcome& outcome) {
    const auto& intents = state.ledger.intents;
    return std::none_of(intents.begin(), intents.end(),
                        [&outcome](const Intent& intent) {
                          return intent.number == outcome.number;
                        });
  };
  known.erase(std::remove_if(known.begin(), known.end(), is_stored),
              known.end());
}

void PlannerLoop::RefreshForeignIntents(TimePoint now) {
  const auto has_foreign = [this](const EndpointState& state) {
    const auto& intents = state.ledger.intents;
    return std::any_of(intents.begin(), intents.end(),
                       [this](const Intent& intent) {
                         return intent.sender != this->options.incarnation;
                       });
  };
  EndpointState* due = nullptr;
  for (auto& [id, state] : this->endpoints) {
    const bool settled = state.read && !state.dirty &&
                         !state.write_unconfirmed && state.job_id == 0;
    if (!settled || now < state.next_read || !has_foreign(state))
      continue;
    if (due == nullptr || state.next_read < due->next_read)
      due = &state;
  }
  if (due == nullptr)
    return;
  due->next_read = now + kForeignReadInterval;
  const Result<objectapi::Object> stored =
      objectapi::ReadObject(this->connection, objectapi::kEndpointKind,
                            due->endpoint.id, Clock::now() + kPlatformTimeout);
  if (stored && stored.assume_value().resource_version != due->resource_version)
    this->OnConflictingWrite(due, 0);
}

void PlannerLoop::ResolveIntentsAfterLeaseLoss(TimePoint now) {
  const bool replaced = this->lease.up_to_date && !this->lease.held &&
                        this->lease.last_spec.epoch > this->epoch;
  if (!replaced || now < this->next_resolution)
    return;
  for (auto& [id, state] : this->endpoints)
    this->DropUnsentCommands(&state);
  const auto is_known = [](const auto& entry) { return !entry.second.empty(); };
  const auto found =
      std::find_if(this->outcomes.begin(), this->outcomes.end(), is_known);
  if (found == this->outcomes.end())
    return;
  this->next_resolution = now + kResolutionInterval;
  if (this->ResolveStoredIntents(found->first, found->second))
    this->outcomes.erase(found);
}

bool PlannerLoop::ResolveStoredIntents(
    const std::string& endpoint_id,
    const std::vector<CommandOutcome>& known) {
  const TimePoint deadline = Clock::now() + kPlatformTimeout;
  Result<objectapi::Object> stored = objectapi::ReadObject(
      this->connection, objectapi::kEndpointKind, endpoint_id, deadline);
  if (!stored)
    return stored.assume_error().code == ErrorCode::kNotFound;
  objectapi::Object& object = stored.assume_value();
  Result<EndpointLedger> ledger = ParseLedger(object.spec);
  if (!ledger)
    return true;
  bool changed = false;
  bool settled = true;
  for (const CommandOutcome& outcome : known) {
    if (ResolveBySender(&ledger.assume_value(), outcome.number, outcome.done))
      changed = true;
    else
      // The write that records the intent may still take effect.
      settled &= object.resource_version > outcome.base_version;
  }
  if (!changed)
    return settled;
  object.spec = FormatLedger(ledger.assume_value());
  return objectapi::UpdateObject(this->connection, object, deadline)
             .has_value() &&
         settled;
}

}  // namespace coltsfootvane::detail
