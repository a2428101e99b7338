#ifndef COLTSFOOTVANE_PEER_MEMBERSHIP_THREAD_H_
#define COLTSFOOTVANE_PEER_MEMBERSHIP_THREAD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "base/ring.h"
#include "membership/member_table.h"
#include "peer/member_view.h"

namespace coltsfootvane::peer {

/// Called on the membership thread; must not block.
struct MembershipHooks {
  std::function<void(const membership::Outgoing& message)> send;
  std::function<void(std::int64_t version,
                     std::string_view digest,
                     const http::Address& peer)>
      on_version;
  std::function<void(const std::string& endpoint_id)> on_endpoint_leaving;
};

/// Owns the member table and publishes it to `view`.
class MembershipThread {
 public:
  /// Changes the table and returns the messages to send.
  using Change = std::function<std::vector<membership::Outgoing>(
      membership::MemberTable& table,
      TimePoint now)>;

  MembershipThread(membership::MemberTable table,
                   MemberViewHolder* view,
                   MembershipHooks hooks);
  MembershipThread(const MembershipThread&) = delete;
  MembershipThread& operator=(const MembershipThread&) = delete;
  ~MembershipThread();

  void Start();
  void Stop();

  /// Thread safe. Returns false if the queue is full.
  bool Push(Change change);

 private:
  void Run();
  void Publish();
  void NotifyNewerVersion(TimePoint now);

  membership::MemberTable table;  ///< Only used by the thread once started.
  MemberViewHolder* view;
  const MembershipHooks hooks;
  std::map<std::string, membership::MemberState> logged_states;
  TimePoint next_version_hint;
  Ring<Change> changes;
  std::thread thread;
};

}  // namespace coltsfootvane::peer

#endif  // COLTSFOOTVANE_PEER_MEMBERSHIP_THREAD_H_
