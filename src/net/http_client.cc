#include "net/http_client.h"

#include <algorithm>
#include <utility>

#include "net/message_parser.h"
#include "net/timer.h"

namespace coltsfootvane::net {
namespace {

/// A kept connection that was idle for longer may have been closed by the peer
/// while the next request is on its way.
constexpr Milliseconds kIdleLimit{3000};
constexpr Milliseconds kFailureDetection{1500};
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
/// By which an answer that comes in may be later than the timeout.
constexpr Milliseconds kMaxExtension{10'000};

}  // namespace

struct HttpClient::Pending {
  Pending(boost::asio::io_context* io,
          ByteAccount* account,
          ResponseHandler response_handler,
          const AnswerLimits& answer_limits,
          ProgressHandler progress_handler)
      : timer(io),
        handler(std::move(response_handler)),
        parser(MessageParser::Kind::kResponse,
               {kMaxHeaderBytes, answer_limits.body_bytes}),
        limits(answer_limits),
        on_progress(std::move(progress_handler)),
        held_bytes(account) {}

  tcp::endpoint address;
  ConnectionUse use = ConnectionUse::kKept;
  bool reuses_connection = false;  ///< Earlier calls were made on it.
  std::string request;
  TimePoint deadline;       ///< Of the answer.
  TimePoint last_deadline;  ///< To which progress may put it off.
  Timer timer;
  ResponseHandler handler;
  std::shared_ptr<TcpStream> stream;
  MessageParser parser;
  std::string input;
  std::string body;
  AnswerLimits limits;
  ProgressHandler on_progress;
  HeldBytes held_bytes;
};

void HttpClient::Call(const tcp::endpoint& address,
                      RequestHead head,
                      const std::string& body,
                      Milliseconds timeout,
                      ConnectionUse use,
                      ResponseHandler handler,
                      const AnswerLimits& limits,
                      ProgressHandler on_progress) {
  auto pending =
      std::make_shared<Pending>(this->io, this->account, std::move(handler),
                                limits, std::move(on_progress));
  pending->address = address;
  pending->use = use;
  head.fields.push_back({"Host", address.address().to_string() + ":" +
                                     std::to_string(address.port())});
  if (!body.empty() || head.method != "GET")
    head.fields.push_back({"Content-Length", std::to_string(body.size())});
  if (!IsLegalHead(head)) {
    boost::asio::post(*this->io,
                      [pending] { Fail(pending, ErrorCode::kInvalid); });
    return;
  }
  pending->request = FormatHead(head) + body;
  pending->deadline = BootNow() + timeout;
  pending->last_deadline = pending->deadline + kMaxExtension;
  SetTimer(pending);
  if (use == ConnectionUse::kKept) {
    if (auto stream = this->TakeIdle(address)) {
      pending->reuses_connection = true;
      this->Send(pending, std::move(stream));
      return;
    }
  }
  Connect(this->io, address, timeout, kFailureDetection,
          [this, pending](std::shared_ptr<TcpStream> stream) {
            if (!pending->handler) {
              if (stream)
                stream->Close();
              return;
            }
            if (!stream) {
              Fail(pending, ErrorCode::kNotSent);
              return;
            }
            this->Send(pending, std::move(stream));
          });
}

std::shared_ptr<TcpStream> HttpClient::TakeIdle(const tcp::endpoint& address) {
  const auto found = this->idle.find(address);
  if (found == this->idle.end())
    return nullptr;
  while (!found->second.empty()) {
    Idle candidate = std::move(found->second.back());
    found->second.pop_back();
    if (candidate.stream->IsOpen() && !candidate.stream->HasUnreadBytes() &&
        Clock::now() < candidate.usable_until)
      return std::move(candidate.stream);
    candidate.stream->Close();
  }
  return nullptr;
}

void HttpClient::Send(const std::shared_ptr<Pending>& pending,
                      std::shared_ptr<TcpStream> stream) {
  pending->stream = std::move(stream);
  StreamEvents events;
  events.on_data = [this, pending](std::string_view bytes) {
    this->OnData(pending, bytes);
  };
  events.on_end = [this, pending](StreamEnd end) {
    if (end == StreamEnd::kClosed)
      pending->parser.FeedEnd();
    if (end == StreamEnd::kClosed && pending->parser.Done())
      this->Finish(pending);
    else
      Fail(pending, ErrorCode::kUnknown);
  };
  pending->stream->Start(std::move(events));
  pending->stream->Write(pending->request);
}

void HttpClient::SetTimer(const std::shared_ptr<Pending>& pending) {
  pending->timer.Set(TimeLeft(pending->deadline, BootNow()), [pending] {
    Fail(pending, pending->stream ? ErrorCode::kUnknown : ErrorCode::kNotSent);
  });
}

/// Puts the deadline off if the limits allow it.
void HttpClient::RecordProgress(const std::shared_ptr<Pending>& pending) {
  if (pending->on_progress)
    pending->on_progress();
  const TimePoint wanted =
      std::min(BootNow() + pending->limits.max_pause, pending->last_deadline);
  if (pending->limits.max_pause.count() == 0 || wanted <= pending->deadline)
    return;
  pending->deadline = wanted;
  SetTimer(pending);
}

void HttpClient::OnData(const std::shared_ptr<Pending>& pending,
                        std::string_view bytes) {
  RecordProgress(pending);
  pending->input.append(bytes);
  const std::size_t used = pending->parser.Feed(pending->input);
  pending->input.erase(0, used);
  pending->body += pending->parser.TakeBody();
  pending->held_bytes.Set(pending->input.size() + pending->body.size());
  const bool lacks_room = pending->limits.needs_room &&
                          this->account != nullptr &&
                          IsHalfFull(*this->account) && !pending->parser.Done();
  // One of two responses may be a late copy; it cannot be told which one.
  const bool ambiguous = pending->reuses_connection && pending->parser.Done() &&
                         !pending->input.empty();
  if (pending->parser.Fault() != ParseFault::kNone || lacks_room || ambiguous)
    Fail(pending, ErrorCode::kUnknown);
  else if (pending->parser.Done())
    this->Finish(pending);
}

void HttpClient::Fail(const std::shared_ptr<Pending>& pending, ErrorCode code) {
  if (!pending->handler)
    return;
  pending->timer.Cancel();
  pending->held_bytes.Set(0);
  const ResponseHandler handler = std::exchange(pending->handler, nullptr);
  if (pending->stream)
    pending->stream->Close();
  pending->stream = nullptr;
  handler(Error{code, code == ErrorCode::kNotSent ? "no connection"
                                                  : "no whole response"});
}

void HttpClient::Finish(const std::shared_ptr<Pending>& pending) {
  if (!pending->handler)
    return;
  pending->timer.Cancel();
  pending->held_bytes.Set(0);
  const ResponseHandler handler = std::exchange(pending->handler, nullptr);
  WholeResponse response;
  response.head = std::move(pending->parser.Response());
  response.body = std::move(pending->body);
  const auto stream = std::exchange(pending->stream, nullptr);
  const bool reusable =
      pending->use == ConnectionUse::kKept && stream->IsOpen() &&
      pending->input.empty() && !stream->HasUnreadBytes() &&
      KeepsConnection(response.head.fields, response.head.minor_version);
  if (reusable) {
    StreamEvents idle_events;
    std::weak_ptr<TcpStream> weak = stream;
    idle_events.on_data = [weak](std::string_view) {
      if (const auto unexpected = weak.lock())
        unexpected->Close();
    };
    stream->Start(std::move(idle_events));
    this->idle[pending->address].push_back({stream, Clock::now() + kIdleLimit});
  } else {
    stream->Close();
  }
  handler(std::move(response));
}

void HttpClient::DropIdle() {
  for (auto& [address, streams] : this->idle) {
    for (Idle& candidate : streams)
      candidate.stream->Close();
  }
  this->idle.clear();
}

void HttpClient::DropIdle(const tcp::endpoint& address) {
  const auto found = this->idle.find(address);
  if (found == this->idle.end())
    return;
  for (Idle& candidate : found->second)
    candidate.stream->Close();
  this->idle.erase(found);
}

}  // namespace coltsfootvane::net
