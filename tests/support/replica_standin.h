#ifndef COLTSFOOTVANE_TESTS_SUPPORT_REPLICA_STANDIN_H_
#define COLTSFOOTVANE_TESTS_SUPPORT_REPLICA_STANDIN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "support/loopback_server.h"

namespace coltsfootvane::testing {

/// A request that reached a replica.
struct Arrival {
  std::string id;
  TimePoint at;
};

/// Stands in for a replica of a plain service, by the published protocol.
class ReplicaStandin {
 public:
  using Answer = std::function<void(const ReceivedRequest&,
                                    const std::shared_ptr<net::TcpStream>&)>;

  ReplicaStandin(boost::asio::io_context* io,
                 const std::string& host,
                 std::string id);

  /// Returns what the replica registers about itself, with a higher sequence
  /// number at each call.
  nlohmann::json Entry(const char* state = "ready");
  /// Starts anew under the same id.
  void Restart();

  /// Runs the request and answers it. More header fields may be given.
  void Run(const ReceivedRequest& request,
           const std::shared_ptr<net::TcpStream>& stream,
           const net::Fields& more = {});
  /// Refuses the request without running it.
  static void Refuse(const ReceivedRequest& request,
                     const std::shared_ptr<net::TcpStream>& stream,
                     const net::Fields& more = {});

  /// Returns the number of arrivals from `from` up to `to`.
  int CountArrivals(TimePoint from, TimePoint to) const;

  LoopbackServer server;
  std::string id;
  std::string lost_field;  ///< Missing in its entries.
  Answer answer;  ///< What it does with a request; by default it runs it.
  std::vector<Arrival> arrivals;
  std::map<std::string, int> runs;  ///< By request id.

 private:
  std::int64_t incarnation = 1'700'000'000'000;
  int sequence = 0;
};

/// Returns the fields by which a replica identifies its answer.
net::Fields AnswerFields(const ReceivedRequest& request);

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_SUPPORT_REPLICA_STANDIN_H_
