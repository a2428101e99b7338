#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_CRASH_SITE_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_CRASH_SITE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gateway_process.h"
#include "support/loopback_server.h"
#include "support/store_standin.h"

namespace coltsfootvane::testing {

/// A request of a caller, or its arrival at an engine.
struct CrashSiteCall {
  int daemon = 0;
  bool deadly = false;
  TimePoint sent;
  TimePoint ended;
  int status = 0;
};

/// An order that reached an engine.
struct CrashSiteOrder {
  std::string engine;
  std::string holder;
  int fencing_token = 0;
  TimePoint at;
};

/// Several real daemons before engines that end when they begin to answer a
/// prompt with one part. An engine is back after a second, under another id.
class CrashSite {
 public:
  CrashSite(int daemons, int engines, unsigned seed);

  bool Start();
  /// Lets callers ask all daemons in turn, about `per_s` times a second.
  void StartCalls(int per_s, double deadly_share);
  /// Lets requests ask for another adapter each, which has to be loaded.
  void AskForAdapters() { this->asks_for_adapters = true; }
  void StopCalls() { this->interval = Milliseconds(0); }
  void RunFor(int milliseconds);
  bool RunUntil(const std::function<bool()>& condition, int milliseconds);
  /// Ends an engine for no request's sake.
  void KillEngine();
  void After(Milliseconds delay, std::function<void()> action);

  boost::asio::io_context io;
  StoreStandin store;
  std::vector<std::unique_ptr<GatewayProcess>> daemons;
  std::vector<TimePoint> crashes;          ///< By requests.
  std::vector<TimePoint> deadly_arrivals;  ///< At engines.
  std::vector<CrashSiteOrder> orders;
  std::vector<CrashSiteCall> calls;  ///< That have ended.
  int in_progress = 0;

 private:
  struct Engine {
    std::string id;
    std::unique_ptr<LoopbackServer> server;
    bool up = true;
    int sequence = 0;  ///< Orders accepted.
    std::vector<std::string> adapters;
  };

  void AddEngine();
  void OnRequest(Engine* engine,
                 const ReceivedRequest& request,
                 const std::shared_ptr<net::TcpStream>& stream);
  static void Report(const Engine& engine,
                     const std::shared_ptr<net::TcpStream>& stream);
  void Order(Engine* engine,
             const ReceivedRequest& request,
             const std::shared_ptr<net::TcpStream>& stream);
  void Answer(Engine* engine,
              const ReceivedRequest& request,
              const std::shared_ptr<net::TcpStream>& stream);
  void Stop(Engine* engine);
  void Register();
  void SendNext();

  std::string host;
  std::mt19937 random;
  std::list<Engine> engines;  ///< All that have been started.
  boost::asio::steady_timer heartbeat;
  boost::asio::steady_timer pace;
  Milliseconds interval{0};
  double deadly_share = 0;
  bool asks_for_adapters = false;
  int last_call = 0;
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_CRASH_SITE_H_
