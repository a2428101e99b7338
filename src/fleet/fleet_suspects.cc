#include <vector>

#include "fleet/codec.h"
#include "fleet/fleet.h"

namespace coltsfootvane::fleet {
namespace {

/// Returns the addresses of the daemons that report.
std::vector<std::uint32_t> LiveMembers(const MemberTable& table,
                                       TimePoint now) {
  std::vector<std::uint32_t> live;
  for (const auto& [address, member] : table.members) {
    if (IsLive(member, now))
      live.push_back(address);
  }
  return live;
}

}  // namespace

void Fleet::OnSuspects(const gen::Suspects& suspects, std::uint32_t from) {
  if (from == this->own_address)
    return;
  const TimePoint now = BootNow();
  const auto told = ReadSuspects(suspects, from, now);
  PlanReplies(&this->suspect_news, this->gateway->quarantine.ledger,
              this->gateway->quarantine.answered, told, now,
              &this->gateway->random);
  gateway::MergeSuspects(this->gateway, told);
  this->SendSuspects();
}

void Fleet::OnSuspectNews(gsl::span<const quarantine::PartId> parts,
                          gateway::SuspectSource source) {
  const TimePoint now = BootNow();
  if (source == gateway::SuspectSource::kCrash)
    TellSeen(&this->suspect_news, parts, now);
  else if (source == gateway::SuspectSource::kAnswer)
    TellAnswered(&this->suspect_news, this->gateway->quarantine.ledger, parts,
                 now, &this->gateway->random);
  this->SendSuspects();
}

/// Sends what is due, and comes back while there is more.
void Fleet::SendSuspects() {
  if (!this->suspects_scheduled)
    this->ScheduleSuspects(Milliseconds(0));
}

void Fleet::ScheduleSuspects(Milliseconds delay) {
  if (!HasNews(this->suspect_news))
    return;
  this->suspects_scheduled = true;
  this->suspect_timer.Set(delay, [this] { this->OnSuspectTimer(); });
}

void Fleet::OnSuspectTimer() {
  const TimePoint now = BootNow();
  const std::vector<std::uint32_t> live = LiveMembers(this->table, now);
  const std::vector<OutgoingSuspects> outgoing =
      TakeDue(&this->suspect_news, this->gateway->quarantine.ledger,
              this->own_address, live, now, &this->gateway->random);
  for (const OutgoingSuspects& one : outgoing)
    this->SendSuspectsTo(one.to, one.suspects);
  this->suspects_scheduled = false;
  this->ScheduleSuspects(kSuspectSendInterval);
}

void Fleet::SendSuspectsTo(std::uint32_t to, const gen::Suspects& suspects) {
  if (suspects.parts.empty())
    return;
  gen::Datagram datagram;
  datagram.__set_suspects(suspects);
  this->SendTo(to, Encode(datagram));
}

void Fleet::SendAllSuspects(std::uint32_t to) {
  const gateway::PartQuarantine& state = this->gateway->quarantine;
  this->SendSuspectsTo(to, AllSuspects(state.ledger, state.quarantines,
                                       this->own_address, BootNow()));
}

/// Tells a random live daemon, so that those that missed the news hear it.
void Fleet::RemindOfQuarantine(TimePoint now) {
  if (this->gateway->quarantine.quarantines.empty() ||
      now < this->suspect_news.reminder_due)
    return;
  this->suspect_news.reminder_due = now + kReminderInterval;
  const std::vector<std::uint32_t> live = LiveMembers(this->table, now);
  if (!live.empty())
    this->SendAllSuspects(live[this->gateway->random() % live.size()]);
}

void Fleet::UpdateTrialOrder(TimePoint now) {
  int rank = 0;
  for (const auto& [address, member] : this->table.members)
    rank += IsLive(member, now) && address < this->own_address ? 1 : 0;
  this->gateway->quarantine.rank = rank;
}

}  // namespace coltsfootvane::fleet
