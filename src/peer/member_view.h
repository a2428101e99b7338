#ifndef COLTSFOOTVANE_PEER_MEMBER_VIEW_H_
#define COLTSFOOTVANE_PEER_MEMBER_VIEW_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/pools.h"
#include "membership/message.h"

namespace coltsfootvane::peer {

/// An immutable copy of the member table for other threads.
struct MemberView {
  std::vector<membership::Member> members;  ///< This daemon first.
  std::set<std::string> leaving_endpoints;
};

/// Holds the current member view. Thread safe.
class MemberViewHolder {
 public:
  /// Never null.
  std::shared_ptr<const MemberView> Get() const;
  void Set(std::shared_ptr<const MemberView> next);

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const MemberView> current = std::make_shared<MemberView>();
};

/// Builds the routes and rebuilds them only when the configuration in force or
/// the leaving endpoints change. Thread safe.
class RouteCache {
 public:
  RouteCache(const InForceHolder* in_force, const MemberViewHolder* members)
      : in_force(in_force), members(members) {}

  std::shared_ptr<const dispatch::Routes> Get();

 private:
  const InForceHolder* in_force;
  const MemberViewHolder* members;
  std::mutex mutex;
  std::set<std::string> leaving;
  std::shared_ptr<const dispatch::Routes> current;
};

/// Caches the dispatcher of each pool until the member view changes. Thread
/// safe.
class DispatcherCache {
 public:
  explicit DispatcherCache(const MemberViewHolder* members)
      : members(members) {}

  /// Returns `std::nullopt` if there is no usable member.
  std::optional<membership::Member> Get(const dispatch::Pool& pool);

 private:
  const MemberViewHolder* members;
  std::mutex mutex;
  std::shared_ptr<const MemberView> view;
  std::map<std::string, const membership::Member*> chosen;  ///< By pool.
};

/// Returns the member that should dispatch `pool`: a usable member of the
/// pool's data centre or, if there is none, of any. Null if no member is
/// usable.
const membership::Member* FindDispatcher(const MemberView& view,
                                         const dispatch::Pool& pool);

/// Returns the number of usable members, at least 1.
int CountUsable(const MemberView& view);

}  // namespace coltsfootvane::peer

#endif  // COLTSFOOTVANE_PEER_MEMBER_VIEW_H_
