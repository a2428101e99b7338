#ifndef COLTSFOOTVANE_DEPARTURE_DEPARTURES_H_
#define COLTSFOOTVANE_DEPARTURE_DEPARTURES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/endpoint.h"
#include "store/place.h"

namespace coltsfootvane::departure {

/// How a process of an endpoint has left.
enum class Leaving {
  kDraining,  ///< It has said that it leaves.
  kRemoved,   ///< Its entry was removed, or lapsed.
};

struct Departure {
  std::int64_t incarnation = 0;
  Leaving how = Leaving::kDraining;
  store::Place at;      ///< Of the change that showed it.
  TimePoint forget_at;  ///< No copy of the store is as old as that.
};

/// An entry of a process that has left, as a later era shows it.
struct HeldBack {
  gateway::EndpointEntry entry;
  std::int64_t era = 0;  ///< In which the store shows it.
  TimePoint until;  ///< An entry that stays longer is that of a live process.
};

/// What a store that comes back from an older copy must not undo: endpoints
/// that have left, and those that have registered since. Entries of the copy
/// whose processes have ended lapse; processes that run write theirs again.
struct Departures {
  std::map<std::string, Departure> left;      ///< By endpoint ID.
  std::map<std::string, HeldBack> held_back;  ///< By endpoint ID.
  /// Known endpoints that the listings of a new era lack.
  std::set<std::string> missing;
  TimePoint missing_until;  ///< They count as gone if they are missing then.
  /// Until then lost writes are written again, in any order.
  TimePoint rewritten_until;
};

/// What to do with an entry.
enum class Verdict {
  kUse,
  kKeepDraining,  ///< Its process has said that it leaves.
  kHoldBack,      ///< Its process has left.
};

/// Records that a process of the endpoint has left, as the change at that place
/// shows. That it has said so outlasts the removal of its entry in a later era.
void RecordDeparture(const gateway::EndpointEntry& entry,
                     Leaving how,
                     const store::Place& at,
                     TimePoint now,
                     Departures* departures);

/// Records a departure that another daemon remembers, unless this one knows of
/// a later one. Returns whether it does not.
bool LearnDeparture(const std::string& id,
                    const Departure& told,
                    Departures* departures);

/// Returns what to do with an entry that the store shows at that place. A
/// departure gives way to entries of other processes, and of its own era unless
/// that has just begun.
Verdict Judge(const gateway::EndpointEntry& entry,
              const store::Place& place,
              TimePoint now,
              const Departures& departures);

/// Holds an entry back for a while.
void HoldBack(const gateway::EndpointEntry& entry,
              const store::Place& place,
              TimePoint now,
              Departures* departures);

/// Records that an entry of the endpoint is used.
void RecordUsed(const gateway::EndpointEntry& entry,
                const store::Place& place,
                TimePoint now,
                Departures* departures);
/// Records that the store has an entry of the endpoint, or no longer has one.
void RecordListed(const std::string& id, Departures* departures);
void RecordRemoved(const std::string& id, Departures* departures);
/// The same for all endpoints that a listing does not name.
void KeepListed(const std::set<std::string>& listed, Departures* departures);

/// Records that the view of the store is of a new era from now on.
void BeginEra(TimePoint now, Departures* departures);
/// Returns whether endpoints that a listing lacks may register again.
bool AwaitsReturns(TimePoint now, const Departures& departures);
/// Records a known endpoint that a listing lacks.
void RecordMissing(const std::string& id, Departures* departures);

/// Returns the entries that may be used: the view of the store was complete at
/// `confirmed_at`, and has them still though their time is over. While the
/// store is away, entries cannot be seen to lapse.
std::vector<HeldBack> TakeLive(TimePoint confirmed_at, Departures* departures);
/// Returns whether endpoints are missing beyond the time in which they may
/// register again, and no read of the store since then has confirmed it.
bool LacksConfirmation(TimePoint confirmed_at,
                       TimePoint now,
                       const Departures& departures);
/// Returns the missing endpoints that have not registered again in time. None
/// of them is known to have left: they may still register.
std::set<std::string> TakeMissing(TimePoint confirmed_at,
                                  Departures* departures);
/// Forgets that the entry of the endpoint was removed, but not that it has said
/// that it leaves.
void ForgetRemoval(const std::string& id, Departures* departures);
/// Forgets departures that no copy can lack.
void ForgetOld(TimePoint now, Departures* departures);

}  // namespace coltsfootvane::departure

#endif  // COLTSFOOTVANE_DEPARTURE_DEPARTURES_H_
