#include "entry/entry_server.h"

#include <algorithm>
#include <limits>
#include <random>
#include <utility>

#include "base/digest.h"
#include "entry/completion_call.h"
#include "entry/events.h"
#include "entry/process_limits.h"
#include "entry/service_call.h"
#include "idempotency/store_breaker.h"

namespace coltsfootvane {
namespace {

/// Approximate time until a thread of a full entry listener is free again.
constexpr int kFullRetryAfterMs = 1000;

/// Approximate time until a starting daemon has received its configuration.
constexpr int kNotReadyRetryAfterMs = 1000;

std::int64_t NewSeed() {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  // Engines take 32-bit seeds.
  std::uniform_int_distribution<std::int64_t> distribution(
      1, std::numeric_limits<std::int32_t>::max());
  return distribution(generator);
}

void RefuseFull(CallContext* context) {
  SendRefusal(context, MakeRefusal(context->tracker, 503, "entry_full",
                                   "too many requests are in progress",
                                   kFullRetryAfterMs));
}

/// Counts one request as in progress for the lifetime of this object, unless
/// `limit` is reached.
class ProgressCount {
 public:
  ProgressCount(std::atomic<std::size_t>* count,
                std::size_t limit,
                Metrics* metrics)
      : count(count), metrics(metrics) {
    this->admitted = this->count->fetch_add(1) < limit;
    if (this->admitted)
      this->metrics->ChangeInProgress(1);
    else
      this->count->fetch_sub(1);
  }
  ~ProgressCount() {
    if (!this->admitted)
      return;
    this->count->fetch_sub(1);
    this->metrics->ChangeInProgress(-1);
  }
  ProgressCount(const ProgressCount&) = delete;
  ProgressCount& operator=(const ProgressCount&) = delete;

  bool Admitted() const { return this->admitted; }

 private:
  std::atomic<std::size_t>* count;
  Metrics* metrics;
  bool admitted = false;
};

}  // namespace

EntryServer::EntryServer(EntryDependencies dependencies) {
  this->shared.records =
      WithStoreBreaker(MakeRecordStore(dependencies.platform));
  this->shared.dependencies = std::move(dependencies);
}

EntryServer::~EntryServer() {
  this->Stop();
}

Result<bool> EntryServer::Start() {
  const Settings& settings = this->shared.dependencies.settings;
  http::ServerOptions options;
  options.listen = settings.entry_listen;
  options.threads = settings.entry_threads;
  options.on_headers_cut = [](int count) {
    LogEvent(kHeadersCut, "connections=" + std::to_string(count));
  };
  options.on_callers_ended = [](int count) {
    LogEvent(kCallersEnded, "connections=" + std::to_string(count));
  };
  options.max_body_bytes = settings.entry_max_body_bytes;
  options.bounds =
      intake::BoundsFor(MemoryMb(settings), ConnectionDescriptors(settings));
  Result<std::unique_ptr<http::Server>> started = http::Server::Start(
      options, [this](const http::Request& request, http::ReplyStream& reply) {
        this->Handle(request, reply);
      });
  if (!started) {
    LogEvent(kListenerFailed, started.error().message);
    return started.error();
  }
  this->server = std::move(started.value());
  return true;
}

void EntryServer::BeginDrain() {
  this->shared.draining.store(true);
}

std::size_t EntryServer::InProgress() const {
  return this->in_progress.load();
}

void EntryServer::Stop() {
  this->shared.draining.store(true);
  this->shared.stopping.store(true);
  this->server.reset();
}

std::size_t EntryServer::MaxInProgress() const {
  const Settings& settings = this->shared.dependencies.settings;
  if (settings.entry_threads <= settings.entry_refusal_threads)
    return 1;
  return settings.entry_threads - settings.entry_refusal_threads;
}

void EntryServer::Handle(const http::Request& request,
                         http::ReplyStream& reply) {
  CallContext context;
  context.shared = &this->shared;
  context.request = &request;
  context.reply = &reply;
  context.arrival = Clock::now();
  try {
    context.request_id = RandomId();
    const ProgressCount progress(&this->in_progress, this->MaxInProgress(),
                                 this->shared.dependencies.metrics);
    if (progress.Admitted()) {
      this->HandleRouted(&context);
      return;
    }
    RefuseFull(&context);
  } catch (const std::exception& error) {
    // Aborting the connection lets the caller see that the stream is
    // incomplete.
    if (context.streaming) {
      reply.Abort();
      return;
    }
    SendRefusal(&context, MakeRefusal(context.tracker, 500, "internal_error",
                                      error.what(), kFullRetryAfterMs));
  }
}

void EntryServer::HandleRouted(CallContext* context) {
  const std::shared_ptr<const InForce> in_force =
      this->shared.dependencies.in_force->Get();
  if (in_force->version == 0) {
    SendRefusal(context, MakeRefusal(context->tracker, 503, "not_ready",
                                     "the daemon has no configuration yet",
                                     kNotReadyRetryAfterMs));
    return;
  }
  const Configuration& configuration = in_force->configuration;
  const std::optional<NotSentProof> proof = context->tracker.Proof();
  std::variant<RoutedCall, Refusal> routed =
      RouteRequest(configuration, *context->request, NewSeed(), *proof);
  if (const Refusal* const refusal = std::get_if<Refusal>(&routed)) {
    SendRefusal(context, *refusal);
    return;
  }
  context->call = std::move(std::get<RoutedCall>(routed));
  if (context->call.kind == CallKind::kModelList) {
    SendResponse(context, {200,
                           {{"Content-Type", "application/json"}},
                           FormatModelList(configuration)});
    CountResult(*context, "complete");
    return;
  }
  const ClassAdmission admission(&this->admissions, configuration.classes,
                                 this->MaxInProgress(), context->call.priority);
  if (!admission.Admitted()) {
    RefuseFull(context);
    return;
  }
  const int completion_ms =
      ClassOf(configuration, context->call.priority).completion_ms;
  context->deadline = context->arrival + Milliseconds{completion_ms};
  this->RunCall(context);
}

void EntryServer::RunCall(CallContext* context) {
  {
    std::lock_guard<std::mutex> lock(this->shared.retry_mutex);
    CreditRetries(&this->shared.retries, context->arrival);
  }
  if (context->call.kind == CallKind::kCompletion)
    CompletionCall(context).Run();
  else
    ServiceCall(context).Run();
}

}  // namespace coltsfootvane
