#include "gateway/caller_connection.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "gateway/exchange.h"
#include "gateway/gateway.h"

namespace coltsfootvane::gateway {
namespace {

/// Pipelined input that is buffered while a request is in progress. Reading
/// pauses beyond it.
constexpr std::size_t kMaxPipelinedBytes = 64UL * 1024;
/// The same while there is little room.
constexpr std::size_t kMaxPipelinedBytesWhenFull = 4UL * 1024;
constexpr std::size_t kMaxBytesOfSmallRequest = 16UL * 1024;
/// Answer bytes buffered for a caller that reads slowly.
constexpr std::size_t kMaxUnsentBytes = 64UL * 1024;

/// A larger buffer is freed once it is empty, since connections are kept.
constexpr std::size_t kMaxKeptBytes = 4UL * 1024;

net::MessageParser NewParser(const Gateway& gateway) {
  net::ParseLimits limits;
  if (gateway.routes) {
    limits.header_bytes = gateway.routes->limits.header_bytes;
    limits.body_bytes = gateway.routes->limits.body_bytes;
  }
  return net::MessageParser(net::MessageParser::Kind::kRequest, limits);
}

/// Returns whether the request target is in origin form. Endpoints could
/// interpret other forms differently from the gateway.
bool IsOriginForm(const net::RequestHead& head) {
  return !head.target.empty() && head.target.front() == '/';
}

}  // namespace

CallerConnection::CallerConnection(Gateway* owner,
                                   std::shared_ptr<net::TcpStream> connected)
    : gateway(owner),
      stream(std::move(connected)),
      timer(owner->io),
      parser(NewParser(*owner)),
      held_bytes(&owner->held_bytes),
      intake(owner->intake),
      number(this->intake->Add(this)) {}

CallerConnection::~CallerConnection() {
  this->intake->Remove(this->number);
}

void CallerConnection::Start() {
  net::StreamEvents events;
  const auto self = shared_from_this();
  events.on_data = [self](std::string_view bytes) { self->OnData(bytes); };
  events.on_end = [self](net::StreamEnd) { self->OnEnd(); };
  events.on_drained = [self] { self->OnDrained(); };
  this->stream->Start(std::move(events));
  this->BeginIdleTime();
  StartProgress(&this->progress, BootNow());
  this->CountHeldBytes();
}

void CallerConnection::Write(std::string_view bytes) {
  this->stream->Write(bytes);
  this->CountHeldBytes();
}

void CallerConnection::CountHeldBytes() {
  this->held_bytes.Set(
      intake::kConnectionBytes + this->head_bytes + this->input.capacity() +
      (this->awaits_room ? intake::kUnreadBytes : this->stream->HeldBytes()));
}

void CallerConnection::OnData(std::string_view bytes) {
  if (this->phase == Phase::kFinishing)
    return;
  RecordBytes(&this->progress, bytes.size(), BootNow());
  this->input.append(bytes);
  if (this->phase == Phase::kServing || this->IsCongested()) {
    const std::size_t limit = LacksRoomForAnswers(this->gateway->held_bytes)
                                  ? kMaxPipelinedBytesWhenFull
                                  : kMaxPipelinedBytes;
    if (this->input.size() > limit)
      this->stream->PauseReading();
  } else {
    this->ReadRequest();
  }
  if (this->input.empty() && this->input.capacity() > kMaxKeptBytes)
    std::string().swap(this->input);
  this->CountHeldBytes();
  this->intake->KeepBounds();
}

void CallerConnection::ReadRequest() {
  if (this->phase == Phase::kIdle && !this->input.empty()) {
    this->phase = Phase::kReceiving;
    this->received = BootNow();
    StartProgress(&this->progress, this->received);
    this->SetTimer(LimitsOf(*this->gateway).header_timeout);
  }
  if (this->phase != Phase::kReceiving || this->awaits_room)
    return;
  const bool had_head = this->parser.HeadDone();
  const std::size_t used = this->parser.Feed(this->input);
  this->input.erase(0, used);
  this->TakeBody();
  if (this->parser.Fault() != net::ParseFault::kNone) {
    this->Reject(this->parser.Fault());
    return;
  }
  if (this->parser.Done()) {
    this->Serve();
    return;
  }
  if (!this->parser.HeadDone())
    return;
  if (!had_head)
    this->head_bytes = net::FieldBytes(this->parser.Request().fields);
  if (!had_head || used > 0)
    this->SetTimer(LimitsOf(*this->gateway).idle_timeout);
  if (!this->EnsureRoom())
    return;
  const net::RequestHead& head = this->parser.Request();
  if (!this->continue_sent && head.minor_version >= 1 &&
      net::HasToken(head.fields, "expect", "100-continue")) {
    this->continue_sent = true;
    this->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void CallerConnection::Serve() {
  this->intake->KeepBounds();
  if (this->phase != Phase::kReceiving)
    return;
  this->timer.Cancel();
  this->has_been_served = true;
  net::RequestHead head = std::move(this->parser.Request());
  this->head_bytes = 0;
  this->is_http_1_1 = head.minor_version >= 1;
  this->is_head_request = head.method == "HEAD";
  this->keep_alive = net::KeepsConnection(head.fields, head.minor_version);
  if (!IsOriginForm(head) || net::FindField(head.fields, "host") == nullptr) {
    this->RejectWith(400, "target");
    return;
  }
  // The last of the room is for small requests.
  if (this->body && this->body->CommonBytes() > kMaxBytesOfSmallRequest &&
      LacksRoomForAnswers(this->gateway->held_bytes)) {
    this->RejectWith(503, "memory", kRoomRetryAfter);
    return;
  }
  if (!this->intake->AdmitRequest()) {
    this->RejectWith(503, "descriptors", kRoomRetryAfter);
    return;
  }
  this->phase = Phase::kServing;
  if (this->body)
    this->body->Complete();
  this->exchange = std::make_shared<Exchange>(
      this->gateway, shared_from_this(), std::move(head),
      std::exchange(this->body, nullptr), this->received);
  // The exchange may end and reset the member before Start() returns.
  const std::shared_ptr<Exchange> started = this->exchange;
  started->Start();
}

void CallerConnection::Reject(net::ParseFault fault) {
  switch (fault) {
    case net::ParseFault::kHeaderTooLarge:
      this->RejectWith(431, "header");
      return;
    case net::ParseFault::kBodyTooLarge:
      this->RejectWith(413, "body");
      return;
    case net::ParseFault::kUnsupported:
      this->RejectWith(501, "transfer coding");
      return;
    default:
      this->RejectWith(400, "syntax");
  }
}

void CallerConnection::RejectWith(int status,
                                  std::string_view reason,
                                  std::optional<Milliseconds> retry_after) {
  char detail[80];
  std::snprintf(detail, sizeof(detail), "status=%d reason=\"%.*s\"", status,
                static_cast<int>(reason.size()), reason.data());
  this->gateway->log->Write(kInputRejected, "", detail);
  this->gateway->metrics.CountRejected(reason);
  this->keep_alive = false;
  this->phase = Phase::kServing;
  this->awaits_room = false;
  this->body = nullptr;
  this->head_bytes = 0;
  std::string().swap(this->input);
  this->BeginAnswer(
      this->gateway->wire->gateway_answer(status, "", retry_after), 0);
  this->FinishAnswer();
}

void CallerConnection::BeginAnswer(net::ResponseHead head,
                                   std::optional<std::size_t> length) {
  if (this->phase != Phase::kServing)
    return;
  if (this->gateway->leaving)
    this->keep_alive = false;
  this->chunked = !length && this->is_http_1_1;
  if (length)
    head.fields.push_back({"Content-Length", std::to_string(*length)});
  else if (this->chunked)
    head.fields.push_back({"Transfer-Encoding", "chunked"});
  else
    this->keep_alive = false;
  if (!this->keep_alive) {
    head.fields.push_back({"Connection", "close"});
  } else {
    this->stated_idle_limit = LimitsOf(*this->gateway).idle_timeout;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
        this->stated_idle_limit);
    head.fields.push_back(
        {"Keep-Alive", "timeout=" + std::to_string(seconds.count())});
  }
  this->Write(net::FormatHead(head));
}

void CallerConnection::SendBody(std::string_view bytes) {
  if (this->phase != Phase::kServing || bytes.empty() || this->is_head_request)
    return;
  if (!this->chunked) {
    this->Write(bytes);
    return;
  }
  char size[24];
  const int digits = std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  std::string chunk(size, static_cast<std::size_t>(digits));
  chunk.append(bytes).append("\r\n");
  this->Write(chunk);
}

void CallerConnection::FinishAnswer() {
  if (this->phase != Phase::kServing)
    return;
  if (this->chunked && !this->is_head_request)
    this->Write("0\r\n\r\n");
  this->exchange = nullptr;
  if (this->keep_alive)
    this->AwaitRequest();
  else
    this->CloseWhenSent();
}

void CallerConnection::AwaitRequest() {
  this->phase = Phase::kIdle;
  StartProgress(&this->progress, BootNow());
  this->parser = NewParser(*this->gateway);
  this->continue_sent = false;
  this->chunked = false;
  this->stream->ResumeReading();
  this->BeginIdleTime();
  if (this->input.empty())
    return;
  // Posted, since this runs within the call that ended the previous request.
  boost::asio::post(*this->gateway->io, [self = shared_from_this()] {
    self->ReadBufferedRequest();
  });
}

/// Reads a request that has arrived during the one before. A caller that does
/// not take its answers is not served further ones.
void CallerConnection::ReadBufferedRequest() {
  const bool may_read =
      this->phase == Phase::kIdle || this->phase == Phase::kReceiving;
  if (may_read && !this->input.empty() && !this->IsCongested())
    this->ReadRequest();
}

bool CallerConnection::IsCongested() const {
  const std::size_t limit =
      LacksRoomForAnswers(this->gateway->held_bytes) ? 0 : kMaxUnsentBytes;
  return this->stream->UnsentBytes() > limit;
}

void CallerConnection::OnDrained() {
  this->CountHeldBytes();
  if (this->phase == Phase::kFinishing) {
    this->CloseWhenSent();
    return;
  }
  // Its idle time begins when the last byte has been sent.
  if (this->phase == Phase::kIdle)
    this->BeginIdleTime();
  const std::shared_ptr<Exchange> current = this->exchange;
  if (current) {
    current->OnCallerDrained();
    return;
  }
  if (this->phase == Phase::kServing || this->phase == Phase::kClosed ||
      this->awaits_room)
    return;
  this->stream->ResumeReading();
  this->ReadBufferedRequest();
}

void CallerConnection::SetTimer(Milliseconds timeout) {
  this->sent_at_timer = this->stream->SentBytes();
  this->timer.Set(timeout, [weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->OnTimeout();
  });
}

}  // namespace coltsfootvane::gateway
