#include <utility>

#include "gateway/caller_connection.h"
#include "gateway/exchange.h"
#include "gateway/gateway.h"

namespace coltsfootvane::gateway {
using intake::Stage;

/// Moves what the parser has read of the body.
void CallerConnection::TakeBody() {
  const std::string bytes = this->parser.TakeBody();
  if (bytes.empty())
    return;
  if (!this->body)
    this->body = std::make_shared<RequestBody>(this->intake);
  this->body->Append(
      bytes, static_cast<std::size_t>(this->parser.BodyLength().value_or(0)));
}

/// Returns whether the body may be read on. Otherwise the request waits for
/// room or has been refused.
bool CallerConnection::EnsureRoom() {
  if (this->body && this->body->GrantedBytes() > 0)
    return true;
  const std::optional<std::uint64_t> length = this->parser.BodyLength();
  const std::size_t known =
      length ? static_cast<std::size_t>(*length) : SizeOf(this->body);
  if (known <= intake::kSmallBodyBytes)
    return true;
  const CallerLimits limits = LimitsOf(*this->gateway);
  this->wanted_bytes =
      length ? known : static_cast<std::size_t>(limits.body_bytes);
  switch (this->intake->AdmitBody(this->wanted_bytes)) {
    case intake::Admission::kGrant:
      if (!this->body)
        this->body = std::make_shared<RequestBody>(this->intake);
      this->body->Grant(this->wanted_bytes);
      return true;
    case intake::Admission::kWait:
      this->awaits_room = true;
      this->awaits_since = BootNow();
      this->timer.Cancel();
      this->stream->PauseReading();
      return false;
    case intake::Admission::kRefuse:
      break;
  }
  this->RejectWith(503, "room", kRoomRetryAfter);
  return false;
}

void CallerConnection::OnRoom(TimePoint now) {
  this->awaits_room = false;
  if (!this->body)
    this->body = std::make_shared<RequestBody>(this->intake);
  this->body->Grant(this->wanted_bytes);
  StartProgress(&this->progress, now);
  this->SetTimer(LimitsOf(*this->gateway).idle_timeout);
  this->stream->ResumeReading();
  this->ReadRequest();
  this->CountHeldBytes();
}

void CallerConnection::EndLongWait(TimePoint now) {
  if (this->awaits_room && now - this->awaits_since > intake::kMaxRoomWait)
    this->RejectWith(503, "room", kRoomRetryAfter);
}

/// Returns whether answer bytes wait for the caller.
bool CallerConnection::IsTaking() const {
  return this->phase != Phase::kReceiving && this->phase != Phase::kClosed &&
         this->HasUnsent();
}

void CallerConnection::ObserveProgress(TimePoint now) {
  const bool is_taking = this->IsTaking();
  const std::uint64_t sent = this->stream->SentBytes();
  if (is_taking && !this->was_taking)
    StartProgress(&this->progress, now);
  else if (is_taking)
    RecordBytes(&this->progress, sent - this->sent_bytes, now);
  this->was_taking = is_taking;
  this->sent_bytes = sent;
}

intake::Holder CallerConnection::Describe(TimePoint now) const {
  intake::Holder holder;
  holder.bytes = intake::kConnectionBytes + this->head_bytes +
                 this->input.capacity() + this->stream->HeldBytes();
  holder.behind = Behind(this->progress, now);
  holder.has_been_served = this->has_been_served;
  if (this->body)
    holder.bytes += this->body->CommonBytes() + this->body->GrantedBytes();
  switch (this->phase) {
    case Phase::kIdle:
      holder.stage = this->IsTaking() ? Stage::kTaking : Stage::kIdle;
      break;
    case Phase::kReceiving:
      holder.stage = this->body && this->body->GrantedBytes() > 0
                         ? Stage::kGranted
                         : Stage::kReceiving;
      break;
    case Phase::kServing:
      holder.stage = this->IsTaking() ? Stage::kTaking : Stage::kServing;
      break;
    case Phase::kFinishing:
      holder.stage = Stage::kTaking;
      break;
    case Phase::kClosed:
      holder.stage = Stage::kServing;
      break;
  }
  if (this->awaits_room) {
    holder.stage = Stage::kWaiting;
    holder.behind =
        std::chrono::duration_cast<Milliseconds>(now - this->awaits_since);
  }
  return holder;
}

bool CallerConnection::EndForRoom(std::string_view reason, TimePoint now) {
  const bool needs_descriptor = reason == "descriptors";
  switch (this->phase) {
    case Phase::kIdle:
      if (this->stream->HasUnreadBytes())
        return false;
      this->Close();
      break;
    case Phase::kReceiving: {
      const bool is_late =
          !this->awaits_room && Behind(this->progress, now).count() > 0;
      if (is_late)
        this->RejectWith(408, reason);
      else
        this->RejectWith(503, reason, kRoomRetryAfter);
      // A lingering connection keeps its descriptor.
      if (needs_descriptor)
        this->Close();
      break;
    }
    case Phase::kServing:
    case Phase::kFinishing:
      if (!this->IsTaking())
        return false;
      this->RecordCut(reason);
      this->stream->Reset();
      this->OnEnd();
      break;
    case Phase::kClosed:
      return false;
  }
  this->gateway->metrics.CountEndedConnection(reason);
  return true;
}

}  // namespace coltsfootvane::gateway
