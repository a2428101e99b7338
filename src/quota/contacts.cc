#include "quota/contacts.h"

#include <array>
#include <string_view>

#include "base/digest.h"

namespace coltsfootvane::quota {
namespace {

constexpr Milliseconds kProbeInterval{200};
/// Beyond the time in which an owner notices that it is cut off: a round of a
/// few probes each 500 ms, and one of all that takes 120 ms.
constexpr Milliseconds kSilentTime{1000};
constexpr int kSilentProbes = 4;
constexpr Milliseconds kNotOwnerTime{2000};
constexpr Milliseconds kAvoidedProbeInterval{1000};
constexpr Milliseconds kKeepTime{60'000};

}  // namespace

void Contacts::RecordHeard(Address daemon) {
  const auto found = this->contacts.find(daemon);
  if (found == this->contacts.end())
    return;
  found->second.avoided = false;
  found->second.unanswered_probes = 0;
}

void Contacts::RecordSilence(Address daemon, TimePoint now) {
  Contact& contact = this->contacts[daemon];
  contact.last_record = now;
  if (contact.avoided)
    return;
  contact.avoided = true;
  contact.next_probe_of_avoided = now + kAvoidedProbeInterval;
}

void Contacts::RecordNotOwner(Address daemon, TimePoint now) {
  Contact& contact = this->contacts[daemon];
  contact.last_record = now;
  contact.not_owner_until = now + kNotOwnerTime;
}

void Contacts::RecordOwner(Address daemon) {
  const auto found = this->contacts.find(daemon);
  if (found != this->contacts.end())
    found->second.not_owner_until = TimePoint();
}

bool Contacts::IsAvoided(Address daemon, TimePoint now) const {
  const auto found = this->contacts.find(daemon);
  return found != this->contacts.end() &&
         (found->second.avoided || now < found->second.not_owner_until);
}

bool Contacts::IsSilent(Address daemon, TimePoint now) const {
  const auto found = this->contacts.find(daemon);
  if (found == this->contacts.end())
    return false;
  const Contact& contact = found->second;
  return now < contact.not_owner_until ||
         (contact.unanswered_probes >= kSilentProbes &&
          now >= contact.unanswered_since + kSilentTime);
}

bool Contacts::TakeProbe(Address daemon, TimePoint now) {
  Contact& contact = this->contacts[daemon];
  contact.last_record = now;
  if (now < contact.next_probe)
    return false;
  // Probes before a long pause say nothing of the present.
  if (contact.unanswered_probes == 0 ||
      now > contact.next_probe + kSilentTime) {
    contact.unanswered_probes = 0;
    contact.unanswered_since = now;
  }
  ++contact.unanswered_probes;
  contact.next_probe = now + kProbeInterval;
  return true;
}

std::vector<Address> Contacts::TakeProbesOfAvoided(TimePoint now) {
  std::vector<Address> probed;
  for (auto it = this->contacts.begin(); it != this->contacts.end();) {
    Contact& contact = it->second;
    if (now >= contact.last_record + kKeepTime) {
      it = this->contacts.erase(it);
      continue;
    }
    if (contact.avoided && now >= contact.next_probe_of_avoided) {
      contact.next_probe_of_avoided = now + kAvoidedProbeInterval;
      probed.push_back(it->first);
    }
    ++it;
  }
  return probed;
}

std::uint64_t OwnerRank(TeamKey team, Address daemon) {
  constexpr int kByteBits = 8;
  std::array<char, sizeof(Address)> bytes{};
  for (std::size_t i = 0; i < bytes.size(); ++i)
    bytes[i] = static_cast<char>(daemon >> (kByteBits * i));
  return Hash64(std::string_view(bytes.data(), bytes.size()), team);
}

}  // namespace coltsfootvane::quota
