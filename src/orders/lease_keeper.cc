#include "orders/lease_keeper.h"

#include <utility>

#include "base/digest.h"
#include "orders/events.h"

namespace coltsfootvane::orders {
namespace {

using BoostError = boost::system::error_code;

constexpr char kLeaseKind[] = "coltsfootvane-leases";
constexpr char kLeaseName[] = "planner";
constexpr Milliseconds kTick{250};
/// Daemons that start together do not all create the lease.
constexpr int kStartSpreadMs = 600;
/// While the store is away nobody can take the lease over, and a holder that
/// was replaced unseen is refused by its fencing number.
constexpr Milliseconds kOutageHolding{30'000};
/// A call that takes longer counts as one without an answer.
constexpr Milliseconds kLateAnswer{600};
/// A process that did not run for longer may have been suspended and knows
/// nothing of what happened meanwhile.
constexpr Milliseconds kLongestPause{1000};
/// Covers the time that an order is on its way.
constexpr Milliseconds kOrderTravel{500};

store::Object ToObject(const LeaseSpec& spec, std::int64_t revision) {
  store::Object object;
  object.name = kLeaseName;
  object.revision = revision;
  object.spec = nlohmann::json::parse(FormatLease(spec));
  return object;
}

}  // namespace

LeaseKeeper::LeaseKeeper(boost::asio::io_context* io,
                         const store::ObjectStore* object_store,
                         DecisionLog* decision_log,
                         const std::string& own_vm,
                         Milliseconds gap,
                         bool fences_are_checked)
    : timer(*io),
      store(object_store),
      log(decision_log),
      random(std::random_device()()),
      least_gap(gap),
      engines_check_fences(fences_are_checked) {
  this->lease.own_vm = own_vm + "/";
  // The name is new with each start of the process.
  this->lease.self = this->lease.own_vm + RandomId().substr(0, 8);
  this->lease.times.renewal = gap / 2;
  this->lease.times.observation = gap * 2 / 3;
  this->lease.times.send = gap * 5 / 6;
  this->lease.times.expiry = this->lease.times.send + gap + kOrderTravel;
  // A silent holder has stopped sending by itself. One that is merely not heard
  // and sends on is refused by engines that check the fencing number.
  this->lease.times.silent_expiry = fences_are_checked
                                        ? this->lease.times.send + kOrderTravel
                                        : this->lease.times.expiry;
}

void LeaseKeeper::Start() {
  this->timer.expires_after(
      Milliseconds(static_cast<int>(this->random() % kStartSpreadMs)));
  this->timer.async_wait([this](const BoostError& ec) {
    if (!ec)
      this->Tick();
  });
}

void LeaseKeeper::Tick() {
  const TimePoint now = BootNow();
  if (now - this->last_tick > kLongestPause)
    this->outage_ends = TimePoint();
  this->last_tick = now;
  this->NoteHolding(now);
  this->lease.holder_silent =
      this->is_holder_silent && this->is_holder_silent(this->lease.seen.epoch);
  if (!this->calling && !this->released) {
    const LeaseStep step = NextLeaseStep(this->lease, now);
    if (step == LeaseStep::kRead)
      this->Read();
    else if (step != LeaseStep::kNone)
      this->Write(step);
  }
  this->timer.expires_after(kTick);
  this->timer.async_wait([this](const BoostError& ec) {
    if (!ec)
      this->Tick();
  });
}

void LeaseKeeper::Read() {
  this->calling = true;
  this->call_began = BootNow();
  // An observation may be old: taking over is conditional on its revision.
  const auto freshness =
      this->lease.known ? store::Freshness::kStale : store::Freshness::kLatest;
  this->store->read(
      kLeaseKind, kLeaseName, freshness, [this](Result<store::Object> object) {
        this->calling = false;
        const TimePoint now = BootNow();
        this->SetStoreAway(!object &&
                           object.error().code != ErrorCode::kNotFound);
        if (object) {
          const Result<LeaseSpec> spec = ParseLease(object.value().spec.dump());
          OnLeaseRead(&this->lease, spec ? spec.value() : LeaseSpec{},
                      object.value().revision, now);
          return;
        }
        if (object.error().code == ErrorCode::kNotFound) {
          OnLeaseRead(&this->lease, LeaseSpec{}, 0, now);
          return;
        }
        this->lease.next_call = now + this->lease.times.renewal;
      });
}

void LeaseKeeper::Write(LeaseStep step) {
  this->calling = true;
  const TimePoint start = BootNow();
  this->call_began = start;
  const LeaseSpec spec = NextLeaseSpec(this->lease, step);
  const bool was_released = step == LeaseStep::kTakeOver &&
                            this->lease.seen.holder.empty() &&
                            this->lease.resource_version != 0;
  auto done = [this, step, spec, start,
               was_released](const Result<store::Object>& written) {
    this->OnWritten(step, spec, written, start, was_released);
  };
  const store::Object object = ToObject(spec, this->lease.resource_version);
  if (step == LeaseStep::kCreate)
    this->store->create(kLeaseKind, object, std::move(done));
  else
    this->store->replace(kLeaseKind, object, std::move(done));
}

void LeaseKeeper::OnWritten(LeaseStep step,
                            const LeaseSpec& spec,
                            const Result<store::Object>& written,
                            TimePoint start,
                            bool was_released) {
  this->calling = false;
  const TimePoint now = BootNow();
  this->SetStoreAway(!written && written.error().code != ErrorCode::kConflict);
  if (!written) {
    OnLeaseWriteFailed(&this->lease, now);
    // A store that is away is not asked at every tick.
    this->lease.next_call = now + kTick * 2;
    return;
  }
  if (this->released)
    return;
  OnLeaseWritten(&this->lease, spec, written.value().revision, start);
  this->outage_ends = now + kOutageHolding;
  if (step != LeaseStep::kRenew)
    this->orders_from = was_released ? now + this->least_gap : now;
  this->NoteHolding(now);
}

void LeaseKeeper::SetStoreAway(bool away) {
  const bool back = this->store_away && !away;
  this->store_away = away;
  if (back && this->on_store_back)
    this->on_store_back();
}

void LeaseKeeper::Release() {
  if (this->released)
    return;
  this->released = true;
  if (!this->lease.held)
    return;
  this->lease.held = false;
  LeaseSpec spec = this->lease.seen;
  spec.holder.clear();
  this->store->replace(kLeaseKind, ToObject(spec, this->lease.resource_version),
                       [](const Result<store::Object>&) {
                         // Without an effect the lease expires instead.
                       });
}

bool LeaseKeeper::HoldsThroughOutage(TimePoint now) const {
  const bool away = this->store_away ||
                    (this->calling && now - this->call_began > kLateAnswer);
  return this->engines_check_fences && this->lease.held && away &&
         now < this->outage_ends && now - this->last_tick <= kLongestPause;
}

bool LeaseKeeper::MayOrder(TimePoint now) const {
  return !this->released && now >= this->orders_from &&
         (MaySend(this->lease, now) || this->HoldsThroughOutage(now));
}

void LeaseKeeper::OnFenced() {
  this->lease.held = false;
  this->lease.send_until = TimePoint();
  this->lease.known = false;
  this->outage_ends = TimePoint();
}

void LeaseKeeper::NoteHolding(TimePoint now) {
  const bool now_holding = !this->released && (MaySend(this->lease, now) ||
                                               this->HoldsThroughOutage(now));
  if (now_holding == this->holding)
    return;
  this->holding = now_holding;
  this->log->Write(now_holding ? kLeaseTaken : kLeaseLost, "",
                   "epoch=" + std::to_string(this->lease.seen.epoch) +
                       " holder=" + this->lease.self);
}

}  // namespace coltsfootvane::orders
