#include <algorithm>
#include <cstdio>
#include <utility>

#include "base/name_text.h"
#include "gateway/caller_connection.h"
#include "gateway/exchange.h"
#include "gateway/gateway.h"

namespace coltsfootvane::gateway {
namespace {

/// Longer answers are forwarded as they arrive.
constexpr std::size_t kMaxBufferedBodyBytes = 256UL * 1024;
constexpr std::size_t kMaxEventBytes = 1024UL * 1024;
/// The same while the daemon holds as much as it may.
constexpr std::size_t kMaxEventBytesWhenFull = 16UL * 1024;
/// Of interim answers and answers to other requests, which may come first.
constexpr std::size_t kMaxDiscardedBytes = 256UL * 1024;

/// Memory of an exchange beside its bytes: its objects, and the parser
/// and stream towards the endpoint.
constexpr std::size_t kExchangeBytes = 8UL * 1024;

double MillisecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

/// Returns whether callers take the status as a statement that the request has
/// not been executed.
bool ImpliesNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool IsEventStream(const net::Fields& fields) {
  const std::string_view type = net::FieldValue(fields, "content-type");
  constexpr std::string_view kEventStream = "text/event-stream";
  return net::EqualsIgnoringCase(type.substr(0, kEventStream.size()),
                                 kEventStream);
}

}  // namespace

void Exchange::AttachHandlers(net::TcpStream* connected) {
  net::StreamEvents events;
  const auto self = shared_from_this();
  const int current = this->send_generation;
  events.on_data = [self, current](std::string_view bytes) {
    if (self->send_generation == current)
      self->OnData(bytes);
  };
  events.on_end = [self, current](net::StreamEnd end) {
    if (self->send_generation == current)
      self->OnEnd(end);
  };
  connected->Start(std::move(events));
}

void Exchange::OnData(std::string_view bytes) {
  this->last_bytes_at = BootNow();
  stall::RecordArrival(&this->arrival, this->last_bytes_at);
  this->endpoint->activity.last_bytes = this->last_bytes_at;
  this->input.append(bytes);
  if (!this->head_read || this->mode == Mode::kDiscarded)
    this->discarded_bytes += bytes.size();
  const int current = this->send_generation;
  this->ReadAnswer();
  this->CountHeldBytes();
  const bool answered = this->send_generation != current || this->finished ||
                        (this->head_read && this->mode != Mode::kDiscarded);
  if (!answered && this->discarded_bytes > kMaxDiscardedBytes)
    this->OnSendFailed("no answer among the bytes received");
}

void Exchange::ReadAnswer() {
  const int current = this->send_generation;
  while (this->send_generation == current && !this->finished) {
    const std::size_t used = this->parser->Feed(this->input);
    this->input.erase(0, used);
    if (this->parser->Fault() != net::ParseFault::kNone) {
      this->OnSendFailed("malformed answer");
      return;
    }
    if (!this->parser->HeadDone())
      return;
    if (!this->head_read && !this->ReadHead())
      return;
    if (this->send_generation != current || this->finished)
      return;
    const std::string bytes = this->parser->TakeBody();
    const bool done = this->parser->Done();
    if (!bytes.empty())
      this->ForwardBody(bytes);
    if (this->send_generation != current || this->finished)
      return;
    if (!done)
      return;
    if (this->mode != Mode::kDiscarded) {
      this->OnAnswerDone();
      return;
    }
    // The next message may be the answer to this request.
    this->parser.emplace(net::MessageParser::Kind::kResponse,
                         net::ParseLimits{64 * 1024, 1ULL << 40});
    this->head_read = false;
    if (this->input.empty())
      return;
  }
}

/// Selects the mode by the head. Returns false if the send has ended.
bool Exchange::ReadHead() {
  this->head_read = true;
  this->answer = std::move(this->parser->Response());
  this->answer_info = this->gateway->wire->read_answer(this->answer);
  const bool is_interim = this->answer.status < 200;
  if (is_interim || !this->BelongsToThisRequest()) {
    this->stray_answers = this->stray_answers || !is_interim;
    this->mode = Mode::kDiscarded;
    return true;
  }
  RecordNotice(this->gateway, this->endpoint, this->answer_info.notice,
               BootNow());
  if (this->answer_info.not_executed || this->answer_info.wrong_endpoint) {
    this->OnRefusedByEndpoint();
    return false;
  }
  const bool is_event_stream = this->route->kind == RouteKind::kStreaming &&
                               IsEventStream(this->answer.fields) &&
                               IsSuccess(this->answer.status);
  this->mode = is_event_stream ? Mode::kEvents : Mode::kBuffered;
  if (this->forwarding && !is_event_stream) {
    this->OnSendFailed("no event stream");
    return false;
  }
  if (!this->IsAcceptable()) {
    this->OnSendFailed("answer without proof or of unknown outcome");
    return false;
  }
  return true;
}

/// An endpoint may send an answer twice, or late. One without an id can only be
/// told from the answers to earlier requests if the connection has had none.
bool Exchange::BelongsToThisRequest() const {
  const std::string& id = this->answer_info.request_id;
  return id.empty() ? !this->stream_was_used : id == this->info.id;
}

/// Returns whether the connection may carry another request after the answer.
bool Exchange::IsReusable() const {
  return this->parser->Done() && this->input.empty() && !this->stray_answers &&
         net::KeepsConnection(this->answer.fields, this->answer.minor_version);
}

/// The endpoint states that it has not executed the request.
void Exchange::OnRefusedByEndpoint() {
  --this->possible_executions;
  const TimePoint now = BootNow();
  const char* reason = "refused by endpoint";
  if (this->answer_info.lacks_model) {
    reason = "model or adapter missing";
    RecordAbsence(this->endpoint.get(), this->info.model, this->info.adapter,
                  now);
  } else if (this->answer_info.wrong_endpoint) {
    reason = "other instance";
    Eject(this->endpoint.get(), now);
  } else {
    RecordRefusal(this->endpoint.get(), now);
    this->load.refused = true;
  }
  const std::string detail = this->DescribeEndpoint() +
                             " status=" + std::to_string(this->answer.status);
  const bool reusable = this->IsReusable();
  this->ReleaseEndpoint(reusable);
  this->OnNotExecuted({reason, detail, true});
}

bool Exchange::IsAcceptable() const {
  if (IsSuccess(this->answer.status))
    return this->answer_info.authentic && !this->answer_info.encoded;
  return !ImpliesNotExecuted(this->answer.status);
}

void Exchange::CountHeldBytes() {
  const std::size_t held = this->stream ? this->stream->HeldBytes() : 0;
  this->held_bytes.Set(kExchangeBytes + this->head_bytes + held +
                       this->input.capacity() + this->buffered_body.capacity() +
                       this->splitter.PendingBytes());
}

void Exchange::ForwardBody(const std::string& bytes) {
  switch (this->mode) {
    case Mode::kDiscarded:
      return;
    case Mode::kPassThrough:
      this->caller->SendBody(bytes);
      break;
    case Mode::kEvents:
      this->splitter.Append(bytes);
      this->ForwardEvents();
      break;
    case Mode::kBuffered:
      this->buffered_body.append(bytes);
      if (this->buffered_body.size() <= kMaxBufferedBodyBytes &&
          !LacksRoomForAnswers(this->gateway->held_bytes))
        break;
      this->mode = Mode::kPassThrough;
      this->BeginForwarding(std::nullopt);
      this->caller->SendBody(std::exchange(this->buffered_body, std::string()));
      break;
  }
  if (!this->finished && this->stream && this->caller->IsCongested())
    this->stream->PauseReading();
}

void Exchange::ForwardEvents() {
  while (auto event = this->splitter.Next()) {
    if (event->id && this->last_event_id && *event->id <= *this->last_event_id)
      continue;
    if (!this->forwarding)
      this->BeginForwarding(std::nullopt);
    if (this->prefill_tokens > 0) {
      this->EndPrefill();
      UpdateLoad(this->gateway, *this->endpoint, false);
    }
    if (this->first_event_at == TimePoint())
      RecordAnsweredParts(this->gateway, this->shared_parts);
    this->ObserveEvent();
    this->caller->SendBody(event->bytes);
    if (event->id)
      this->last_event_id = event->id;
  }
  const std::size_t limit = LacksRoomForAnswers(this->gateway->held_bytes)
                                ? kMaxEventBytesWhenFull
                                : kMaxEventBytes;
  if (this->splitter.PendingBytes() > limit)
    this->OnSendFailed("event too long");
}

void Exchange::ObserveEvent() {
  const TimePoint now = BootNow();
  if (this->first_event_at == TimePoint())
    this->first_event_at = now;
  if (this->last_event_at == TimePoint()) {
    this->first_event_ms = MillisecondsBetween(this->received, now);
    this->gateway->metrics.ObserveFirstEvent(*this->route,
                                             now - this->received);
    this->RecordFirstEvent();
  } else {
    const double gap_ms = MillisecondsBetween(this->last_event_at, now);
    this->longest_gap_ms = std::max(this->longest_gap_ms, gap_ms);
    // The gap at a resumption is none of this endpoint.
    if (this->first_event_at != now)
      stall::RecordGap(&this->endpoint->activity.pace, gap_ms);
    this->gateway->metrics.ObserveEventGap(*this->route,
                                           now - this->last_event_at);
  }
  this->last_event_at = now;
}

std::string Exchange::DescribeAnswer() const {
  char detail[160];
  std::snprintf(detail, sizeof(detail),
                "status=%d rank=%d endpoint=%s first_ms=%.0f gap_ms=%.0f",
                this->answer.status, this->route->rank,
                this->endpoint->entry.id.c_str(), this->first_event_ms,
                this->longest_gap_ms);
  return detail;
}

void Exchange::BeginForwarding(std::optional<std::size_t> length) {
  this->forwarding = true;
  this->caller->BeginAnswer(this->gateway->wire->caller_answer(this->answer),
                            length);
}

void Exchange::OnCallerDrained() {
  if (this->stream)
    this->stream->ResumeReading();
}

void Exchange::OnEnd(net::StreamEnd end) {
  if (end == net::StreamEnd::kClosed && this->parser->EndsWithConnection() &&
      this->head_read && this->mode != Mode::kDiscarded) {
    this->OnUnframedEnd();
    return;
  }
  // Reset, or the endpoint has not responded for too long.
  if (end == net::StreamEnd::kFailed && !this->head_read)
    Eject(this->endpoint.get(), BootNow());
  this->OnSendBroken(end == net::StreamEnd::kClosed ? "connection closed"
                                                    : "connection failed");
}

void Exchange::OnAnswerDone() {
  if (this->mode == Mode::kBuffered) {
    this->OnBufferedAnswer();
    return;
  }
  if (this->mode == Mode::kEvents && this->splitter.PendingBytes() > 0) {
    this->OnSendFailed("stream ends within an event");
    return;
  }
  const bool has_events = this->first_event_at != TimePoint();
  if (this->mode == Mode::kEvents && !has_events && !this->parser->Done()) {
    this->OnSendFailed("stream ends without an event");
    return;
  }
  if (!this->forwarding)
    this->BeginForwarding(std::nullopt);
  const TimePoint now = BootNow();
  RecordOutcome(this->endpoint.get(), true, now);
  if (this->engine != nullptr && this->first_event_at != TimePoint())
    RecordRun(&this->gateway->traffic, this->service,
              MillisecondsBetween(this->first_event_at, now),
              this->info.output_tokens);
  const bool reusable = this->IsReusable();
  if (this->IsSampled())
    this->Log(kRequestAnswered, this->DescribeAnswer());
  this->CountOutcome(Outcome::kAnswered);
  this->ReleaseEndpoint(reusable);
  const auto connection = this->caller;
  this->Finish();
  connection->FinishAnswer();
}

void Exchange::OnBufferedAnswer() {
  const bool failed = this->answer.status >= 500;
  if (IsSuccess(this->answer.status)) {
    RecordAnsweredParts(this->gateway, this->shared_parts);
    this->RecordCallTime(BootNow());
  }
  RecordOutcome(this->endpoint.get(), !failed, BootNow());
  const bool reusable = this->IsReusable();
  const bool retry = failed && this->MayRetry() &&
                     TakeRetry(this->gateway, this->service, BootNow());
  if (failed) {
    this->gateway->metrics.CountFailedSend(this->service, "answered",
                                           "status of a failure");
    this->Log(kSendFailed,
              "outcome=answered status=" + std::to_string(this->answer.status) +
                  " endpoint=" + Printable(this->endpoint->entry.id) +
                  (retry ? " then=retry" : " then=forward"));
  }
  if (retry) {
    this->ReleaseEndpoint(reusable);
    this->TryNextEndpoint();
    return;
  }
  if (this->IsSampled())
    this->Log(kRequestAnswered,
              "status=" + std::to_string(this->answer.status));
  this->CountOutcome(Outcome::kAnswered);
  const std::string bytes = std::move(this->buffered_body);
  this->ReleaseEndpoint(reusable);
  const auto connection = this->caller;
  this->Finish();
  connection->BeginAnswer(this->gateway->wire->caller_answer(this->answer),
                          bytes.size());
  connection->SendBody(bytes);
  connection->FinishAnswer();
}

}  // namespace coltsfootvane::gateway
