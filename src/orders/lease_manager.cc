#include "orders/lease_manager.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "orders/events.h"

namespace coltsfootvane::orders {
namespace {

using BoostError = boost::system::error_code;

constexpr char kLeaseKind[] = "coltsfootvane-leases";
constexpr char kLeaseName[] = "planner";
constexpr Milliseconds kTickInterval{250};
/// Random delay, so that daemons that start together do not all try to create
/// the lease.
constexpr int kMaxStartDelayMs = 600;
/// How long a lease is kept while the store is unreachable. If no daemon
/// reaches the store, nobody can take the lease over. If only this one does
/// not, it may be replaced without its knowledge; engines that check the
/// fencing number then refuse its orders.
constexpr Milliseconds kMaxOutageHold{30'000};
/// A store call that takes longer counts as unanswered.
constexpr Milliseconds kStoreAnswerTimeout{600};
/// After a longer gap between ticks the process may have been suspended, so
/// that it may have missed a takeover.
constexpr Milliseconds kMaxTickGap{1000};
/// Allowance for an order in flight.
constexpr Milliseconds kMaxOrderDelay{500};

store::Object ToObject(const LeaseSpec& spec, const store::Place& place) {
  store::Object object;
  object.name = kLeaseName;
  object.place = place;
  object.spec = nlohmann::json::parse(FormatLease(spec));
  return object;
}

}  // namespace

LeaseManager::LeaseManager(boost::asio::io_context* io,
                           const store::ObjectStore* object_store,
                           DecisionLog* decision_log,
                           const std::string& own_vm,
                           Milliseconds handover_gap,
                           bool fencing_is_checked)
    : timer(*io),
      store(object_store),
      log(decision_log),
      random(std::random_device()()),
      min_handover_gap(handover_gap),
      engines_check_fencing(fencing_is_checked) {
  this->lease.own_vm_prefix = own_vm + "/";
  // Unique to this process, also after a restart.
  this->lease.self = this->lease.own_vm_prefix + RandomId().substr(0, 8);
  this->lease.times.renewal_interval = handover_gap / 2;
  this->lease.times.observation_interval = handover_gap * 2 / 3;
  this->lease.times.send_period = handover_gap * 5 / 6;
  this->lease.times.expiry =
      this->lease.times.send_period + handover_gap + kMaxOrderDelay;
  // A silent holder stops sending by itself when its send time is over. One
  // that still sends, since only its reports are lost, is refused by engines
  // that check the fencing number.
  this->lease.times.silent_expiry =
      fencing_is_checked ? this->lease.times.send_period + kMaxOrderDelay
                         : this->lease.times.expiry;
}

void LeaseManager::Start() {
  this->timer.expires_after(
      Milliseconds(static_cast<int>(this->random() % kMaxStartDelayMs)));
  this->timer.async_wait([this](const BoostError& ec) {
    if (!ec)
      this->Tick();
  });
}

void LeaseManager::Tick() {
  const TimePoint now = BootNow();
  if (now - this->last_tick > kMaxTickGap)
    this->outage_hold_until = TimePoint();
  this->last_tick = now;
  this->UpdateHolding(now);
  this->lease.holder_silent =
      this->is_holder_silent &&
      this->is_holder_silent(this->lease.last_spec.epoch);
  if (!this->call_in_progress && !this->released && this->Competes()) {
    const LeaseStep step = NextLeaseStep(this->lease, now);
    if (step == LeaseStep::kRead)
      this->Read();
    else if (step != LeaseStep::kNone)
      this->Write(step);
  }
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](const BoostError& ec) {
    if (!ec)
      this->Tick();
  });
}

