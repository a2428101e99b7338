#include <algorithm>
#include <cstdio>
#include <utility>

#include "base/name_text.h"
#include "gateway/caller_connection.h"
#include "gateway/exchange.h"
#include "gateway/gateway.h"

namespace coltsfootvane::gateway {
namespace {

/// An endpoint that refuses a request does so within this time.
constexpr Milliseconds kBodyKept{500};

}  // namespace

/// Ends a request that has not been executed and tells the caller when to
/// retry. A request that may have been executed fails instead.
void Exchange::Refuse(std::string_view reason,
                      const ReturnTime& return_time,
                      std::string_view inputs,
                      int status) {
  if (this->finished || this->AwaitContinuation())
    return;
  if (this->possible_executions > 0 || this->forwarding) {
    this->Fail(502, reason);
    return;
  }
  this->CountOutcome(Outcome::kRefused, reason);
  this->Log(
      kRequestRefused,
      "reason=\"" + std::string(reason) +
          "\" retry_after_ms=" + std::to_string(return_time.earliest.count()) +
          " model=" + Printable(this->info.model) + " " + std::string(inputs));
  this->RespondWith(status,
                    NextReturn(return_time, &this->gateway->return_sequence));
}

void Exchange::Fail(int status,
                    std::string_view reason,
                    std::string_view inputs) {
  if (this->finished)
    return;
  this->CountOutcome(Outcome::kFailed, reason);
  this->Log(kRequestFailed, "status=" + std::to_string(status) + " reason=\"" +
                                std::string(reason) +
                                "\" sends=" + std::to_string(this->sends) +
                                std::string(inputs));
  if (this->forwarding) {
    const auto connection = this->caller;
    this->Finish();
    connection->AbortAnswer();
    return;
  }
  this->RespondWith(status, std::nullopt);
}

void Exchange::OnShutdownOver() {
  if (this->finished)
    return;
  if (this->possible_executions > 0)
    this->Fail(502, "shutdown");
  else
    this->Refuse("shutdown", ReturnAfter(kShutdownRetryAfter));
}

void Exchange::RespondWith(int status,
                           std::optional<Milliseconds> retry_after) {
  const auto connection = this->caller;
  const std::string id = this->info.id;
  this->Finish();
  connection->BeginAnswer(
      this->gateway->wire->gateway_answer(status, id, retry_after), 0);
  connection->FinishAnswer();
}

void Exchange::AddWork(int tokens) {
  this->prefill_tokens = tokens;
  ++this->endpoint->own.running;
  this->endpoint->own.prompt_tokens += tokens;
  this->tokens_under_way =
      this->endpoint->own.prompt_tokens + this->endpoint->peers.prompt_tokens;
  if (this->yields) {
    ++this->endpoint->own.yielding;
    this->endpoint->own.yielding_tokens += tokens;
  }
  UpdateLoad(this->gateway, *this->endpoint, false);
}

/// Called with the first event, when the prompt has been processed, or when the
/// send ends.
void Exchange::EndPrefill() {
  this->endpoint->own.prompt_tokens -= this->prefill_tokens;
  if (this->yields)
    this->endpoint->own.yielding_tokens -= this->prefill_tokens;
  this->prefill_tokens = 0;
}

void Exchange::ReleaseEndpoint(bool reusable) {
  if (!this->endpoint)
    return;
  this->EndPrefill();
  --this->endpoint->own.running;
  if (this->yields)
    --this->endpoint->own.yielding;
  UpdateLoad(this->gateway, *this->endpoint,
             std::exchange(this->load.refused, false));
  const auto connection = std::exchange(this->stream, nullptr);
  if (connection && reusable && TakesNewWork(*this->endpoint))
    this->gateway->connections.Keep(this->endpoint->entry.id, connection,
                                    this->answer);
  else if (connection && this->IsAnswerComplete())
    connection->Close();
  else if (connection)
    // What has not reached the endpoint yet is dropped, so that it does not
    // begin a request that nobody waits for.
    connection->Reset();
  this->endpoint = nullptr;
  ++this->send_generation;
}

bool Exchange::IsAnswerComplete() const {
  return this->parser && this->parser->Done() && this->head_read &&
         this->mode != Mode::kDiscarded;
}

void Exchange::Finish() {
  this->finished = true;
  if (this->tried_part) {
    --this->gateway->quarantine.trials[*this->tried_part];
    this->tried_part.reset();
  }
  this->timer.Cancel();
  this->SettleQuota();
  this->load.wait_timer.reset();
  this->silence_timer.Cancel();
  this->ReleaseEndpoint(false);
  this->body = nullptr;
}

void Exchange::ReleaseBody(TimePoint now) {
  const bool is_received = this->stream && this->possible_executions > 0 &&
                           this->stream->UnsentBytes() == 0 &&
                           now - this->sent_at >= kBodyKept;
  if (!is_received || SizeOf(this->body) <= intake::kSmallBodyBytes)
    return;
  this->body = nullptr;
  this->body_released = true;
}

void Exchange::OnCallerGone() {
  if (this->finished)
    return;
  this->CountOutcome(Outcome::kCallerLeft);
  this->Log(kCallerLeft, "sends=" + std::to_string(this->sends));
  this->Finish();
}

void Exchange::CountOutcome(Outcome outcome, std::string_view reason) {
  this->gateway->metrics.CountRequest(this->route, this->service, outcome,
                                      reason, BootNow() - this->received);
}

bool Exchange::IsSampled() const {
  return this->gateway->log->Samples(this->info.id);
}

std::string Exchange::DescribeEndpoint() const {
  const Endpoint& current = *this->endpoint;
  char detail[160];
  std::snprintf(detail, sizeof(detail),
                "endpoint=%s running=%d prompt=%d report_age_ms=%d",
                current.entry.id.c_str(),
                current.own.running + current.peers.running,
                current.own.prompt_tokens + current.peers.prompt_tokens,
                static_cast<int>(this->gateway->report_interval.count()));
  return detail;
}

std::string Exchange::DescribeProgress() const {
  const char* answered = this->head_read ? "head" : "nothing";
  if (this->first_event_at != TimePoint())
    answered = "events";
  const auto sent_ms =
      std::chrono::duration_cast<Milliseconds>(BootNow() - this->sent_at);
  std::string text = "answered=" + std::string(answered) +
                     " sent_ms=" + std::to_string(sent_ms.count());
  if (!this->shared_parts.empty())
    text += " parts=" + PartList(this->shared_parts);
  return text;
}

void Exchange::Log(const Event& event, std::string_view detail) const {
  this->gateway->log->Write(event, this->info.id, detail);
}

}  // namespace coltsfootvane::gateway
