#include "gateway/exchange_load.h"

#include <cmath>
#include <utility>

#include "base/name_text.h"
#include "gateway/caller_connection.h"
#include "gateway/exact_choice.h"
#include "gateway/exchange.h"
#include "gateway/gateway.h"
#include "occupancy/candidates.h"
#include "occupancy/events.h"

namespace coltsfootvane::gateway {
namespace {

using occupancy::PlainVerdict;

bool TracksLoad(const Gateway& gateway) {
  return gateway.daemons > occupancy::kMaxSmallFleet;
}

Milliseconds RoundedUp(double ms) {
  return Milliseconds(static_cast<std::int64_t>(std::ceil(ms)));
}

}  // namespace

void UpdateLoad(Gateway* gateway, const Endpoint& endpoint, bool refused) {
  // Figures of a process that has been replaced are not those of its successor.
  if (gateway->update_load && TracksLoad(*gateway) && !endpoint.gone)
    gateway->update_load(endpoint, refused);
}

ChoiceInput Exchange::MakeChoiceInput(TimePoint now) const {
  ChoiceInput choice_input;
  choice_input.service = this->service;
  choice_input.engine = this->engine;
  choice_input.request = &this->info;
  choice_input.data_centre = this->gateway->data_centre;
  choice_input.excluded = &this->tried_endpoints;
  choice_input.now = now;
  choice_input.report_age = this->gateway->report_interval;
  choice_input.run_ms = RunMs(this->gateway->traffic, this->service);
  choice_input.mix = MixOf(this->gateway->traffic, this->service);
  choice_input.objective_ms =
      HasFarObjective(*this->route)
          ? 0
          : static_cast<double>(this->route->target_latency.count());
  return choice_input;
}

Admission Exchange::AdmitAt(const Choice& choice, TimePoint now) const {
  return Admit(*this->route,
               {choice.wait_ms, choice.yielding_wait_ms, choice.begin_ms,
                choice.yielding_begin_ms},
               TimeLeft(this->deadline, now), this->info.time_left,
               this->over_share);
}

/// Asks for the exact load of some endpoints, if reports are old compared with
/// a run. Returns whether the exchange goes on with the answers.
bool Exchange::AskForLoad(const Choice& by_reports, TimePoint now) {
  if (!this->gateway->query_load || !TracksLoad(*this->gateway) ||
      HasFreshReports(this->MakeChoiceInput(now)))
    return false;
  this->load.candidates.clear();
  this->load.by_reports = by_reports.endpoint;
  this->load.asked_at = now;
  this->load.seed = this->gateway->random();
  this->load.rounds = 0;
  return this->QueryLoad(now);
}

ChoiceInput Exchange::MakeExactInput(TimePoint now) const {
  ChoiceInput input = this->MakeChoiceInput(now);
  input.jitter_seed = this->load.seed;
  input.call_ms = CallMs(this->gateway->traffic, this->service);
  return input;
}

/// Asks for the load of further endpoints. Returns false if there are none.
bool Exchange::QueryLoad(TimePoint now) {
  const std::vector<EndpointPtr> more =
      DrawLoadCandidates(this->gateway->endpoint_list,
                         this->MakeExactInput(now), this->load.candidates);
  if (more.empty())
    return false;
  ++this->load.rounds;
  this->load.candidates.insert(this->load.candidates.end(), more.begin(),
                               more.end());
  this->gateway->query_load(
      more, [weak = weak_from_this(), current = ++this->load.generation] {
        const auto self = weak.lock();
        if (self && !self->finished && self->load.generation == current)
          self->OnLoadKnown();
      });
  return true;
}

/// The load trackers have answered, or the time for that is over.
void Exchange::OnLoadKnown() {
  ++this->load.generation;
  const TimePoint now = BootNow();
  if (now + kMinTimeForSend >= this->deadline) {
    this->OnTimeout();
    return;
  }
  if (this->EndIfQuarantined() || this->caller->EndIfCallerLeft())
    return;
  if (this->engine == nullptr)
    this->ChooseCall(now);
  else
    this->ChooseEngine(now);
}

void Exchange::ChooseEngine(TimePoint now) {
  Choice choice = ChooseExact(this->load.candidates, this->MakeExactInput(now),
                              this->load.asked_at);
  if (choice.verdict != ChoiceVerdict::kChosen) {
    this->SendOrRefuse(this->ChooseNext(now), now);
    return;
  }
  const Admission admission = this->AdmitAt(choice, now);
  const bool has_room = admission.admitted && !admission.deferred;
  if (!has_room && this->load.rounds < occupancy::kMaxQueryRounds &&
      this->QueryLoad(now))
    return;
  this->CountChangedChoice(choice);
  this->SendOrRefuse(choice, now);
}

void Exchange::CountChangedChoice(const Choice& choice) {
  if (choice.endpoint != this->load.by_reports)
    this->gateway->load_metrics.CountChangedChoice(this->service);
}

void Exchange::ChooseCall(TimePoint now) {
  const ChoiceInput input = this->MakeExactInput(now);
  occupancy::PlainRequest request;
  request.objective_ms =
      static_cast<double>(this->route->target_latency.count());
  request.call_ms = input.call_ms;
  request.time_left_ms =
      static_cast<double>(TimeLeft(this->deadline, now).count());
  request.rank = this->Rank();
  request.waits = this->load.waits;
  request.waited_ms = this->load.waited_ms;
  request.jitter =
      std::ldexp(static_cast<double>(this->gateway->random() >> 11), -53);
  const PlainChoice result =
      ChoosePlain(this->load.candidates, input, request, this->load.asked_at);
  if (result.choice.verdict != ChoiceVerdict::kChosen) {
    this->SendOrRefuse(this->ChooseNext(now), now);
    return;
  }
  switch (result.decision.verdict) {
    case PlainVerdict::kSend:
      this->CountChangedChoice(result.choice);
      this->SendOrRefuse(result.choice, now);
      return;
    case PlainVerdict::kWait:
      if (this->over_share) {
        this->Refuse(kOverShare, ReturnAfter(this->route->target_latency),
                     "team=" + Printable(this->team->name));
        return;
      }
      this->WaitForPlace(result.decision.wait_ms);
      return;
    case PlainVerdict::kRefuse:
      this->gateway->load_metrics.CountFullService(this->service, "refused");
      this->Refuse("service full",
                   {RoundedUp(result.decision.earliest_ms),
                    RoundedUp(result.decision.spread_ms)},
                   "waits=" + std::to_string(this->load.waits));
      return;
  }
}

/// Tries again a little later, while all endpoints are full.
void Exchange::WaitForPlace(double wait_ms) {
  ++this->load.waits;
  this->load.waited_ms += wait_ms;
  this->gateway->load_metrics.CountFullService(this->service, "waited");
  if (this->IsSampled())
    this->Log(occupancy::kCallWaits,
              "service=" + Printable(this->service) +
                  " wait_ms=" + std::to_string(RoundedUp(wait_ms).count()) +
                  " waits=" + std::to_string(this->load.waits));
  if (!this->load.wait_timer)
    this->load.wait_timer.emplace(this->gateway->io);
  this->load.wait_timer->Set(RoundedUp(wait_ms), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->finished)
      self->TryNextEndpoint();
  });
}

/// Records the time that a call to a plain service took, from its send.
void Exchange::RecordCallTime(TimePoint now) {
  if (this->engine != nullptr || !this->load.found_running)
    return;
  const double elapsed_ms =
      std::chrono::duration<double, std::milli>(now - this->sent_at).count();
  RecordCall(&this->gateway->traffic, this->service,
             occupancy::CallMsOf(elapsed_ms, *this->load.found_running,
                                 this->endpoint->entry.slots));
}

}  // namespace coltsfootvane::gateway
