#ifndef COLTSFOOTVANE_GATEWAY_EXCHANGE_H_
#define COLTSFOOTVANE_GATEWAY_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "gateway/admission.h"
#include "gateway/choice.h"
#include "gateway/endpoint.h"
#include "gateway/event_splitter.h"
#include "gateway/exchange_load.h"
#include "gateway/gateway_metrics.h"
#include "gateway/request_body.h"
#include "gateway/routing_table.h"
#include "gateway/wire_format.h"
#include "log/event.h"
#include "net/byte_account.h"
#include "net/message.h"
#include "net/message_parser.h"
#include "net/tcp_stream.h"
#include "net/timer.h"
#include "prefill/prefill.h"
#include "quarantine/suspicion.h"
#include "quota/quota_node.h"
#include "stall/answer_arrival.h"
#include "stall/stall.h"

namespace coltsfootvane::gateway {

class CallerConnection;
struct Gateway;
enum class AdapterOutcome;

/// Retry delay during shutdown. It is short, as the retry reaches another
/// daemon.
inline constexpr Milliseconds kShutdownRetryAfter{20};
/// A request that is sent with less time left would be answered too late.
inline constexpr Milliseconds kMinTimeForSend{20};

/// Reason of the refusal of a request whose team is over its share.
inline constexpr char kOverShare[] = "team over its share";

/// Handles one request from its arrival to the end of its answer: routes it,
/// sends it to an endpoint, retries at other endpoints where the route allows
/// that, and forwards the answer.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Gateway* gateway,
           std::shared_ptr<CallerConnection> caller,
           net::RequestHead head,
           std::shared_ptr<RequestBody> body,
           TimePoint received);
  ~Exchange();

  void Start();
  /// Returns the id that the caller gave the request; may be empty.
  std::string_view Id() const { return this->info.id; }
  void OnCallerGone();
  void OnCallerDrained();
  /// Ends the request if its parts have been quarantined and no endpoint has
  /// begun its answer.
  void OnQuarantineChanged();
  /// Ends the current send if it is at the endpoint, whose host does not
  /// answer.
  void OnEndpointUnreachable(const EndpointPtr& stopped);
  /// Ends the request with a final answer, since the process ends.
  void OnShutdownOver();
  /// Drops the body, if an endpoint has received it, to make room. The request
  /// is not sent again then.
  void ReleaseBody(TimePoint now);

 private:
  /// How the answer of the endpoint reaches the caller.
  enum class Mode {
    kBuffered,     ///< Collected, then sent with its length.
    kPassThrough,  ///< Sent as it arrives.
    kEvents,       ///< Complete events are sent as they arrive.
    kDiscarded,    ///< Interim, or belongs to another request.
  };

  /// A send that the endpoint has not executed.
  struct FailedSend {
    std::string_view reason;  ///< A fixed text.
    std::string detail;       ///< What was believed of the endpoint.
    bool written = false;     ///< The endpoint has received the request.
  };

  // Defined in exchange.cc: routing and sending.
  bool FindRoute();
  bool FindTeam();
  int Rank() const;
  bool FitsIntoShutdown() const;
  void TryNextEndpoint();
  Choice ChooseNext(TimePoint now);
  void SendOrRefuse(const Choice& choice, TimePoint now);
  bool AwaitAdapter();
  void OnAdapterDone(AdapterOutcome outcome);
  bool MayRetry() const;
  void Send(const Choice& choice);
  void OnConnected(std::shared_ptr<net::TcpStream> opened);
  void WriteRequest(std::shared_ptr<net::TcpStream> stream);
  bool IsAnswerComplete() const;
  void OnNotExecuted(const FailedSend& failed);
  void OnSendFailed(std::string_view reason);
  void EndFailedSend(std::string_view reason, bool blames_endpoint = true);
  void RetryOrFail(std::string_view reason);
  bool AwaitContinuation();
  void ContinueStream();
  void OnTimeout();
  void RefuseChoice(const Choice& choice);
  ReturnTime ReturnAfterAll(const Choice& choice) const;

  // Defined in exchange_quota.cc: the quota of the team.
  /// Continues with the choice of an endpoint once the quota allows it.
  void AwaitQuota();
  void OnQuotaDecision(const quota::Decision& decision);
  void SettleQuota();
  /// Decides whether the request yields because its team is over its share.
  void CheckShare();
  bool RefuseOverShare(const Choice& choice);

  // Defined in exchange_load.cc: exact load of endpoints in large fleets,
  // and what choices with and without it have in common.
  ChoiceInput MakeChoiceInput(TimePoint now) const;
  Admission AdmitAt(const Choice& choice, TimePoint now) const;
  bool AskForLoad(const Choice& by_reports, TimePoint now);
  ChoiceInput MakeExactInput(TimePoint now) const;
  bool QueryLoad(TimePoint now);
  void OnLoadKnown();
  void ChooseEngine(TimePoint now);
  void ChooseCall(TimePoint now);
  void CountChangedChoice(const Choice& choice);
  void WaitForPlace(double wait_ms);
  void RecordCallTime(TimePoint now);

  // Defined in exchange_crash.cc: requests that may crash endpoints.
  void OnSendBroken(const char* reason, bool unreachable = false);
  bool EndIfQuarantined();

  // Defined in exchange_stall.cc: sends whose endpoint has fallen silent.
  bool RefuseBeyondPatience(const Choice& choice);
  stall::Run DescribeRun() const;
  stall::Waits ExpectedWaits(const Choice& choice) const;
  bool IsSilent() const;
  bool MayMove() const;
  void WatchSilence();
  void CheckSilenceAt(TimePoint at);
  void CheckSilence();
  bool MoveIfWorthwhile(TimePoint now);

  // Defined in exchange_prefill.cc: long prompts beside short ones.
  prefill::Prompt DescribePrompt() const;
  void RecordPrompt(TimePoint now);
  void RecordFirstEvent();
  int EngineRank() const;

  // Defined in exchange_end.cc: the end of the request.
  // Refuse() tells the caller when to retry; Fail() suggests no retry.
  void Refuse(std::string_view reason,
              const ReturnTime& return_time,
              std::string_view inputs = {},
              int status = 503);
  void Fail(int status, std::string_view reason, std::string_view inputs = {});
  std::string ViewInputs() const;
  void RespondWith(int status, std::optional<Milliseconds> retry_after);
  void AddWork(int tokens);
  void EndPrefill();
  void ReleaseEndpoint(bool reusable);
  void Finish();
  void CountOutcome(Outcome outcome, std::string_view reason = {});
  bool IsSampled() const;
  /// Returns what this daemon believes of the current endpoint, for log lines.
  std::string DescribeEndpoint() const;
  std::string DescribeAnswer() const;
  /// Returns how far the current send came, and the parts of the prompt.
  std::string DescribeProgress() const;
  void Log(const Event& event, std::string_view detail) const;

  // Defined in exchange_answer.cc: reading and forwarding the answer.
  void AttachHandlers(net::TcpStream* stream);
  void OnData(std::string_view bytes);
  void OnEnd(net::StreamEnd end);
  void ReadAnswer();
  bool ReadHead();
  void OnRefusedByEndpoint();
  /// Counts the bytes that this request holds now.
  void CountHeldBytes();
  void ForwardBody(const std::string& bytes);
  void ForwardEvents();
  void ObserveEvent();
  void OnUnframedEnd();
  void CheckUnframedEnd();
  void OnAnswerDone();
  void OnBufferedAnswer();
  bool IsAcceptable() const;
  bool BelongsToThisRequest() const;
  bool IsReusable() const;
  void BeginForwarding(std::optional<std::size_t> length);

  Gateway* gateway;
  std::shared_ptr<CallerConnection> caller;
  net::RequestHead head;
  std::shared_ptr<const RequestBody> body;  ///< nullptr if it has none.
  bool body_released = false;
  TimePoint received;
  TimePoint deadline;
  net::Timer timer;
  net::Timer silence_timer;
  TimePoint silence_check_at;
  std::shared_ptr<const RoutingTable> routes;
  const Route* route = nullptr;
  const team::Team* team = nullptr;  ///< That holds the key; may be null.
  bool over_share = false;           ///< Yields where capacity is short.
  double quota_units = 0;            ///< Granted for this request.
  std::string service;
  const EngineSpec* engine = nullptr;
  RequestInfo info;
  std::vector<quarantine::PartId> shared_parts;  ///< Of an engine's request.
  /// First part of the quarantine that this request may show to be over.
  std::optional<quarantine::PartId> tried_part;

  std::set<std::string> tried_endpoints;  ///< Ids of the endpoints sent to.
  int sends = 0;
  int possible_executions = 0;  ///< Sends that may have been executed.
  bool adapter_requested = false;
  std::optional<AdapterOutcome> adapter_outcome;  ///< Of that request.
  bool deferred = false;  ///< The current send; see Admission.
  bool yields = false;    ///< The current send; see Admission.
  bool finished = false;
  LoadSearch load;

  EndpointPtr endpoint;  ///< Of the current send.
  std::shared_ptr<net::TcpStream> stream;
  bool stream_was_used = false;  ///< It has carried an earlier request.
  bool stray_answers = false;    ///< Of other requests, in the current send.
  int send_generation = 0;       ///< Identifies callbacks of earlier sends.
  int prefill_tokens = 0;        ///< Included in `endpoint->own.prompt_tokens`.
  int tokens_under_way = 0;      ///< At the endpoint, as known at the send.
  TimePoint sent_at;
  TimePoint last_bytes_at;       ///< Of the current send.
  stall::AnswerArrival arrival;  ///< Of the current send.
  double expected_ms = 0;        ///< Wait for its first event.
  bool move_denied = false;      ///< The retry budget is used up.
  std::string input;
  std::optional<net::MessageParser> parser;
  net::ResponseHead answer;
  AnswerInfo answer_info;
  bool head_read = false;  ///< The head has been taken from the parser.
  std::size_t discarded_bytes = 0;  ///< Received before the head.
  Mode mode = Mode::kBuffered;
  std::string buffered_body;
  EventSplitter splitter;
  std::size_t head_bytes;  ///< Of the request.
  net::HeldBytes held_bytes;
  bool forwarding = false;  ///< The head has been sent to the caller.
  std::optional<std::int64_t> last_event_id;  ///< Of the last event forwarded.
  TimePoint first_event_at;                   ///< Of the current send.
  TimePoint last_event_at;
  double first_event_ms = 0;  ///< From the arrival of the request.
  double longest_gap_ms = 0;  ///< Between two events.
};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_EXCHANGE_H_
