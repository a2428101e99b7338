#ifndef COLTSFOOTVANE_GATEWAY_EXCHANGE_H_
#define COLTSFOOTVANE_GATEWAY_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "gateway/choice.h"
#include "gateway/endpoint.h"
#include "gateway/event_splitter.h"
#include "gateway/gateway_metrics.h"
#include "gateway/routing_table.h"
#include "gateway/wire_format.h"
#include "log/event.h"
#include "net/message.h"
#include "net/message_parser.h"
#include "net/tcp_stream.h"

namespace coltsfootvane::gateway {

class CallerConnection;
struct Gateway;

/// One request from its arrival to its answer: routes it, sends it to an
/// endpoint, to further ones where that is allowed, and forwards the answer.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Gateway* gateway,
           std::shared_ptr<CallerConnection> caller,
           net::RequestHead head,
           std::string body,
           TimePoint received);
  ~Exchange();

  void Start();
  void OnCallerGone();
  void OnCallerDrained();

 private:
  /// How the answer of the endpoint reaches the caller.
  enum class Mode {
    kWhole,    ///< Collected, then sent with its length.
    kThrough,  ///< Sent as it arrives.
    kEvents,   ///< Whole events are sent as they arrive.
    kSkipped,  ///< It belongs to another request.
  };

  // exchange.cc: where to send the request.
  bool FindRoute();
  void TryNext();
  bool AwaitAdapter();
  bool MaySendAgain() const;
  void Send(const Choice& choice);
  void WriteRequest(std::shared_ptr<net::TcpStream> stream);
  void OnNotRun(std::string_view reason);
  void OnSendFailed(std::string_view reason);
  void OnTimeout();
  void RefuseChoice(const Choice& choice);

  // exchange_end.cc: how the request ends.
  void Refuse(std::string_view reason,
              Milliseconds retry_after,
              std::string_view inputs = {});
  void Fail(int status, std::string_view reason);
  void RespondWith(int status, std::optional<Milliseconds> retry_after);
  void BeginWork(int tokens);
  void EndPrompt();
  void ReleaseEndpoint(bool reusable);
  void Finish();
  void CountEnd(Outcome outcome, std::string_view reason = {});
  bool Logs() const;
  void Log(const Event& event, std::string_view detail) const;

  // exchange_answer.cc: what to do with the answer.
  void ListenTo(net::TcpStream* stream);
  void OnData(std::string_view bytes);
  void OnEnd(net::StreamEnd end);
  void ReadAnswer();
  bool ReadHead();
  void ForwardBody(const std::string& bytes);
  void ForwardEvents();
  void ObserveEvent();
  void OnAnswerDone();
  void OnWholeAnswer();
  bool IsAcceptable() const;
  void BeginForwarding(std::optional<std::size_t> length);

  Gateway* gateway;
  std::shared_ptr<CallerConnection> caller;
  net::RequestHead head;
  std::string body;
  TimePoint received;
  TimePoint finish_by;
  boost::asio::steady_timer timer;
  std::shared_ptr<const RoutingTable> routes;
  const Route* route = nullptr;
  std::string service;
  const EngineSpec* engine = nullptr;
  RequestInfo info;

  std::set<std::string> tried;  ///< Endpoint ids.
  int sends = 0;
  int runs = 0;  ///< Sends that may have run.
  bool asked_for_adapter = false;
  bool finished = false;

  EndpointPtr endpoint;  ///< Of the send in progress.
  std::shared_ptr<net::TcpStream> stream;
  int attempt = 0;         ///< Tells late callbacks of earlier sends.
  int reading_tokens = 0;  ///< Counted as prompt tokens at the endpoint.
  TimePoint sent_at;
  std::string input;
  std::optional<net::MessageParser> parser;
  net::ResponseHead answer;
  AnswerInfo answer_info;
  bool answer_read = false;  ///< The head has been taken from the parser.
  Mode mode = Mode::kWhole;
  std::string whole_body;
  EventSplitter splitter;
  bool forwarding = false;                 ///< The caller has got the head.
  std::optional<std::int64_t> last_event;  ///< Id, of those forwarded.
  TimePoint last_event_at;
};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_EXCHANGE_H_
