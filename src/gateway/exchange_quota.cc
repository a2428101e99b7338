#include <utility>

#include "base/name_text.h"
#include "gateway/exchange.h"
#include "gateway/gateway.h"

namespace coltsfootvane::gateway {

void Exchange::AwaitQuota() {
  this->CheckShare();
  if (this->team == nullptr || !team::IsLimited(this->team->quota) ||
      !this->gateway->request_quota) {
    this->TryNextEndpoint();
    return;
  }
  const team::Quota& quota = this->team->quota;
  QuotaWanted wanted;
  wanted.team = KeyOf(this->team->name);
  wanted.limit = {quota.per_second, quota.burst, this->routes->version};
  wanted.units = team::UnitsOf(quota, this->info.quota_tokens);
  wanted.rank = this->Rank();
  this->gateway->request_quota(
      wanted, [weak = weak_from_this(), owner = this->gateway,
               wanted](const QuotaDecision& decision) {
        const auto self = weak.lock();
        if (self && !self->finished) {
          self->quota_units = decision.granted ? wanted.units : 0;
          self->OnQuotaDecision(decision);
        } else if (decision.granted) {
          owner->settle_quota(wanted.team, -wanted.units);
        }
      });
}

void Exchange::OnQuotaDecision(const QuotaDecision& decision) {
  const double units =
      team::UnitsOf(this->team->quota, this->info.quota_tokens);
  const char* outcome = "rejected";
  if (decision.granted)
    outcome = decision.by_fallback ? "fallback" : "granted";
  this->gateway->metrics.CountQuota(this->team->name, outcome, units);
  this->gateway->metrics.ObserveQuotaWait(decision.waited);
  if (decision.granted) {
    this->TryNextEndpoint();
    return;
  }
  constexpr int kTooManyRequests = 429;
  this->Refuse("quota", {decision.retry_after, decision.retry_after},
               "team=" + Printable(this->team->name) +
                   " units=" + std::to_string(static_cast<int>(units)) +
                   " owner=" + (decision.by_fallback ? "silent" : "replied"),
               kTooManyRequests);
}

/// Every sixth request of a team over its share counts like those of others. A
/// team that sends 0.42 of all requests or more is then served at least a
/// quarter as often as all together, even if none of its others are.
void Exchange::CheckShare() {
  constexpr std::uint64_t kServedOneIn = 6;
  this->over_share =
      this->team != nullptr && !this->gateway->teams_over_share.empty() &&
      this->gateway->teams_over_share.count(KeyOf(this->team->name)) > 0 &&
      this->gateway->random() % kServedOneIn != 0;
}

/// Plain services take requests in the order of their arrival, so that none can
/// yield there.
bool Exchange::RefuseOverShare(const Choice& choice) {
  if (!this->over_share || this->sends > 0 ||
      !ExceedsShare(*this->route, choice.wait_ms))
    return false;
  this->Refuse(
      "team over its share",
      ReturnAfter(Milliseconds(static_cast<std::int64_t>(choice.wait_ms) + 1)),
      "team=" + Printable(this->team->name));
  return true;
}

/// Returns the units of a request that has not run, and charges the team for
/// each further send that may have run.
void Exchange::SettleQuota() {
  const double units = std::exchange(this->quota_units, 0);
  if (units > 0 && this->possible_executions != 1)
    this->gateway->settle_quota(KeyOf(this->team->name),
                                units * (this->possible_executions - 1));
}

}  // namespace coltsfootvane::gateway
