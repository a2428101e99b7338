#ifndef COLTSFOOTVANE_QUOTA_QUOTA_NODE_H_
#define COLTSFOOTVANE_QUOTA_QUOTA_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "quota/bucket_owner.h"
#include "quota/contacts.h"
#include "quota/messages.h"
#include "quota/share_probe.h"

namespace coltsfootvane::quota {

/// A request of a caller that needs permission.
struct Wanted {
  TeamKey team = 0;
  Limit limit;
  double units = 0;
  int rank = 0;  ///< 0 is the most urgent.
};

struct Decision {
  bool granted = false;
  bool by_fallback = false;  ///< No owner replied.
  Milliseconds retry_after{0};
  Milliseconds waited{0};
};

using Done = std::function<void(const Decision& decision)>;

/// The daemons that this one knows.
struct Members {
  Address self = 0;
  std::vector<Address> live;   ///< Others that may own buckets.
  std::vector<Address> known;  ///< Others heard of within the last minute.
  bool leaving = false;        ///< This daemon owns no buckets.
  /// The members are complete as far as the store knows, or have had the time
  /// to become so. Until then this daemon owns no buckets.
  bool settled = true;
};

/// One daemon's part in the quotas of all teams: asks the owners of buckets on
/// behalf of callers, and answers for the buckets that it owns. Sends and
/// receives nothing itself.
class QuotaNode {
 public:
  /// `seed` must differ between processes.
  explicit QuotaNode(std::uint64_t seed);

  std::function<void(Address to, const Request& request)> send_request;
  /// Called when a daemon has not replied to a request in time.
  std::function<void(Address daemon)> on_silence;
  BucketOwner owner;

  void SetMembers(Members members);
  /// Calls `done` once, at once or within 0.5 s, if Tick() is called in time.
  void Want(const Wanted& wanted, Done done, TimePoint now);
  /// Records units spent without permission or, if negative, returned.
  void Settle(TeamKey team, double units);
  /// Returns the reply, or nothing if the request is to be transmitted again.
  std::optional<Reply> OnRequest(Address from,
                                 const Request& request,
                                 TimePoint now);
  void OnReply(Address from, const Reply& reply, TimePoint now);
  /// Sends what is due. Returns when to call it again; TimePoint::max() if only
  /// after another call.
  TimePoint Tick(TimePoint now);

 private:
  struct Pending {
    Wanted wanted;
    Done done;
    TimePoint began;
    double settled = 0;
    std::set<Address> asked;
    int hops = 0;
    int silent = 0;  ///< Of these, those that did not reply in time.
    std::set<Address> searched;  ///< Probed; see Search().
    Address target = 0;          ///< Present one; 0 during a search.
    TimePoint target_until;
    TimePoint next_send;
  };
  /// A request that was decided while another reply may come.
  struct Decided {
    TeamKey team = 0;
    double units = 0;
    std::set<Address> granted_by;
    TimePoint until;
  };
  struct Team {
    std::optional<double> level;  ///< As an owner stated it.
    TimePoint level_at;
    double unsettled = 0;
    double fallback = 0;  ///< Units that this daemon may spend by itself.
    TimePoint fallback_updated;  ///< TimePoint() while owners reply.
  };

  Address FindOwner(TeamKey team,
                    const std::set<Address>& except,
                    TimePoint now) const;
  void AskNext(std::int64_t number, TimePoint now);
  void Search(std::int64_t number, TimePoint now);
  void EndSearch(std::int64_t number, TimePoint now);
  void Ask(std::int64_t number, Address target, TimePoint now);
  void Transmit(std::int64_t number, TimePoint now);
  void OnSilence(std::int64_t number, TimePoint now);
  void DecideByFallback(std::int64_t number, TimePoint now);
  void Finish(std::int64_t number, Decision decision, TimePoint now);
  void OnLateReply(Address from, const Reply& reply);
  std::optional<Reply> DecideAsOwner(Address from,
                                     const Request& request,
                                     TimePoint now);
  std::vector<Address> BetterOwners(TeamKey team) const;
  void RecordHeard(Address from, TimePoint now);
  void SendProbe(Address to);
  void SendProbes(TimePoint now);
  void Forget(TimePoint now);

  std::mt19937_64 random;
  Members members;
  std::map<Address, TimePoint> heard_at;  ///< Of datagrams of quotas only.
  Contacts contacts;
  ShareProbe probe;
  /// Better owners than this daemon, probed until then.
  std::map<Address, TimePoint> watched;
  std::map<std::int64_t, Pending> pending;
  std::map<std::int64_t, Decided> decided;
  std::map<TeamKey, Team> teams;
  /// Replies given, for retransmissions.
  std::map<std::pair<Address, std::int64_t>, std::pair<Reply, TimePoint>>
      replies;
  std::int64_t last_number = 0;
  TimePoint next_forget;
};

}  // namespace coltsfootvane::quota

#endif  // COLTSFOOTVANE_QUOTA_QUOTA_NODE_H_