/// A daemon that does not compete reads the lease once, since a predecessor on
/// its VM may hold it.
bool LeaseManager::Competes() {
  constexpr int kMaxCallsAsBystander = 2;
  this->bystander =
      this->may_compete && !this->lease.held && !this->may_compete();
  if (!this->bystander)
    return true;
  const bool is_known = this->lease.changed_at != TimePoint();
  if (IsHeldByPredecessor(this->lease) ||
      (!is_known && this->calls_as_bystander < kMaxCallsAsBystander)) {
    this->calls_as_bystander += BootNow() >= this->lease.next_call ? 1 : 0;
    return true;
  }
  // It is read anew before it is taken over.
  this->lease.up_to_date = false;
  this->lease.next_call = TimePoint();
  return false;
}

void LeaseManager::Read() {
  this->call_in_progress = true;
  this->call_started_at = BootNow();
  // A stale read is sufficient: a takeover is conditional on its revision.
  const auto freshness = this->lease.up_to_date || this->bystander
                             ? store::Freshness::kStale
                             : store::Freshness::kLatest;
  store::CountCall(*this->store, store::CallCause::kLease, freshness);
  this->store->read(
      kLeaseKind, kLeaseName, freshness, [this](Result<store::Object> object) {
        this->call_in_progress = false;
        const TimePoint now = BootNow();
        this->SetStoreUnreachable(!object &&
                                  object.error().code != ErrorCode::kNotFound);
        if (object) {
          this->OnObjectRead(object.value(), now);
          return;
        }
        if (object.error().code == ErrorCode::kNotFound) {
          this->lease.era = this->store->eras->latest;
          OnLeaseRead(&this->lease, LeaseSpec{}, 0, now);
          return;
        }
        this->lease.next_call = now + this->lease.times.renewal_interval;
      });
}

void LeaseManager::OnObjectRead(const store::Object& object, TimePoint now) {
  const store::Place& place = object.place;
  const Result<LeaseSpec> spec = ParseLease(object.spec.dump());
  if (!spec && std::exchange(this->unreadable_place, place) != place) {
    const std::string& reason =
        object.fault.empty() ? spec.error().message : object.fault;
    this->log->Write(
        kLeaseUnreadable, "",
        "reason=\"" + reason + "\" revision=" + store::FormatPlace(place));
  }
  // Versions of two eras say nothing about each other.
  if (std::exchange(this->lease.era, place.era) != place.era)
    this->lease.changed_at = TimePoint();
  OnLeaseRead(&this->lease, spec ? spec.value() : LeaseSpec{}, place.revision,
              now);
}

void LeaseManager::Write(LeaseStep step) {
  this->call_in_progress = true;
  const TimePoint start = BootNow();
  this->call_started_at = start;
  if (this->highest_heard_epoch)
    this->lease.highest_epoch =
        std::max(this->lease.highest_epoch, this->highest_heard_epoch());
  const LeaseSpec spec = NextLeaseSpec(this->lease, step);
  const bool was_released = step == LeaseStep::kTakeOver &&
                            this->lease.last_spec.holder.empty() &&
                            this->lease.resource_version != 0;
  auto done = [this, step, spec, start,
               was_released](const Result<store::Object>& written) {
    this->OnWritten(step, spec, written, start, was_released);
  };
  this->took_from_predecessor =
      step == LeaseStep::kTakeOver && IsHeldByPredecessor(this->lease);
  const store::Object object = ToObject(
      spec, store::Place(this->lease.resource_version, this->lease.era));
  store::CountCall(*this->store, store::CallCause::kLease,
                   store::Freshness::kLatest);
  if (step == LeaseStep::kCreate)
    this->store->create(kLeaseKind, object, std::move(done));
  else
    this->store->replace(kLeaseKind, object, std::move(done));
}

