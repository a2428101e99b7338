#ifndef COLTSFOOTVANE_FLEET_SUSPECT_NEWS_H_
#define COLTSFOOTVANE_FLEET_SUSPECT_NEWS_H_

#include <cstdint>
#include <gsl/span>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "base/clock.h"
#include "fleet/gen/fleet_types.h"
#include "quarantine/suspicion.h"
#include "quarantine/verdict.h"

namespace coltsfootvane::fleet {

/// Bounds the bytes that a daemon sends of suspects, apart from a first burst
/// that reaches the daemons of a small fleet at once.
inline constexpr double kSuspectBytesPerS = 20'000;
inline constexpr double kSuspectBurstBytes = 8'000;
/// While there is news, datagrams are sent this often.
inline constexpr Milliseconds kSuspectSendInterval{20};
/// A daemon tells what it has seen this often, for lost datagrams.
inline constexpr int kTellings = 3;
inline constexpr Milliseconds kTellAgainAfter{300};
/// A daemon that knows more waits for a random time of up to this, since others
/// may know the same.
inline constexpr Milliseconds kMaxReplyDelay{400};
/// A daemon with quarantined parts tells one other daemon this often.
inline constexpr Milliseconds kReminderInterval{2000};

/// What a daemon tells the others about parts that may crash endpoints.
///
/// A daemon vouches for what it has seen itself, and tells all others directly:
/// nobody passes on the word of a third. Only what it has quarantined it also
/// tells to daemons that start, and from time to time to any other.
struct SuspectNews {
  struct Item {
    int tellings = 0;  ///< To come, each to all members.
    TimePoint due;
    bool reply = false;  ///< Needless once another daemon has said the same.
  };
  std::map<quarantine::PartId, Item> items;
  std::vector<std::uint32_t> targets;  ///< Left in the present round.
  double budget = kSuspectBurstBytes;  ///< Bytes.
  TimePoint budget_at;
  TimePoint reminder_due;
};

/// A datagram for one daemon.
struct OutgoingSuspects {
  std::uint32_t to = 0;
  gen::Suspects suspects;
};

/// Plans to tell all members of what this daemon has seen itself.
void TellSeen(SuspectNews* news,
              gsl::span<const quarantine::PartId> parts,
              TimePoint now);

/// Plans to tell that endpoints have answered with suspected parts, unless
/// another daemon does so first.
void TellAnswered(SuspectNews* news,
                  const quarantine::Ledger& ledger,
                  gsl::span<const quarantine::PartId> parts,
                  TimePoint now,
                  std::mt19937_64* random);

/// Plans replies to what another daemon tells, where this one knows more: that
/// endpoints have answered with a part. Drops the replies that its words make
/// needless. Called before the words are merged.
void PlanReplies(SuspectNews* news,
                 const quarantine::Ledger& ledger,
                 const quarantine::AnsweredParts& answered,
                 const std::map<quarantine::PartId, quarantine::Suspect>& told,
                 TimePoint now,
                 std::mt19937_64* random);

/// Returns the datagrams to send now.
std::vector<OutgoingSuspects> TakeDue(SuspectNews* news,
                                      const quarantine::Ledger& ledger,
                                      quarantine::Observer self,
                                      gsl::span<const std::uint32_t> members,
                                      TimePoint now,
                                      std::mt19937_64* random);

/// Returns whether there is anything left to tell.
bool HasNews(const SuspectNews& news);

/// Returns whether telling uses up the bytes that a daemon may send.
bool IsBusyTelling(const SuspectNews& news);

/// Returns what a daemon tells one that has just started: what it has seen
/// itself and what it has quarantined.
gen::Suspects AllSuspects(const quarantine::Ledger& ledger,
                          gsl::span<const quarantine::Quarantine> quarantines,
                          quarantine::Observer self,
                          TimePoint now);

/// Reads the words of a daemon, which count as its own whatever it names.
std::map<quarantine::PartId, quarantine::Suspect> ReadSuspects(
    const gen::Suspects& wire,
    quarantine::Observer sender,
    TimePoint now);

}  // namespace coltsfootvane::fleet

#endif  // COLTSFOOTVANE_FLEET_SUSPECT_NEWS_H_
