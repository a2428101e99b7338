#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_SOAK_REPLICA_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_SOAK_REPLICA_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "support/replica_standin.h"

namespace coltsfootvane::testing {

/// Number of events of a whole stream.
inline constexpr int kSoakEvents = 4;

/// What a replica does wrong, or states, until it is changed.
struct SoakFaults {
  bool leaving = false;    ///< All its answers say so.
  bool refuses = false;    ///< Refuses all requests.
  TimePoint paused_until;  ///< Refuses, and states the time left.
  double stray = 0;        ///< Chance of a stray refusal before an answer.
  double resets = 0;       ///< Chance of a reset in place of an answer.
  double breaks = 0;       ///< Chance that a stream breaks off.
  double fails = 0;        ///< Chance of an answer with status 500.
  std::size_t failure_bytes = 90;
};

/// A replica that checks whether requests may still reach it. The id of a
/// request begins with the number of the daemon that it was sent to and `-`.
class SoakReplica {
 public:
  SoakReplica(boost::asio::io_context* io,
              const std::string& host,
              const std::string& id,
              std::mt19937* random);

  /// A new start under the same id: nothing that was stated before holds.
  void Restart();
  /// Excuses what a daemon does after it was started anew or stopped.
  void Excuse(int daemon);

  ReplicaStandin standin;
  SoakFaults faults;
  bool registers = true;
  /// Called with the id of a request and what is wrong with its arrival.
  std::function<void(const std::string& id, const std::string& what)>
      on_violation;
  /// Called with each request that arrives, and with the id of each that runs.
  std::function<void(const std::string& id, const ReceivedRequest& request)>
      on_arrival;
  std::function<void(const std::string& id)> on_run;
  /// Returns when the caller has sent the request.
  std::function<TimePoint(const std::string& id)> sent_at;

 private:
  struct StatedPause {
    TimePoint from;
    TimePoint until;
    int late = 0;  ///< Requests that arrived although they should not.
  };
  /// What the replica has stated to one daemon.
  struct Stated {
    TimePoint leaving_at;  ///< First said so; TimePoint() if not.
    std::vector<StatedPause> pauses;
  };

  void OnRequest(const ReceivedRequest& request,
                 const std::shared_ptr<net::TcpStream>& stream);
  void CheckArrival(const std::string& id, Stated* stated);
  void AnswerStream(const ReceivedRequest& request,
                    const std::shared_ptr<net::TcpStream>& stream,
                    const net::Fields& more);
  bool Happens(double chance);

  std::mt19937* random;
  std::map<int, Stated> stated;  ///< By daemon.
  std::set<const net::TcpStream*> used_streams;
};

/// Returns the number of the daemon in the id of a request.
int DaemonOf(const std::string& id);

/// Returns the text of the events from `first` to `last`.
std::string SoakEvents(int first, int last);

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_SOAK_REPLICA_H_