void LeaseManager::OnWritten(LeaseStep step,
                             const LeaseSpec& spec,
                             const Result<store::Object>& written,
                             TimePoint start,
                             bool was_released) {
  this->call_in_progress = false;
  const TimePoint now = BootNow();
  this->SetStoreUnreachable(!written &&
                            written.error().code != ErrorCode::kConflict);
  if (!written) {
    OnLeaseWriteFailed(&this->lease, now);
    // An unreachable store is not called at every tick.
    this->lease.next_call = now + kTickInterval * 2;
    return;
  }
  if (this->released)
    return;
  OnLeaseWritten(&this->lease, spec, written.value().place.revision, start);
  this->outage_hold_until = now + kMaxOutageHold;
  if (step != LeaseStep::kRenew) {
    this->first_holder = step == LeaseStep::kCreate &&
                         this->store->eras->changes == 0 &&
                         !this->HearsOtherHolder();
    this->may_send_from = this->FirstOrderAt(step, was_released, now);
  }
  this->UpdateHolding(now);
}

bool LeaseManager::HearsOtherHolder() const {
  return this->hears_other_holder && this->hears_other_holder();
}

TimePoint LeaseManager::FirstOrderAt(LeaseStep step,
                                     bool was_released,
                                     TimePoint now) const {
  TimePoint first = was_released ? now + this->min_handover_gap : now;
  // An older copy names a holder that has been replaced since, or none.
  const bool may_be_copy =
      step == LeaseStep::kCreate || this->took_from_predecessor;
  if (may_be_copy && this->HearsOtherHolder())
    first = now + this->lease.times.send_period + kMaxOrderDelay;
  return std::max(first, this->earlier_holder_until);
}

void LeaseManager::SetStoreUnreachable(bool unreachable) {
  const bool regained = this->store_unreachable && !unreachable;
  this->store_unreachable = unreachable;
  if (regained && this->on_store_back)
    this->on_store_back();
}

void LeaseManager::Release() {
  if (this->released)
    return;
  this->released = true;
  if (!this->lease.held)
    return;
  this->lease.held = false;
  LeaseSpec spec = this->lease.last_spec;
  spec.holder.clear();
  const store::Place place(this->lease.resource_version, this->lease.era);
  this->store->replace(kLeaseKind, ToObject(spec, place),
                       [](const Result<store::Object>&) {
                         // If the write fails, the lease expires instead.
                       });
}

bool LeaseManager::HoldsThroughOutage(TimePoint now) const {
  const bool unreachable = this->store_unreachable ||
                           (this->call_in_progress &&
                            now - this->call_started_at > kStoreAnswerTimeout);
  return this->engines_check_fencing && this->lease.held &&
         !this->lease.epoch_is_spent && unreachable &&
         now < this->outage_hold_until && now - this->last_tick <= kMaxTickGap;
}

bool LeaseManager::MaySendOrder(TimePoint now) const {
  return !this->released && now >= this->may_send_from &&
         (MaySendCommands(this->lease, now) || this->HoldsThroughOutage(now));
}

void LeaseManager::OnFenced() {
  this->lease.held = false;
  this->lease.send_until = TimePoint();
  this->lease.up_to_date = false;
  // If the lease is still held, the engine has seen an epoch that the store has
  // lost.
  this->lease.epoch_is_spent = true;
  this->outage_hold_until = TimePoint();
}

void LeaseManager::OnNewEra() {
  const TimePoint now = BootNow();
  const bool was_holder = this->lease.held && !this->lease.epoch_is_spent;
  if (!was_holder)
    this->earlier_holder_until =
        now + this->lease.times.send_period + kMaxOrderDelay;
  const TimePoint known_since = this->lease.changed_at;
  coltsfootvane::OnNewEra(&this->lease, now);
  // Those who do not compete need not read it again.
  if (this->bystander)
    this->lease.changed_at = known_since;
  this->outage_hold_until = TimePoint();
  this->UpdateHolding(now);
}

void LeaseManager::UpdateHolding(TimePoint now) {
  const bool now_holding =
      !this->released &&
      (MaySendCommands(this->lease, now) || this->HoldsThroughOutage(now));
  if (now_holding == this->holding)
    return;
  this->holding = now_holding;
  this->log->Write(now_holding ? kLeaseTaken : kLeaseLost, "",
                   "epoch=" + std::to_string(this->lease.last_spec.epoch) +
                       " holder=" + this->lease.self);
}

}  // namespace coltsfootvane::orders
