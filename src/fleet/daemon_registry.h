#ifndef COLTSFOOTVANE_FLEET_DAEMON_REGISTRY_H_
#define COLTSFOOTVANE_FLEET_DAEMON_REGISTRY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <functional>
#include <random>
#include <string>

#include "net/timer.h"
#include "store/object_store.h"

namespace coltsfootvane::fleet {

/// Registers this daemon in the store and discovers the others there. Entries
/// are not heartbeats: those of stopped daemons stay until they are replaced.
class DaemonRegistry {
 public:
  using Found = std::function<void(const boost::asio::ip::address&)>;

  DaemonRegistry(boost::asio::io_context* io,
                 const store::ObjectStore* store,
                 std::string daemon_name,
                 const boost::asio::ip::address& address,
                 Found found);

  void Start();
  /// The store has come back from an older copy, which may lack this daemon.
  void OnNewEra();

  /// Returns whether others look often for daemons that are not known here.
  std::function<bool()> lists_rarely;

 private:
  void Announce();
  void RegisterAgain();
  void CreateAgain();
  void OnRegisteredAgain();
  void UpdateEntry(const store::Place& place);
  void List(store::Freshness freshness);
  void ListAgain();
  void OnListing(const Result<store::Listing>& listing);
  void RunAfter(Milliseconds delay, std::function<void()> action);
  store::Object OwnEntry() const;

  net::Timer timer;
  const store::ObjectStore* store;
  std::string daemon_name;
  std::string address;
  Found found;
  std::minstd_rand random;
  bool announced = false;
  bool registers_again = false;  ///< Not yet done in the present era.
  TimePoint announced_at;        ///< For the first time.
  TimePoint rare_list_at;
};

}  // namespace coltsfootvane::fleet

#endif  // COLTSFOOTVANE_FLEET_DAEMON_REGISTRY_H_
