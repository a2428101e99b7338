#ifndef COLTSFOOTVANE_NET_HTTP_CLIENT_H_
#define COLTSFOOTVANE_NET_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "net/byte_account.h"
#include "net/message.h"
#include "net/tcp_stream.h"

namespace coltsfootvane::net {

struct WholeResponse {
  ResponseHead head;
  std::string body;
};

/// Error codes: kInvalid if the head is no legal one, kNotSent if no connection
/// was made, kUnknown if the request was written and no whole response came.
using ResponseHandler = std::function<void(Result<WholeResponse>)>;

struct AnswerLimits {
  std::uint64_t body_bytes = 16ULL * 1024 * 1024;
  /// The call fails if the account of the client is half full, so that it
  /// leaves the memory to requests.
  bool needs_room = false;
  /// The call goes on after its timeout while its answer comes in with shorter
  /// pauses; 0 if it does not.
  Milliseconds max_pause{0};
};

/// Called for bytes of an answer.
using ProgressHandler = std::function<void()>;

/// Which connection a call uses.
enum class ConnectionUse {
  /// One that is kept for calls one after the other. The response may be a late
  /// copy of the one to an earlier call on it.
  kKept,
  /// A new one that is closed afterwards. As no other call was made on it, the
  /// response belongs to this call.
  kOwn,
};

/// Calls with whole bodies on the event loop. A connection carries one call at
/// a time and is closed when bytes arrive that belong to no call. A call on a
/// kept connection fails with kUnknown if there are such bytes after its
/// response, since either of the two may be the response.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::io_context* io_context) : io(io_context) {}

  /// Calls the handler once, at the latest after `timeout`, or later if the
  /// limits allow it. The request is written at most once. A longer answer than
  /// the limits allow counts as none.
  void Call(const tcp::endpoint& address,
            RequestHead head,
            const std::string& body,
            Milliseconds timeout,
            ConnectionUse use,
            ResponseHandler handler,
            const AnswerLimits& limits = AnswerLimits(),
            ProgressHandler on_progress = nullptr);

  /// Counts the bytes of answers in `byte_account`, which must outlive the
  /// calls.
  void SetAccount(ByteAccount* byte_account) { this->account = byte_account; }
  /// Closes the idle connections.
  void DropIdle();
  /// The same for those to one address.
  void DropIdle(const tcp::endpoint& address);

 private:
  struct Pending;

  std::shared_ptr<TcpStream> TakeIdle(const tcp::endpoint& address);
  void Send(const std::shared_ptr<Pending>& pending,
            std::shared_ptr<TcpStream> stream);
  void OnData(const std::shared_ptr<Pending>& pending, std::string_view bytes);
  static void SetTimer(const std::shared_ptr<Pending>& pending);
  static void RecordProgress(const std::shared_ptr<Pending>& pending);
  static void Fail(const std::shared_ptr<Pending>& pending, ErrorCode code);
  void Finish(const std::shared_ptr<Pending>& pending);

  struct Idle {
    std::shared_ptr<TcpStream> stream;
    TimePoint usable_until;
  };

  boost::asio::io_context* io;
  ByteAccount* account = nullptr;
  std::map<tcp::endpoint, std::vector<Idle>> idle;
};

}  // namespace coltsfootvane::net

#endif  // COLTSFOOTVANE_NET_HTTP_CLIENT_H_
