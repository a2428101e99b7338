#include "gateway/exchange.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "base/digest.h"
#include "base/name_text.h"
#include "gateway/admission.h"
#include "gateway/caller_connection.h"
#include "gateway/gateway.h"

namespace coltsfootvane::gateway {
namespace {

/// Time within which a daemon without a configuration expects to have one.
constexpr Milliseconds kConfigurationWait{1000};
/// Time within which an unavailable endpoint is expected to return or to be
/// replaced.
constexpr Milliseconds kEndpointRetryAfter{800};
/// Number of sends up to which a request that was refused as not executed is
/// sent to another endpoint. Further endpoints rarely have room.
constexpr int kMaxRefusedSends = 3;
/// A holder of the lease that ends is replaced later than that, so that a
/// caller had better come back.
constexpr Milliseconds kMaxAdapterWait{1000};

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string_view HostOf(std::string_view value) {
  return value.substr(0, value.find(':'));
}

}  // namespace

Exchange::Exchange(Gateway* owner,
                   std::shared_ptr<CallerConnection> connection,
                   net::RequestHead request_head,
                   std::shared_ptr<RequestBody> request_body,
                   TimePoint received_at)
    : gateway(owner),
      caller(std::move(connection)),
      head(std::move(request_head)),
      body(std::move(request_body)),
      received(received_at),
      timer(owner->io),
      silence_timer(owner->io),
      routes(owner->routes),
      head_bytes(net::FieldBytes(this->head.fields)),
      held_bytes(&owner->held_bytes) {
  ++this->gateway->exchanges;
  ++this->gateway->traffic.requests;
  this->gateway->open_exchanges.insert(this);
}

Exchange::~Exchange() {
  this->gateway->open_exchanges.erase(this);
  --this->gateway->exchanges;
}

void Exchange::Start() {
  this->info = this->gateway->wire->read_request(this->head);
  this->deadline = this->received + kConfigurationWait;
  if (!this->FindRoute())
    return;
  if (IsFull(this->gateway->held_bytes)) {
    this->Refuse("memory", ReturnAfter(kEndpointRetryAfter));
    return;
  }
  this->CountHeldBytes();
  const TimePoint now = BootNow();
  CountRequest(this->gateway, this->service, now);
  if (this->engine != nullptr) {
    this->shared_parts = SharedParts(this->info);
    if (this->EndIfQuarantined())
      return;
    RecordDemand(&this->gateway->traffic, this->info,
                 OutputTokenMs(this->gateway->traffic, this->service,
                               this->engine->slots),
                 now);
    this->RecordPrompt(now);
  }
  this->timer.Set(TimeLeft(this->deadline, now), [weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->OnTimeout();
  });
  this->AwaitQuota();
}

/// Returns by which view of the store a route was looked for, for the log.
std::string Exchange::ViewInputs() const {
  const TimePoint now = BootNow();
  const auto age_ms = [now](TimePoint since) {
    return std::to_string(
        std::chrono::duration_cast<Milliseconds>(now - since).count());
  };
  std::string inputs = " version=" + std::to_string(this->routes->version) +
                       " in_force_ms=" + age_ms(this->gateway->routes_since);
  if (this->gateway->view_confirmed_at != TimePoint())
    inputs += " confirmed_age_ms=" + age_ms(this->gateway->view_confirmed_at);
  return inputs;
}

/// Finds the route and the service. If that fails, answers the request and
/// returns false.
bool Exchange::FindRoute() {
  if (!this->routes) {
    this->Refuse("no configuration", ReturnAfter(kConfigurationWait));
    return false;
  }
  this->route = gateway::FindRoute(
      this->routes->routes, HostOf(net::FieldValue(this->head.fields, "host")),
      PathOf(this->head.target));
  if (this->route == nullptr) {
    // It may have been added by a configuration that is not in force here yet.
    if (IsRoutingOutdated(*this->gateway, BootNow()))
      this->Refuse("no route yet", ReturnAfter(kConfigurationWait),
                   this->ViewInputs());
    else
      this->Fail(404, "no route", this->ViewInputs());
    return false;
  }
  if (!this->FindTeam()) {
    this->Fail(401, "unknown key");
    return false;
  }
  Milliseconds allowed = this->route->timeout;
  if (this->info.time_left)
    allowed = std::min(allowed, *this->info.time_left);
  this->deadline = this->received + allowed;
  if (this->gateway->leaving && !this->FitsIntoShutdown()) {
    this->Refuse("shutdown", ReturnAfter(kShutdownRetryAfter));
    return false;
  }
  this->service = ChooseService(*this->route,
                                Hash64(this->info.id, this->gateway->random()));
  const Service* const found = FindService(*this->routes, this->service);
  if (found == nullptr) {
    this->Refuse("no service", ReturnAfter(kConfigurationWait));
    return false;
  }
  if (found->engine)
    this->engine = &*found->engine;
  return true;
}

/// Finds the team of the request. Returns false if its route needs one.
bool Exchange::FindTeam() {
  const team::TeamTable& teams = *this->routes->teams;
  if (teams.teams.empty())
    return true;
  this->team = team::FindTeam(teams, this->info.key);
  return this->team != nullptr || this->route->is_public;
}

int Exchange::Rank() const {
  const bool has_own = this->team != nullptr && this->team->rank;
  return has_own ? *this->team->rank : this->route->rank;
}

/// Returns whether the request is answered before the process ends, or came so
/// early in the shutdown that its caller could not know better.
bool Exchange::FitsIntoShutdown() const {
  return BootNow() < this->gateway->last_request_at ||
         this->deadline < this->gateway->last_answer_at;
}

void Exchange::TryNextEndpoint() {
  const TimePoint now = BootNow();
  if (now + kMinTimeForSend >= this->deadline) {
    this->OnTimeout();
    return;
  }
  if (this->EndIfQuarantined() || this->caller->EndIfCallerLeft())
    return;
  const Choice choice = this->ChooseNext(now);
  if (choice.verdict == ChoiceVerdict::kNoAdapter && this->AwaitAdapter())
    return;
  if (choice.verdict == ChoiceVerdict::kChosen && this->AskForLoad(choice, now))
    return;
  this->SendOrRefuse(choice, now);
}

void Exchange::SendOrRefuse(const Choice& choice, TimePoint now) {
  if (choice.verdict != ChoiceVerdict::kChosen) {
    this->RefuseChoice(choice);
    return;
  }
  if (this->engine != nullptr) {
    const Admission admission = this->AdmitAt(choice, now);
    this->deferred = admission.deferred;
    this->yields = admission.yields;
    // A retry after a refusal goes only where exact figures show room.
    const bool may_refuse =
        this->sends == 0 || (choice.begin_ms && this->possible_executions == 0);
    if (may_refuse && !admission.admitted) {
      char inputs[120];
      std::snprintf(inputs, sizeof(inputs), "wait_ms=%.0f best=%s",
                    choice.wait_ms, choice.endpoint->entry.id.c_str());
      this->Refuse(this->over_share ? kOverShare : "expected wait",
                   ReturnAfter(admission.retry_after), inputs);
      return;
    }
  }
  if (this->engine == nullptr && this->RefuseOverShare(choice))
    return;
  if (!this->RefuseBeyondPatience(choice))
    this->Send(choice);
}

Choice Exchange::ChooseNext(TimePoint now) {
  ChoiceInput choice_input = this->MakeChoiceInput(now);
  choice_input.jitter_seed = this->gateway->random();
  return ChooseEndpoint(this->gateway->endpoint_list, choice_input);
}

void Exchange::RefuseChoice(const Choice& choice) {
  std::string inputs =
      "tried=" + std::to_string(this->tried_endpoints.size()) +
      " endpoints=" + std::to_string(this->gateway->endpoint_list.size()) +
      " version=" + std::to_string(this->routes->version);
  if (this->adapter_outcome)
    inputs += std::string(" adapter_request=\"") +
              AdapterOutcomeName(*this->adapter_outcome) + "\"";
  if (choice.verdict == ChoiceVerdict::kNoModel) {
    this->Refuse(
        "no copy of the model",
        ReturnAfter(RetryAfterLoad(FindModel(*this->engine, this->info.model))),
        inputs);
    return;
  }
  if (choice.verdict == ChoiceVerdict::kPaused) {
    this->Refuse("endpoints paused", this->ReturnAfterAll(choice), inputs);
    return;
  }
  this->Refuse(choice.verdict == ChoiceVerdict::kNoAdapter
                   ? "no copy of the adapter"
                   : "no endpoint",
               ReturnAfter(kEndpointRetryAfter), inputs);
}

/// Returns when a caller may come back after all endpoints were tried or ruled
/// out.
ReturnTime Exchange::ReturnAfterAll(const Choice& choice) const {
  if (choice.verdict != ChoiceVerdict::kPaused)
    return ReturnAfter(kEndpointRetryAfter);
  const TimePoint now = BootNow();
  const Milliseconds patience =
      this->info.time_left.value_or(this->route->timeout);
  return ReturnAfterPause(choice.paused_since, choice.paused_until, now,
                          TimeLeft(this->received + patience, now));
}

/// Requests the adapter, at most once per exchange. Returns whether the
/// exchange now waits for it.
bool Exchange::AwaitAdapter() {
  if (this->adapter_requested || !this->gateway->request_adapter)
    return false;
  this->adapter_requested = true;
  this->Log(kAdapterAwaited, "adapter=" + Printable(this->info.adapter));
  const TimePoint now = BootNow();
  const AdapterWanted wanted{
      this->service, this->info.model, this->info.adapter,
      std::min(now + kMaxAdapterWait, now + TimeLeft(this->deadline, now) / 2)};
  this->gateway->request_adapter(
      wanted, [weak = weak_from_this()](AdapterOutcome outcome) {
        const auto self = weak.lock();
        if (self && !self->finished)
          self->OnAdapterDone(outcome);
      });
  return true;
}

void Exchange::OnAdapterDone(AdapterOutcome outcome) {
  this->adapter_outcome = outcome;
  this->gateway->metrics.CountAdapterRequest(this->service,
                                             AdapterOutcomeName(outcome));
  this->TryNextEndpoint();
}

bool Exchange::MayRetry() const {
  // What has been forwarded can only be continued after an event.
  if ((this->forwarding && !this->last_event_id) || this->body_released)
    return false;
  return IsRepeatable(*this->route) &&
         this->possible_executions < this->route->max_attempts &&
         BootNow() + kMinTimeForSend < this->deadline;
}

void Exchange::Send(const Choice& choice) {
  this->endpoint = choice.endpoint;
  this->tried_endpoints.insert(this->endpoint->entry.id);
  ++this->sends;
  this->gateway->metrics.CountSend(this->service);
  ++this->send_generation;
  this->input.clear();
  this->splitter.Clear();
  this->buffered_body.clear();
  this->head_read = false;
  this->discarded_bytes = 0;
  this->first_event_at = TimePoint();
  const bool is_exact = this->endpoint->exact_at >= this->load.asked_at;
  this->load.found_running.reset();
  if (this->load.rounds > 0 && is_exact)
    this->load.found_running =
        this->endpoint->own.running + this->endpoint->peers.running;
  this->last_bytes_at = TimePoint();
  this->expected_ms = this->yields ? choice.yielding_wait_ms : choice.wait_ms;
  this->AddWork(this->engine == nullptr ? 0
                                        : TokensToPrefill(this->info, true));
  if (this->IsSampled()) {
    char detail[64];
    std::snprintf(detail, sizeof(detail), " send=%d wait_ms=%.0f", this->sends,
                  choice.wait_ms);
    this->Log(kRequestSent, this->DescribeEndpoint() + detail);
  }
  const bool require_fresh = !IsRepeatable(*this->route);
  this->stray_answers = false;
  // Without an id, answers to earlier requests cannot be told from the own one.
  auto reused = this->info.id.empty()
                    ? nullptr
                    : this->gateway->connections.Take(this->endpoint->entry.id,
                                                      require_fresh);
  this->stream_was_used = reused != nullptr;
  if (reused) {
    this->WriteRequest(std::move(reused));
    return;
  }
  this->gateway->connections.Open(
      this->endpoint->entry.address,
      [self = shared_from_this(), current = this->send_generation,
       id = this->endpoint->entry.id](std::shared_ptr<net::TcpStream> opened) {
        if (self->finished || self->send_generation != current) {
          if (opened)
            opened->Close();
          return;
        }
        self->OnConnected(std::move(opened));
      });
}

/// Goes on with a send after its connection was opened, or could not be. The
/// endpoint may want no requests any more.
void Exchange::OnConnected(std::shared_ptr<net::TcpStream> opened) {
  const bool usable =
      TakesNewWork(*this->endpoint) && !IsPaused(*this->endpoint, BootNow());
  if (opened && (this->EndIfQuarantined() || this->caller->EndIfCallerLeft())) {
    opened->Close();
    return;
  }
  if (opened && usable) {
    this->WriteRequest(std::move(opened));
    return;
  }
  if (opened)
    opened->Close();
  else
    Eject(this->endpoint.get(), BootNow());
  const char* const reason =
      usable ? "no connection" : "endpoint left or paused before the send";
  const std::string detail = this->DescribeEndpoint();
  this->ReleaseEndpoint(false);
  this->OnNotExecuted({reason, detail, false});
}

void Exchange::WriteRequest(std::shared_ptr<net::TcpStream> connected) {
  this->stream = std::move(connected);
  this->parser.emplace(net::MessageParser::Kind::kResponse,
                       net::ParseLimits{64 * 1024, 1ULL << 40});
  if (this->head.method == "HEAD")
    this->parser->ExpectNoBody();
  this->AttachHandlers(this->stream.get());
  ++this->possible_executions;
  this->sent_at = BootNow();
  this->arrival = {this->sent_at, TimePoint()};
  SendOptions options;
  options.endpoint_id = this->endpoint->entry.id;
  options.time_left = TimeLeft(this->deadline, this->sent_at);
  if (this->engine != nullptr)
    options.urgency =
        UrgencyOf(*this->route, this->EngineRank(), this->deferred);
  options.has_teams = !this->routes->teams->teams.empty();
  if (this->team != nullptr)
    options.team = this->team->name;
  options.resume_after =
      this->last_event_id ? this->last_event_id : this->info.resume_after;
  if (this->forwarding) {
    this->gateway->metrics.CountResumedStream(this->service);
    this->Log(kStreamResumed,
              "endpoint=" + Printable(this->endpoint->entry.id) +
                  " after=" + std::to_string(this->last_event_id.value_or(0)));
  }
  net::RequestHead sent =
      this->gateway->wire->endpoint_request(this->head, options);
  const std::size_t length = SizeOf(this->body);
  if (length > 0 || this->head.method == "POST" || this->head.method == "PUT")
    sent.fields.push_back({"Content-Length", std::to_string(length)});
  WriteMessage(this->stream.get(), net::FormatHead(sent), this->body);
  this->CountHeldBytes();
  this->WatchSilence();
}

/// The endpoint has not executed the request and never will.
void Exchange::OnNotExecuted(const FailedSend& failed) {
  this->gateway->metrics.CountFailedSend(this->service, "not_run",
                                         failed.reason);
  if (this->IsSampled())
    this->Log(kSendFailed, "outcome=not-run reason=\"" +
                               std::string(failed.reason) + "\" " +
                               failed.detail);
  const bool may_continue =
      this->sends <= kMaxRefusedSends && !this->body_released &&
      (!failed.written || TakeRetry(this->gateway, this->service, BootNow()));
  if (may_continue) {
    this->TryNextEndpoint();
    return;
  }
  this->Refuse(failed.reason,
               this->ReturnAfterAll(this->ChooseNext(BootNow())));
}

/// The endpoint may have executed the request, and there is no complete answer.
void Exchange::OnSendFailed(std::string_view reason) {
  this->EndFailedSend(reason);
  this->RetryOrFail(reason);
}

void Exchange::EndFailedSend(std::string_view reason, bool blames_endpoint) {
  this->gateway->metrics.CountFailedSend(this->service, "unknown", reason);
  if (this->endpoint && blames_endpoint)
    RecordOutcome(this->endpoint.get(), false, BootNow());
  this->Log(kSendFailed,
            "outcome=unknown reason=\"" + std::string(reason) + "\" endpoint=" +
                (this->endpoint ? this->endpoint->entry.id : std::string()) +
                " " + this->DescribeProgress());
  this->ReleaseEndpoint(false);
}

void Exchange::RetryOrFail(std::string_view reason) {
  if (this->MayRetry() && TakeRetry(this->gateway, this->service, BootNow())) {
    this->TryNextEndpoint();
    return;
  }
  if (!this->AwaitContinuation())
    this->Fail(502, reason);
}

void Exchange::OnTimeout() {
  if (this->finished)
    return;
  if (this->possible_executions == 0) {
    this->Refuse("timeout", ReturnAfter(kEndpointRetryAfter));
    return;
  }
  this->Fail(504, "timeout");
}

}  // namespace coltsfootvane::gateway
