#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "gateway/caller_connection.h"
#include "gateway/exchange.h"
#include "gateway/gateway.h"

namespace coltsfootvane::gateway {
namespace {

std::int64_t AgeMs(TimePoint since, TimePoint now) {
  return std::chrono::duration_cast<Milliseconds>(now - since).count();
}

}  // namespace

const char* CallerConnection::PhaseName() const {
  switch (this->phase) {
    case Phase::kIdle:
      return "idle";
    case Phase::kReceiving:
      return "receiving";
    case Phase::kServing:
      return "serving";
    case Phase::kFinishing:
      return "finishing";
    case Phase::kClosed:
      break;
  }
  return "closed";
}

bool CallerConnection::HasOpenRequest() const {
  switch (this->phase) {
    case Phase::kIdle:
      return !this->input.empty() || this->HasUnsent() ||
             this->stream->HasUnreadBytes();
    case Phase::kReceiving:
    case Phase::kServing:
      return true;
    case Phase::kFinishing:
      return this->HasUnsent();
    case Phase::kClosed:
      break;
  }
  return false;
}

void CallerConnection::RecordCut(std::string_view reason) const {
  if (!this->HasOpenRequest())
    return;
  this->gateway->metrics.CountCutRequest(this->PhaseName(), reason);
  const TimePoint now = BootNow();
  const std::size_t body_bytes = SizeOf(this->body);
  std::string detail =
      "reason=\"" + std::string(reason) + "\" phase=" + this->PhaseName() +
      " head=" + (this->parser.HeadDone() ? "1" : "0") +
      " body=" + std::to_string(body_bytes) +
      " input=" + std::to_string(this->input.size()) +
      " unread=" + std::to_string(this->stream->UnreadBytes()) +
      " unsent=" + std::to_string(this->stream->UnsentBytes());
  if (this->phase == Phase::kReceiving || this->phase == Phase::kServing)
    detail += " age_ms=" + std::to_string(AgeMs(this->received, now));
  if (this->gateway->routes)
    detail += " version=" + std::to_string(this->gateway->routes->version) +
              " in_force_ms=" +
              std::to_string(AgeMs(this->gateway->routes_since, now));
  if (this->gateway->leaving)
    detail += " leaving_ms=" +
              std::to_string(AgeMs(this->gateway->leaving_since, now));
  this->gateway->log->Write(kRequestCut,
                            this->exchange ? this->exchange->Id() : "", detail);
}

/// Closes the connection once the caller has taken all bytes of the last
/// answer. Until then it counts in the account as one that takes its answer.
void CallerConnection::CloseWhenSent() {
  if (this->HasUnsent()) {
    this->phase = Phase::kFinishing;
    std::string().swap(this->input);
    this->SetTimer(LimitsOf(*this->gateway).idle_timeout);
    return;
  }
  this->phase = Phase::kClosed;
  this->timer.Cancel();
  this->intake->AddLingering(this->stream);
  this->stream->CloseAfterWrite();
}

void CallerConnection::AbortAnswer() {
  if (this->phase != Phase::kServing)
    return;
  this->exchange = nullptr;
  // A body that is delimited by the end of the connection would look complete
  // after a normal close.
  if (this->chunked) {
    this->CloseWhenSent();
    return;
  }
  this->stream->Reset();
  this->Close();
}

bool CallerConnection::EndIfCallerLeft() {
  if (!this->stream->HasPeerEnded())
    return false;
  this->OnEnd();
  return true;
}

void CallerConnection::CloseIfIdle() {
  if (this->phase == Phase::kIdle && !this->HasUnsent() &&
      !this->stream->HasUnreadBytes())
    this->Close();
}

bool CallerConnection::IsReceiving() const {
  return this->phase == Phase::kReceiving ||
         (this->phase == Phase::kIdle && !this->HasUnsent() &&
          (!this->input.empty() || this->stream->HasUnreadBytes()));
}

void CallerConnection::RefuseIfReceiving() {
  if (this->phase == Phase::kReceiving)
    this->RejectWith(503, "shutdown", kShutdownRetryAfter);
}

bool CallerConnection::EndIfUnsent() {
  if (this->phase == Phase::kClosed || !this->HasUnsent())
    return false;
  this->RecordCut("shutdown");
  this->stream->Reset();
  this->OnEnd();
  return true;
}

void CallerConnection::OnEnd() {
  const std::shared_ptr<Exchange> current =
      std::exchange(this->exchange, nullptr);
  this->Close();
  if (current)
    current->OnCallerGone();
}

void CallerConnection::Close() {
  this->phase = Phase::kClosed;
  this->awaits_room = false;
  this->body = nullptr;
  this->timer.Cancel();
  this->stream->Close();
}

/// Returns whether the connection stays open although its timer has expired.
bool CallerConnection::MayStayIdle() {
  if (this->HasUnsent())
    return false;
  if (this->stream->HasUnreadBytes()) {
    // A request has arrived that the loop has not come to read yet.
    this->SetTimer(LimitsOf(*this->gateway).idle_timeout);
    return true;
  }
  // The limit may have changed since the timer was set.
  const TimePoint now = BootNow();
  const TimePoint until = this->idle_since + this->IdleLimit();
  if (now >= until)
    return false;
  this->SetTimer(TimeLeft(until, now) + Milliseconds(1));
  return true;
}

/// Callers go by the limit that their last answer has stated or by that of the
/// newest configuration.
Milliseconds CallerConnection::IdleLimit() const {
  return std::max(this->stated_idle_limit,
                  LimitsOf(*this->gateway).idle_timeout);
}

void CallerConnection::BeginIdleTime() {
  this->idle_since = BootNow();
  this->SetTimer(this->IdleLimit());
}

void CallerConnection::OnTimeout() {
  if (this->phase == Phase::kReceiving) {
    this->RejectWith(408, "timeout");
    return;
  }
  if (this->phase == Phase::kIdle && this->MayStayIdle())
    return;
  const bool has_progressed =
      this->HasUnsent() && this->stream->SentBytes() != this->sent_at_timer;
  if (has_progressed) {
    this->SetTimer(LimitsOf(*this->gateway).idle_timeout);
    return;
  }
  this->RecordCut("timeout");
  this->Close();
}

}  // namespace coltsfootvane::gateway
