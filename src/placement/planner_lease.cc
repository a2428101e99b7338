#include "log/event.h"
#include "placement/events.h"
#include "placement/planner_loop.h"

namespace coltsfootvane::detail {
namespace {

// Interval between reads while the platform does not answer.
constexpr Milliseconds kRetryInterval{500};

std::string LeaseName(const PlannerOptions& options) {
  return "planner-" + options.region;
}

}  // namespace

void PlannerLoop::StepLease(TimePoint now) {
  LeaseStep step = NextLeaseStep(this->lease, now);
  if (step == LeaseStep::kRead) {
    this->ReadLease(now);
    step = NextLeaseStep(this->lease, now);
  }
  if (step != LeaseStep::kNone && step != LeaseStep::kRead)
    this->WriteLease(step, now);
  this->UpdateLeadership();
}

void PlannerLoop::ReadLease(TimePoint now) {
  const Result<objectapi::Object> object =
      objectapi::ReadObject(this->connection, objectapi::kLeaseKind,
                            LeaseName(this->options), now + kPlatformTimeout);
  if (object) {
    const Result<LeaseSpec> spec = ParseLease(object.assume_value().spec);
    if (spec) {
      OnLeaseRead(&this->lease, spec.assume_value(),
                  object.assume_value().resource_version, Clock::now());
      return;
    }
  } else if (object.assume_error().code == ErrorCode::kNotFound) {
    OnLeaseRead(&this->lease, LeaseSpec{}, 0, Clock::now());
    return;
  }
  // The last observation is out of date, so no expiry may be derived from it.
  this->lease.up_to_date = false;
  this->lease.next_call = now + kRetryInterval;
}

void PlannerLoop::WriteLease(LeaseStep step, TimePoint now) {
  const LeaseSpec spec = NextLeaseSpec(this->lease, step);
  objectapi::Object object;
  object.kind = objectapi::kLeaseKind;
  object.name = LeaseName(this->options);
  object.resource_version = this->lease.resource_version;
  object.spec = FormatLease(spec);
  const TimePoint start = Clock::now();
  const TimePoint deadline = now + kPlatformTimeout;
  const Result<objectapi::Object> stored =
      step == LeaseStep::kCreate
          ? objectapi::CreateObject(this->connection, object, deadline)
          : objectapi::UpdateObject(this->connection, object, deadline);
  if (stored)
    OnLeaseWritten(&this->lease, spec, stored.assume_value().resource_version,
                   start);
  else
    OnLeaseWriteFailed(&this->lease, Clock::now());
}

void PlannerLoop::UpdateLeadership() {
  const bool leads = MaySendCommands(this->lease, Clock::now());
  this->permission.until = this->lease.send_until;
  this->permission.epoch = leads ? this->lease.last_spec.epoch : 0;
  const bool new_epoch = leads && this->epoch != this->lease.last_spec.epoch;
  if (new_epoch) {
    this->epoch = this->lease.last_spec.epoch;
    for (auto& [id, state] : this->endpoints)
      this->DropUnsentCommands(&state);
    this->endpoints.clear();
    this->configuration_version = -1;
    this->published_known = false;
    this->load_budget = 0;
    this->drains.clear();
    this->unmet_needs.by_model.clear();
  }
  if (leads == this->leading)
    return;
  this->leading = leads;
  const std::string detail = "region=" + this->options.region +
                             " epoch=" + std::to_string(this->epoch);
  LogEvent(leads ? kLeaseTaken : kLeaseLost, detail);
  this->audit.Add(leads ? "take-lease" : "lose-lease",
                  "leases/" + LeaseName(this->options), detail);
  if (this->hooks.on_leadership)
    this->hooks.on_leadership(leads);
}

void PlannerLoop::ReleaseLease() {
  this->permission.epoch = 0;
  const bool was_leading = this->leading;
  this->leading = false;
  if (was_leading && this->hooks.on_leadership)
    this->hooks.on_leadership(false);
  if (!this->lease.held)
    return;
  LeaseSpec spec = this->lease.last_spec;
  spec.holder.clear();
  objectapi::Object object;
  object.kind = objectapi::kLeaseKind;
  object.name = LeaseName(this->options);
  object.resource_version = this->lease.resource_version;
  object.spec = FormatLease(spec);
  const Result<objectapi::Object> stored = objectapi::UpdateObject(
      this->connection, object, Clock::now() + kPlatformTimeout);
  this->lease.held = false;
  this->lease.send_until = TimePoint();
  OnLeaseWriteFailed(&this->lease, Clock::now());
  if (!stored)
    return;
  const std::string detail =
      "region=" + this->options.region + " epoch=" + std::to_string(spec.epoch);
  LogEvent(kLeaseReleased, detail);
  this->audit.Add("release-lease", "leases/" + LeaseName(this->options),
                  detail);
}

}  // namespace coltsfootvane::detail
