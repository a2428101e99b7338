#include <algorithm>
#include <tuple>

#include "base/digest.h"
#include "base/name_text.h"
#include "log/event.h"
#include "placement/events.h"
#include "placement/planner_loop.h"

namespace coltsfootvane::detail {
namespace {

// Maximum time until a restart or a lost load is detected.
constexpr Milliseconds kIndexInterval{2000};
constexpr Milliseconds kIndexRetryInterval{1000};
constexpr std::int64_t kIndexSpreadMs = 400;
// Responses that arrive within this time are handled in one plan and one
// placement. Publishing after the first response alone would delay the others
// by the publishing interval.
constexpr Milliseconds kResponseBatchTime{20};
constexpr std::size_t kMaxLoggedMessageBytes = 200;

bool IsSame(const LoadedItem& a, const LoadedItem& b) {
  return std::tie(a.item, a.version, a.model, a.memory_mb, a.adapter,
                  a.ready) ==
         std::tie(b.item, b.version, b.model, b.memory_mb, b.adapter, b.ready);
}

/// Intents with the same number do not differ in the members left out.
bool IsSame(const Intent& a, const Intent& b) {
  return std::tie(a.number, a.sent, a.fenced, a.seen_done, a.orphaned,
                  a.last_boot) == std::tie(b.number, b.sent, b.fenced,
                                           b.seen_done, b.orphaned,
                                           b.last_boot);
}

/// Compares ledgers without the sequence, which changes at every index call.
bool IsSame(const EndpointLedger& a, const EndpointLedger& b) {
  return a.epoch == b.epoch && a.boot_id == b.boot_id &&
         std::equal(a.loaded.begin(), a.loaded.end(), b.loaded.begin(),
                    b.loaded.end(),
                    [](const LoadedItem& x, const LoadedItem& y) {
                      return IsSame(x, y);
                    }) &&
         std::equal(a.intents.begin(), a.intents.end(), b.intents.begin(),
                    b.intents.end(), [](const Intent& x, const Intent& y) {
                      return IsSame(x, y);
                    });
}

std::ptrdiff_t CountObserved(const EndpointLedger& ledger) {
  return std::count_if(
      ledger.loaded.begin(), ledger.loaded.end(),
      [](const LoadedItem& loaded) { return loaded.observed; });
}

Milliseconds IndexInterval(const EndpointState& state) {
  const std::uint64_t spread =
      Hash64(state.endpoint.id) % static_cast<std::uint64_t>(kIndexSpreadMs);
  return kIndexInterval - Milliseconds{static_cast<std::int64_t>(spread)};
}

}  // namespace

void PlannerLoop::ProcessResults(TimePoint until) {
  for (;;) {
    const std::optional<EndpointJobResult> result = this->pool.PopResult(until);
    if (!result)
      return;
    this->RecordOutcomes(*result);
    const auto found = this->endpoints.find(result->job.endpoint_id);
    // The state may have been removed and created again since the job started.
    if (found == this->endpoints.end() ||
        found->second.job_id != result->job.id)
      continue;
    EndpointState& state = found->second;
    state.job_id = 0;
    // The object is about to be read again and replaces this state.
    if (!state.read)
      continue;
    if (result->index)
      this->OnIndex(&state, *result, Clock::now());
    else
      this->OnResponses(&state, *result);
    // Wait only briefly for further results, so that the next plan soon uses
    // the memory that these responses may have freed.
    if (!result->index)
      until = std::min(until, Clock::now() + kResponseBatchTime);
  }
}

void PlannerLoop::OnIndex(EndpointState* state,
                          const EndpointJobResult& result,
                          TimePoint now) {
  state->next_index = now + IndexInterval(*state);
  if (!*result.index) {
    state->next_index = now + kIndexRetryInterval;
    const Error& error = result.index->assume_error();
    ++state->failures;
    const std::string detail =
        "endpoint=" + Printable(state->endpoint.id) + " error=" + error.message;
    if (error.code == ErrorCode::kConflict) {
      LogEvent(kNumberOutdated, detail);
      OnLeaseWriteFailed(&this->lease, now);
    }
    if (state->failures != kMaxIndexFailures)
      return;
    LogEvent(kEndpointDown, detail);
    this->replan_needed = true;
    this->view_changed = true;
    return;
  }
  const endpoint::Index& index = result.index->assume_value();
  const bool was_up = state->synced && state->failures < kMaxIndexFailures;
  if (!was_up || state->leaving != index.leaving) {
    this->replan_needed = true;
    this->view_changed = true;
  }
  state->failures = 0;
  state->leaving = index.leaving;
  const std::string& boot_id = state->ledger.boot_id;
  const bool restarted = !boot_id.empty() && boot_id != index.boot_id;
  if (restarted)
    LogEvent(kEndpointRestarted, "endpoint=" + Printable(state->endpoint.id));
  const EndpointLedger before = state->ledger;
  IndexReading reading;
  reading.index = index;
  reading.number = result.job.index_number;
  reading.checks_fencing = state->endpoint.checks_fencing;
  ApplyIndex(&state->ledger, reading, this->hooks.has_sender_ended);
  state->synced = true;
  if (!IsSame(state->ledger, before)) {
    state->dirty = true;
    state->deferrable = false;
    this->replan_needed = true;
    this->view_changed = true;
  }
  // `observed` is not stored, but an item that becomes observed may leave room
  // for further loads.
  if (CountObserved(state->ledger) != CountObserved(before))
    this->replan_needed = true;
  if (restarted)
    state->next_index = now;
}

void PlannerLoop::OnResponses(EndpointState* state,
                              const EndpointJobResult& result) {
  for (std::size_t i = 0; i < result.responses.size(); ++i) {
    const endpoint::Command& command = result.job.commands[i];
    const Result<bool>& response = result.responses[i];
    ResolveByResponse(&state->ledger, command.fencing_number, response);
    this->ReportCommand(*state, result.job, command, response);
    if (!response)
      state->next_index = TimePoint();
  }
  state->deferrable = !state->dirty || state->deferrable;
  state->dirty = true;
  this->replan_needed = true;
  this->view_changed = true;
}

void PlannerLoop::ReportCommand(const EndpointState& state,
                                const EndpointJob& job,
                                const endpoint::Command& command,
                                const Result<bool>& response) {
  const bool load = command.operation == endpoint::Command::Operation::kLoad;
  std::string detail = "endpoint=" + Printable(state.endpoint.id) +
                       " operation=" + (load ? "load" : "unload") +
                       " item=" + command.item + " version=" + command.version +
                       " number=" + std::to_string(command.fencing_number);
  if (!response) {
    const Error& error = response.assume_error();
    detail += std::string(" error=") + ErrorCodeName(error.code) +
              " message=" + error.message.substr(0, kMaxLoggedMessageBytes);
  }
  LogEvent(response ? kCommandDone : kCommandFailed, detail);
  this->audit.Add(load ? "load" : "unload", "endpoints/" + state.endpoint.id,
                  detail, job.from_version, job.to_version);
}

void PlannerLoop::StartIndexCalls(TimePoint now) {
  for (auto& [id, state] : this->endpoints) {
    const bool written = state.read && !state.dirty && !state.write_unconfirmed;
    if (!written || state.job_id != 0 || now < state.next_index)
      continue;
    EndpointJob job;
    job.index_number = AllocateFencingNumber(&state.ledger);
    if (job.index_number > 0)
      this->StartJob(&state, std::move(job));
  }
}

bool PlannerLoop::StartJob(EndpointState* state, EndpointJob job) {
  job.id = ++this->last_job;
  job.endpoint_id = state->endpoint.id;
  job.address = state->endpoint.address;
  job.epoch = this->epoch;
  const std::int64_t id = job.id;
  state->job_id = this->pool.Push(std::move(job)) ? id : 0;
  return state->job_id != 0;
}

void PlannerLoop::StartCommands(EndpointState* state) {
  EndpointJob job;
  job.commands = std::move(state->recorded_commands);
  job.from_version = state->recorded_from_version;
  job.to_version = state->resource_version;
  state->recorded_commands.clear();
  const std::vector<endpoint::Command> commands = job.commands;
  if (this->StartJob(state, std::move(job)))
    return;
  for (const endpoint::Command& command : commands)
    ResolveByResponse(&state->ledger, command.fencing_number,
                      Error{ErrorCode::kNotSent, "job queue is full"});
  state->dirty = true;
}

}  // namespace coltsfootvane::detail
