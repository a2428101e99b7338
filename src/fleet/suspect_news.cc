#include "fleet/suspect_news.h"

#include <algorithm>
#include <utility>

namespace coltsfootvane::fleet {
namespace {

using quarantine::Involvement;
using quarantine::Ledger;
using quarantine::Observer;
using quarantine::PartId;
using quarantine::Suspect;

/// These keep a datagram within one packet.
constexpr std::size_t kMaxPartsTold = 24;
constexpr std::size_t kMaxInvolvementsTold = 48;
/// Of one part: enough for a quarantine.
constexpr std::size_t kMaxToldPerPart = 8;
/// Estimates of the encoded size, with the headers of IP and UDP.
constexpr double kHeaderBytes = 36;
constexpr double kPartBytes = 14;
constexpr double kInvolvementBytes = 14;
/// A daemon with three crashes or more against a part is about to quarantine
/// it, or has.
constexpr std::size_t kWorthClearing = 3;

bool HasSeen(const Involvement& involvement, Observer self) {
  return std::find(involvement.observers.begin(), involvement.observers.end(),
                   self) != involvement.observers.end();
}

gen::CrashInvolvement ToWire(const Involvement& involvement, TimePoint now) {
  gen::CrashInvolvement wire;
  wire.crash = static_cast<std::int32_t>(involvement.crash);
  wire.age_ms =
      static_cast<std::int32_t>(TimeLeft(now, involvement.at).count());
  wire.answering = involvement.answering;
  wire.cleared = involvement.cleared;
  return wire;
}

/// Returns the newest involvements of a part that this daemon vouches for.
gen::SuspectPart ToWire(PartId part,
                        const Suspect& suspect,
                        Observer self,
                        bool all,
                        TimePoint now) {
  gen::SuspectPart wire;
  wire.part = static_cast<std::int64_t>(part);
  wire.answered_before = suspect.answered_before;
  for (auto it = suspect.involvements.rbegin();
       it != suspect.involvements.rend(); ++it) {
    const bool vouched = all || it->cleared || HasSeen(*it, self);
    if (vouched && wire.involvements.size() < kMaxToldPerPart)
      wire.involvements.push_back(ToWire(*it, now));
  }
  return wire;
}

void AddPart(const gen::SuspectPart& part,
             std::size_t* involvements,
             gen::Suspects* suspects) {
  if (suspects->parts.size() >= kMaxPartsTold ||
      *involvements + part.involvements.size() > kMaxInvolvementsTold)
    return;
  *involvements += part.involvements.size();
  suspects->parts.push_back(part);
}

double EstimateBytes(const gen::Suspects& suspects) {
  double bytes = kHeaderBytes;
  for (const gen::SuspectPart& part : suspects.parts)
    bytes += kPartBytes +
             kInvolvementBytes * static_cast<double>(part.involvements.size());
  return bytes;
}

void Refill(SuspectNews* news, TimePoint now) {
  const std::chrono::duration<double> elapsed = now - news->budget_at;
  news->budget_at = now;
  news->budget = std::min(kSuspectBurstBytes,
                          news->budget + elapsed.count() * kSuspectBytesPerS);
}

/// Returns what is due, or an empty message.
gen::Suspects CollectDue(const SuspectNews& news,
                         const Ledger& ledger,
                         Observer self,
                         TimePoint now) {
  gen::Suspects suspects;
  std::size_t involvements = 0;
  for (const auto& [part, item] : news.items) {
    const auto suspect = ledger.suspects.find(part);
    if (now >= item.due && suspect != ledger.suspects.end())
      AddPart(ToWire(part, suspect->second, self, false, now), &involvements,
              &suspects);
  }
  return suspects;
}

/// All members have been told.
void EndRound(SuspectNews* news, TimePoint now) {
  for (auto it = news->items.begin(); it != news->items.end();) {
    SuspectNews::Item& item = it->second;
    if (now < item.due) {
      ++it;
      continue;
    }
    --item.tellings;
    item.due = now + kTellAgainAfter;
    it = item.tellings <= 0 ? news->items.erase(it) : std::next(it);
  }
}

/// Plans a reply after a random delay, unless something is planned already.
void PlanReply(SuspectNews* news,
               PartId part,
               TimePoint now,
               std::mt19937_64* random) {
  constexpr int kReplies = 2;
  std::uniform_int_distribution<std::int64_t> delay(0, kMaxReplyDelay.count());
  news->items.try_emplace(
      part,
      SuspectNews::Item{kReplies, now + Milliseconds(delay(*random)), true});
}

const Involvement* FindCrash(const Suspect& suspect,
                             quarantine::CrashKey crash) {
  const auto found = std::find_if(
      suspect.involvements.begin(), suspect.involvements.end(),
      [crash](const Involvement& one) { return one.crash == crash; });
  return found == suspect.involvements.end() ? nullptr : &*found;
}

/// Returns whether the words tell of every answer that this daemon knows of.
bool SaysAll(const Suspect* known, const Suspect& told, bool is_answered) {
  if (is_answered && !told.answered_before)
    return false;
  if (known == nullptr)
    return true;
  return std::all_of(known->involvements.begin(), known->involvements.end(),
                     [&told](const Involvement& own) {
                       const Involvement* const one =
                           FindCrash(told, own.crash);
                       return !own.cleared || (one != nullptr && one->cleared);
                     });
}

/// Returns whether this daemon knows of an answer that the words deny.
bool KnowsMore(const Suspect* known, const Suspect& told, bool is_answered) {
  if (is_answered && !told.answered_before)
    return true;
  if (known == nullptr || known->involvements.size() < kWorthClearing)
    return false;
  return std::any_of(told.involvements.begin(), told.involvements.end(),
                     [known](const Involvement& one) {
                       const Involvement* const own =
                           FindCrash(*known, one.crash);
                       return own != nullptr && own->cleared && !one.cleared;
                     });
}

}  // namespace

void TellSeen(SuspectNews* news, gsl::span<const PartId> parts, TimePoint now) {
  for (const PartId part : parts) {
    SuspectNews::Item& item = news->items[part];
    item.tellings = kTellings;
    item.due = now;
    item.reply = false;
  }
  // Those already told in this round hear the rest in the next one.
}

void TellAnswered(SuspectNews* news,
                  const Ledger& ledger,
                  gsl::span<const PartId> parts,
                  TimePoint now,
                  std::mt19937_64* random) {
  for (const PartId part : parts) {
    const auto suspect = ledger.suspects.find(part);
    const bool is_worth = suspect != ledger.suspects.end() &&
                          suspect->second.involvements.size() >= kWorthClearing;
    if (is_worth)
      PlanReply(news, part, now, random);
  }
}

void PlanReplies(SuspectNews* news,
                 const Ledger& ledger,
                 const quarantine::AnsweredParts& answered,
                 const std::map<PartId, Suspect>& told,
                 TimePoint now,
                 std::mt19937_64* random) {
  for (const auto& [part, suspect] : told) {
    const auto planned = news->items.find(part);
    const auto known = ledger.suspects.find(part);
    const Suspect* const own =
        known == ledger.suspects.end() ? nullptr : &known->second;
    const bool is_answered =
        answered.Contains(part) || (own != nullptr && own->answered_before);
    if (planned != news->items.end() && planned->second.reply &&
        SaysAll(own, suspect, is_answered))
      news->items.erase(planned);
    else if (answered.Contains(part) && KnowsMore(own, suspect, is_answered))
      PlanReply(news, part, now, random);
  }
}

std::vector<OutgoingSuspects> TakeDue(SuspectNews* news,
                                      const Ledger& ledger,
                                      Observer self,
                                      gsl::span<const std::uint32_t> members,
                                      TimePoint now,
                                      std::mt19937_64* random) {
  std::vector<OutgoingSuspects> outgoing;
  Refill(news, now);
  const gen::Suspects suspects = CollectDue(*news, ledger, self, now);
  if (suspects.parts.empty()) {
    news->targets.clear();
    EndRound(news, now);
    return outgoing;
  }
  if (news->targets.empty()) {
    news->targets.assign(members.begin(), members.end());
    std::shuffle(news->targets.begin(), news->targets.end(), *random);
  }
  const double bytes = EstimateBytes(suspects);
  while (!news->targets.empty() && news->budget >= bytes) {
    outgoing.push_back({news->targets.back(), suspects});
    news->targets.pop_back();
    news->budget -= bytes;
  }
  if (news->targets.empty())
    EndRound(news, now);
  return outgoing;
}

bool HasNews(const SuspectNews& news) {
  return !news.items.empty();
}

bool IsBusyTelling(const SuspectNews& news) {
  return HasNews(news) && news.budget < kSuspectBurstBytes / 4;
}

gen::Suspects AllSuspects(const Ledger& ledger,
                          gsl::span<const quarantine::Quarantine> quarantines,
                          Observer self,
                          TimePoint now) {
  gen::Suspects suspects;
  std::size_t involvements = 0;
  std::map<PartId, bool> added;
  for (const quarantine::Quarantine& one : quarantines) {
    for (const PartId part : one.parts) {
      if (added.emplace(part, true).second)
        AddPart(ToWire(part, ledger.suspects.at(part), self, true, now),
                &involvements, &suspects);
    }
  }
  for (const auto& [part, suspect] : ledger.suspects) {
    gen::SuspectPart wire = ToWire(part, suspect, self, false, now);
    if (!wire.involvements.empty() && added.emplace(part, true).second)
      AddPart(wire, &involvements, &suspects);
  }
  return suspects;
}

std::map<PartId, Suspect> ReadSuspects(const gen::Suspects& wire,
                                       Observer sender,
                                       TimePoint now) {
  std::map<PartId, Suspect> suspects;
  for (const gen::SuspectPart& part : wire.parts) {
    Suspect& suspect = suspects[static_cast<PartId>(part.part)];
    suspect.answered_before = part.answered_before;
    for (const gen::CrashInvolvement& told : part.involvements) {
      const Milliseconds age(told.age_ms);
      if (age < Milliseconds(0) || age > quarantine::kEvidenceRetention)
        continue;
      Involvement involvement;
      involvement.crash = static_cast<quarantine::CrashKey>(told.crash);
      involvement.at = now - age;
      involvement.answering = told.answering;
      involvement.cleared = told.cleared;
      if (!told.cleared)
        involvement.observers = {sender};
      suspect.involvements.push_back(std::move(involvement));
    }
  }
  return suspects;
}

}  // namespace coltsfootvane::fleet
