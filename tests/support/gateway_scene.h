#ifndef COLTSFOOTVANE_TESTS_SUPPORT_GATEWAY_SCENE_H_
#define COLTSFOOTVANE_TESTS_SUPPORT_GATEWAY_SCENE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/caller_connection.h"
#include "gateway/gateway.h"
#include "gateway/listener.h"
#include "log/decision_log.h"

namespace coltsfootvane::testing {

/// What an endpoint does once it has read a request.
struct ScriptedAnswer {
  enum class Then {
    kKeep,
    kClose,
    kReset,
    kCrash,  ///< The endpoint ends: all its connections, and it listens no
             ///< more.
    kDark,   ///< Its host answers nothing more: no new connections.
  };
  std::string bytes;
  Then then = Then::kKeep;
  std::string endless =
      {};  ///< Sent again and again until the connection ends.
  std::vector<std::string> later = {};  ///< Sent one by one.
  Milliseconds interval{0};             ///< Before each of these.
};

/// A gateway with callers and endpoints on loopback, all on one event loop.
/// The n-th request that reaches any endpoint gets the n-th scripted answer;
/// later ones get none.
class GatewayScene {
 public:
  GatewayScene();

  /// Adds an endpoint of the service `s`.
  void AddEndpoint(const std::string& id);
  /// Makes `s` a service of engines that all hold the model `m`.
  void MakeEngines();
  /// Sends `request` on a new connection and returns all bytes up to its end.
  /// The connection is closed by the caller after `leave_after`, if that is
  /// set.
  std::string Call(const std::string& request,
                   Milliseconds leave_after = Milliseconds(0));
  /// Sends `request` and closes the connection before the gateway has read it.
  void CallAndLeave(const std::string& request);
  /// Answers the last request that got no scripted answer.
  void AnswerLate(const std::string& bytes);
  /// The same, and ends the connection.
  void AnswerLateAndClose(const std::string& bytes);
  /// Runs the loop until the condition holds; false after 5 s.
  bool RunUntil(const std::function<bool()>& condition);

  boost::asio::io_context io;
  DecisionLog log;
  gateway::Gateway gateway;
  std::vector<ScriptedAnswer> answers;
  std::vector<std::string> received;  ///< Requests as they reached endpoints.
  int closed_by_gateway = 0;          ///< Endpoint connections.
  int reset_by_gateway = 0;           ///< Of these, those that were reset.
  std::size_t endless_bytes = 0;      ///< Sent of `ScriptedAnswer::endless`.

 private:
  struct Endpoint;

  std::weak_ptr<net::TcpStream> unanswered;

  std::string host;
  net::tcp::endpoint callers_address;
  gateway::Listener callers;
  std::vector<std::shared_ptr<Endpoint>> endpoints;
};

/// Returns a configuration with one host `h` and the routes `/safe/`,
/// `/unsafe/`, `/stream/` and `/resume/`, all of the service `s`.
std::shared_ptr<gateway::RoutingTable> SceneRoutes();
/// Changes all routes of the table.
void ChangeRoutes(gateway::RoutingTable* table,
                  const std::function<void(gateway::Route*)>& change);

/// Returns a POST of two bytes to `path` plus `x`, with the id `id1` and more
/// header lines.
std::string CallerRequest(const std::string& path,
                          const std::string& more = "");

bool Has(const std::string& text, const std::string& part);

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_SUPPORT_GATEWAY_SCENE_H_
