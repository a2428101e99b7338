#ifndef COLTSFOOTVANE_GATEWAY_CALLER_CONNECTION_H_
#define COLTSFOOTVANE_GATEWAY_CALLER_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "gateway/caller_intake.h"
#include "gateway/request_body.h"
#include "intake/policy.h"
#include "net/byte_account.h"
#include "net/message.h"
#include "net/message_parser.h"
#include "net/tcp_stream.h"
#include "net/timer.h"

namespace coltsfootvane::gateway {

class Exchange;
struct Gateway;

/// When a caller that found no room may come back.
inline constexpr Milliseconds kRoomRetryAfter{1000};

/// An HTTP connection from a caller. Reads one request at a time and writes its
/// answer.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(Gateway* gateway, std::shared_ptr<net::TcpStream> stream);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  void Start();

  /// Writes the head of an answer. Without a length the body is sent in chunks
  /// or, to HTTP/1.0 callers, delimited by the end of the connection.
  void BeginAnswer(net::ResponseHead head, std::optional<std::size_t> length);
  void SendBody(std::string_view bytes);
  void FinishAnswer();
  /// Closes the connection so that the caller sees the answer as incomplete.
  void AbortAnswer();
  /// Returns whether too many answer bytes are waiting to be sent.
  bool IsCongested() const;
  /// Ends the connection and its request if the caller has left, though its
  /// leaving has not been read yet. Returns whether it has left.
  bool EndIfCallerLeft();

  /// Closes the connection if it has no unsent bytes and no request is in
  /// progress or has arrived unread.
  void CloseIfIdle();
  /// Returns whether the caller still has to take bytes.
  bool HasUnsent() const { return this->stream->UnsentBytes() > 0; }
  /// Returns whether a request has begun to arrive, read or unread, and is not
  /// in progress yet.
  bool IsReceiving() const;
  /// Refuses a request that is not completely received, at the end of the
  /// process.
  void RefuseIfReceiving();
  /// Resets the connection if it has unsent bytes, at the end of the process.
  /// Returns whether it had.
  bool EndIfUnsent();
  /// Logs and counts the request on the connection, if there is one without a
  /// complete answer, since this daemon ends the connection for `reason`.
  void RecordCut(std::string_view reason) const;

  // Defined in caller_connection_intake.cc: for CallerIntake.
  intake::Holder Describe(TimePoint now) const;
  /// Ends the connection to make room. Returns false if that cannot be done.
  bool EndForRoom(std::string_view reason, TimePoint now);
  /// Takes note of how far the caller has taken its answer.
  void ObserveProgress(TimePoint now);
  /// Returns whether a large body is not read for lack of room.
  bool AwaitsRoom() const { return this->awaits_room; }
  std::size_t WantedBytes() const { return this->wanted_bytes; }
  /// Reads the large body, whose bytes have been granted.
  void OnRoom(TimePoint now);
  /// Refuses the request if it has waited for room for too long.
  void EndLongWait(TimePoint now);

 private:
  enum class Phase {
    kIdle,
    kReceiving,
    kServing,
    kFinishing,  ///< The bytes of the last answer are unsent.
    kClosed,
  };

  const char* PhaseName() const;
  /// Returns whether bytes of a request have arrived, read or unread, or of an
  /// answer are unsent.
  bool HasOpenRequest() const;
  void OnData(std::string_view bytes);
  void OnEnd();
  void OnDrained();
  void Write(std::string_view bytes);
  void CountHeldBytes();
  void ReadRequest();
  void TakeBody();
  bool EnsureRoom();
  bool IsTaking() const;
  void Serve();
  void Reject(net::ParseFault fault);
  void RejectWith(int status,
                  std::string_view reason,
                  std::optional<Milliseconds> retry_after = std::nullopt);
  void AwaitRequest();
  void ReadBufferedRequest();
  void SetTimer(Milliseconds timeout);
  void OnTimeout();
  bool MayStayIdle();
  Milliseconds IdleLimit() const;
  void BeginIdleTime();
  void CloseWhenSent();
  void Close();

  Gateway* gateway;
  std::shared_ptr<net::TcpStream> stream;
  net::Timer timer;
  Phase phase = Phase::kIdle;
  std::string input;
  std::shared_ptr<RequestBody> body;  ///< nullptr before its first byte.
  net::MessageParser parser;
  TimePoint received;  ///< Arrival of the first byte of the request.
  std::shared_ptr<Exchange> exchange;
  bool keep_alive = true;      ///< Keep the connection after this answer.
  bool continue_sent = false;  ///< `100 Continue` has been sent.
  bool is_http_1_1 = true;
  bool is_head_request = false;  ///< The request method is HEAD.
  bool chunked = false;          ///< The current answer uses chunked coding.
  TimePoint idle_since;          ///< In kIdle.
  Milliseconds stated_idle_limit{};  ///< In the last answer; 0 before it.
  net::HeldBytes held_bytes;
  std::shared_ptr<CallerIntake> intake;
  std::uint64_t number;  ///< With the intake.
  intake::Progress progress;
  std::size_t head_bytes = 0;  ///< Of the parsed head.
  bool has_been_served = false;
  bool awaits_room = false;
  std::size_t wanted_bytes = 0;
  TimePoint awaits_since;
  std::uint64_t sent_bytes = 0;     ///< When the progress was last observed.
  std::uint64_t sent_at_timer = 0;  ///< When the timer was last set.
  bool was_taking = false;
};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_CALLER_CONNECTION_H_
