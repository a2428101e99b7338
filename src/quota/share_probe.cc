#include "quota/share_probe.h"

#include <algorithm>
#include <utility>

namespace coltsfootvane::quota {
namespace {

constexpr Milliseconds kRoundTime = kResendInterval * kMaxSends;
/// A round that ends later than that was interrupted, and begins again: the
/// replies may wait in the socket.
constexpr Milliseconds kMaxRoundTime{400};
constexpr Milliseconds kRoundInterval{500};
/// Between rounds of all daemons while many do not reply, and while a few,
/// which are slow now and then, do not.
constexpr Milliseconds kFullRoundInterval{2000};
constexpr Milliseconds kLongFullRoundInterval{10'000};
constexpr double kMostShare = 0.95;
/// Longer than an interval, a round of a few and one of all.
constexpr Milliseconds kValidTime{1000};
constexpr Milliseconds kUseTime{3000};
/// Daemons probed in a round of a few. A partition that takes half of the
/// daemons away is missed by one such round in 256.
constexpr std::size_t kSampleSize = 8;
/// A round of all confirms the share as soon as so many have replied, or a
/// part of the daemons after some time: requesters do not wait for its end.
constexpr double kConfirmingShare = 0.9;
constexpr double kConfirmingPart = 0.2;
constexpr Milliseconds kConfirmingTime{20};
constexpr Milliseconds kKnownTime{60'000};

}  // namespace

void ShareProbe::SetKnown(std::vector<Address> addresses) {
  this->known = std::move(addresses);
}

void ShareProbe::RecordKnownCount(int daemons, TimePoint now) {
  if (now >= this->known_elsewhere_until || daemons > this->known_elsewhere) {
    this->known_elsewhere = daemons;
    this->known_elsewhere_until = now + kKnownTime;
  }
}

void ShareProbe::Use(TimePoint now) {
  this->used_until = now + kUseTime;
}

bool ShareProbe::IsValid(TimePoint now) const {
  return now < this->valid_until;
}

double ShareProbe::Share(TimePoint now) const {
  return this->ShareOf(this->heard.size(), now);
}

double ShareProbe::ShareOf(std::size_t others, TimePoint now) const {
  const auto own = static_cast<double>(this->known.size() + 1);
  const double all = now < this->known_elsewhere_until
                         ? std::max<double>(own, this->known_elsewhere)
                         : own;
  return std::min(1.0, static_cast<double>(others + 1) / all);
}

std::vector<Address> ShareProbe::Tick(TimePoint now, std::mt19937_64* random) {
  if (this->in_round &&
      (this->pending.empty() || now >= this->began + kRoundTime))
    this->EndRound(now, random);
  if (!this->in_round && now < this->used_until) {
    const bool needs_full =
        !this->IsValid(now) ||
        (this->Share(now) < 1 && now >= this->next_full_round);
    if (needs_full || now >= this->next_round)
      this->BeginRound(needs_full, now, random);
  }
  if (this->in_round)
    this->ConfirmEarly(now);
  if (!this->in_round || now < this->next_send || this->sends >= kMaxSends)
    return {};
  ++this->sends;
  this->next_send = now + kResendInterval;
  return {this->pending.begin(), this->pending.end()};
}

void ShareProbe::BeginRound(bool all, TimePoint now, std::mt19937_64* random) {
  this->in_round = true;
  this->full = all;
  this->began = now;
  this->next_send = now;
  this->sends = 0;
  this->pending.clear();
  if (all) {
    this->replied.clear();
    this->pending.insert(this->known.begin(), this->known.end());
  } else {
    std::vector<Address> sample;
    std::sample(this->heard.begin(), this->heard.end(),
                std::back_inserter(sample), kSampleSize, *random);
    this->pending.insert(sample.begin(), sample.end());
  }
  if (this->pending.empty())
    this->EndRound(now, random);
}

void ShareProbe::EndRound(TimePoint now, std::mt19937_64* random) {
  const bool all_replied = this->pending.empty();
  const bool interrupted = now > this->began + kMaxRoundTime;
  this->in_round = false;
  if (!all_replied && (interrupted || !this->full)) {
    this->BeginRound(true, now, random);
    return;
  }
  this->pending.clear();
  if (this->full) {
    this->heard = this->replied;
    this->next_full_round =
        now + (this->Share(now) < kMostShare ? kFullRoundInterval
                                             : kLongFullRoundInterval);
  }
  this->Confirm(now);
  this->next_round = now + kRoundInterval;
}

void ShareProbe::Confirm(TimePoint now) {
  if (!this->IsValid(now))
    ++this->term;
  this->valid_until = now + kValidTime;
}

void ShareProbe::ConfirmEarly(TimePoint now) {
  const double needed =
      now < this->began + kConfirmingTime ? kConfirmingShare : kConfirmingPart;
  if (!this->full || this->IsValid(now) ||
      this->ShareOf(this->replied.size(), now) < needed)
    return;
  this->heard = this->replied;
  this->Confirm(now);
}

void ShareProbe::OnReply(Address from, TimePoint now) {
  if (!this->in_round || this->pending.erase(from) == 0 || !this->full)
    return;
  this->replied.insert(from);
  this->ConfirmEarly(now);
}

TimePoint ShareProbe::NextTick(TimePoint now) const {
  if (this->in_round) {
    if (this->pending.empty())
      return now;
    TimePoint next = this->began + kRoundTime;
    if (this->sends < kMaxSends)
      next = std::min(next, this->next_send);
    const TimePoint confirming = this->began + kConfirmingTime;
    return now < confirming ? std::min(next, confirming) : next;
  }
  if (now >= this->used_until)
    return TimePoint::max();
  return this->IsValid(now) ? std::min(this->next_round, this->valid_until)
                            : now;
}

}  // namespace coltsfootvane::quota
