#include "placement/lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace coltsfootvane {

using Json = nlohmann::json;

namespace {

bool IsLeaseNumber(const Json& json) {
  return json.is_number_unsigned() &&
         json.get<std::uint64_t>() <= std::uint64_t{kMaxLeaseNumber};
}

}  // namespace

std::string FormatLease(const LeaseSpec& spec) {
  const Json json = {{"holder", spec.holder},
                     {"epoch", spec.epoch},
                     {"renewals", spec.renewals}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<LeaseSpec> ParseLease(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    if (!IsLeaseNumber(json.at("epoch")) || !IsLeaseNumber(json.at("renewals")))
      return Error{ErrorCode::kInvalid, "epoch or renewals is no such number"};
    LeaseSpec spec;
    spec.holder = json.at("holder").get<std::string>();
    spec.epoch = json.at("epoch").get<std::int64_t>();
    spec.renewals = json.at("renewals").get<std::int64_t>();
    return spec;
  } catch (const Json::exception& error) {
    return Error{ErrorCode::kInvalid, error.what()};
  }
}

bool IsHeldByPredecessor(const Lease& lease) {
  const std::string& holder = lease.last_spec.holder;
  return !lease.own_vm_prefix.empty() && holder != lease.self &&
         holder.compare(0, lease.own_vm_prefix.size(), lease.own_vm_prefix) ==
             0;
}

LeaseStep NextLeaseStep(const Lease& lease, TimePoint now) {
  if (!lease.up_to_date)
    return now >= lease.next_call ? LeaseStep::kRead : LeaseStep::kNone;
  if (lease.resource_version == 0)
    return LeaseStep::kCreate;
  if (lease.held && lease.epoch_is_spent)
    return LeaseStep::kTakeOver;
  if (lease.held)
    return now >= lease.next_call ? LeaseStep::kRenew : LeaseStep::kNone;
  if (lease.last_spec.holder.empty() || IsHeldByPredecessor(lease))
    return LeaseStep::kTakeOver;
  const Milliseconds expiry =
      lease.holder_silent ? lease.times.silent_expiry : lease.times.expiry;
  const bool expired = now - lease.changed_at >= expiry;
  if (now < lease.next_call && !(lease.holder_silent && expired))
    return LeaseStep::kNone;
  // No further read is needed: the update is conditional on the version read.
  if (expired)
    return LeaseStep::kTakeOver;
  return LeaseStep::kRead;
}

LeaseSpec NextLeaseSpec(const Lease& lease, LeaseStep step) {
  LeaseSpec spec = lease.last_spec;
  spec.holder = lease.self;
  if (step == LeaseStep::kRenew) {
    ++spec.renewals;
    return spec;
  }
  spec.epoch =
      std::max({spec.epoch, lease.era * kEpochsPerEra, lease.highest_epoch}) +
      1;
  spec.renewals = 0;
  return spec;
}

void OnLeaseRead(Lease* lease,
                 const LeaseSpec& spec,
                 std::int64_t resource_version,
                 TimePoint now) {
  lease->highest_epoch = std::max(lease->highest_epoch, spec.epoch);
  const bool first = lease->changed_at == TimePoint();
  const bool changed = first || resource_version != lease->resource_version;
  if (changed)
    lease->changed_at = now;
  // If the lease is held by this process, a write whose response was lost has
  // succeeded. `send_until` is not extended: it counts from the last renewal
  // that is known to have succeeded.
  const bool own = spec.holder == lease->self && resource_version != 0;
  lease->held = own;
  if (!own)
    lease->send_until = TimePoint();
  lease->last_spec = spec;
  lease->resource_version = resource_version;
  lease->up_to_date = true;
  if (own)
    lease->next_call = now;
  else
    lease->next_call = now + (changed ? lease->times.observation_interval
                                      : lease->times.renewal_interval);
}

void OnLeaseWritten(Lease* lease,
                    const LeaseSpec& spec,
                    std::int64_t resource_version,
                    TimePoint start) {
  lease->highest_epoch = std::max(lease->highest_epoch, spec.epoch);
  lease->last_spec = spec;
  lease->resource_version = resource_version;
  lease->changed_at = start;
  lease->up_to_date = true;
  lease->epoch_is_spent = false;
  lease->held = spec.holder == lease->self;
  lease->send_until =
      lease->held ? start + lease->times.send_period : TimePoint();
  lease->next_call = start + lease->times.renewal_interval;
}

void OnLeaseWriteFailed(Lease* lease, TimePoint now) {
  lease->up_to_date = false;
  lease->next_call = now;
}

void OnNewEra(Lease* lease, TimePoint now) {
  lease->held = false;
  lease->send_until = TimePoint();
  lease->epoch_is_spent = true;
  lease->up_to_date = false;
  // Versions of the two eras say nothing about each other.
  lease->changed_at = TimePoint();
  lease->next_call = now;
}

bool MaySendCommands(const Lease& lease, TimePoint now) {
  return lease.held && !lease.epoch_is_spent && now < lease.send_until;
}

}  // namespace coltsfootvane
