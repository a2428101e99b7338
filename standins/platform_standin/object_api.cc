#include "standins/platform_standin/object_api.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace coltsfootvane::standin {
namespace {

/// A watch whose caller has gone is noticed within this time.
constexpr Milliseconds kCallerCheckInterval{100};

Error Unavailable() {
  return {ErrorCode::kUnknown, "platform is unavailable"};
}

}  // namespace

ObjectApi::ObjectApi(const ObjectApiOptions& options)
    : options(options),
      store(options.log_size),
      counter(options.writes_per_s, options.reads_per_s) {}

void ObjectApi::Handle(const http::Request& request, http::ReplyStream& reply) {
  if (request.path.rfind("/control/", 0) == 0) {
    this->HandleControl(request, reply);
    return;
  }
  const Result<ObjectCall> call = ParseObjectCall(request);
  if (!call) {
    reply.Send(ErrorResponse(call.error()));
    return;
  }
  if (!this->Admit(call.value(), reply))
    return;
  if (IsWrite(call.value().verb))
    this->HandleWrite(call.value(), reply);
  else if (call.value().verb == Verb::kWatch)
    this->HandleWatch(call.value(), reply);
  else
    this->HandleRead(call.value(), reply);
}

void ObjectApi::Stop() {
  std::lock_guard<std::mutex> lock(this->mutex);
  this->stopping = true;
  for (auto& [kind, condition] : this->changed)
    condition.notify_all();
}

void ObjectApi::HandleControl(const http::Request& request,
                              http::ReplyStream& reply) {
  if (request.path == "/control/faults" && request.method == "POST") {
    reply.Send(this->SetFaults(request));
    return;
  }
  if (request.path != "/control/calls") {
    reply.Send(ErrorResponse({ErrorCode::kNotFound, "no such path"}));
    return;
  }
  std::lock_guard<std::mutex> lock(this->mutex);
  if (request.method == "DELETE")
    this->counter.Reset();
  reply.Send(JsonResponse(200, this->counter.FormatJson()));
}

http::Response ObjectApi::SetFaults(const http::Request& request) {
  Result<Faults> parsed = ParseFaults(request.body);
  if (!parsed)
    return ErrorResponse(parsed.error());
  std::lock_guard<std::mutex> lock(this->mutex);
  this->faults = std::move(parsed).value();
  // Waiting watches are cut by an outage.
  for (auto& [kind, condition] : this->changed)
    condition.notify_all();
  return JsonResponse(200, "{}");
}

bool ObjectApi::Admit(const ObjectCall& call, http::ReplyStream& reply) {
  const std::string& kind = call.object.kind;
  const CallClass call_class =
      IsWrite(call.verb) ? CallClass::kWrite : CallClass::kRead;
  std::unique_lock<std::mutex> lock(this->mutex);
  const bool within_rate =
      this->counter.Count(kind, VerbName(call.verb), call_class, Clock::now());
  const bool has_faults = HasFaults(this->faults, kind);
  if (has_faults && this->faults.outage) {
    reply.Send(ErrorResponse(Unavailable()));
    return false;
  }
  if (!within_rate) {
    reply.Send(ErrorResponse({ErrorCode::kRateLimited, "above the rate"}));
    return false;
  }
  const Milliseconds delay = has_faults ? this->faults.delay : Milliseconds{0};
  lock.unlock();
  std::this_thread::sleep_for(delay);
  return true;
}

void ObjectApi::HandleRead(const ObjectCall& call, http::ReplyStream& reply) {
  const std::string& kind = call.object.kind;
  std::lock_guard<std::mutex> lock(this->mutex);
  const bool stale = this->faults.stale_reads && kind == objectapi::kConfigKind;
  if (call.verb == Verb::kList) {
    objectapi::ObjectList list =
        stale ? this->store.ListOldest(kind) : this->store.List(kind);
    TakePage(call, &list);
    reply.Send(JsonResponse(200, FormatStoredList(list)));
    return;
  }
  const Result<objectapi::Object> object =
      stale ? this->store.ReadOldest(kind, call.object.name)
            : this->store.Read(kind, call.object.name);
  reply.Send(object ? JsonResponse(200, FormatStoredObject(object.value()))
                    : ErrorResponse(object.error()));
}

void ObjectApi::HandleWatch(const ObjectCall& call, http::ReplyStream& reply) {
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    const Result<objectapi::ChangeBatch> changes = this->store.ChangesAfter(
        call.object.kind, call.object.resource_version);
    if (!changes) {
      reply.Send(ErrorResponse(changes.error()));
      return;
    }
    this->counter.StartWatch();
  }
  const std::vector<http::Header> headers = {
      {"Content-Type", "application/json"}};
  if (!reply.Begin(200, headers) || !this->SendChanges(call, reply))
    reply.Abort();
  else
    reply.End();
  std::lock_guard<std::mutex> lock(this->mutex);
  this->counter.EndWatch();
}

bool ObjectApi::SendChanges(const ObjectCall& call, http::ReplyStream& reply) {
  const std::string& kind = call.object.kind;
  const auto asked =
      call.watch_time.count() > 0 ? call.watch_time : this->options.watch_time;
  const TimePoint end =
      Clock::now() + std::min(asked, this->options.watch_time);
  std::int64_t version = call.object.resource_version;
  std::unique_lock<std::mutex> lock(this->mutex);
  std::condition_variable& condition = this->changed[kind];
  while (!this->stopping && Clock::now() < end) {
    if (this->faults.outage && HasFaults(this->faults, kind))
      return false;
    const bool stale =
        this->faults.stale_reads && kind == objectapi::kConfigKind;
    const Result<objectapi::ChangeBatch> batch =
        this->store.ChangesAfter(kind, version);
    if (!batch)
      return false;
    if (!stale && !batch.value().changes.empty()) {
      version = batch.value().resource_version;
      lock.unlock();
      if (!reply.Write(FormatWatchLines(batch.value().changes)))
        return false;
      lock.lock();
      continue;
    }
    condition.wait_until(lock,
                         std::min(end, Clock::now() + kCallerCheckInterval));
    if (reply.CallerGone())
      return false;
  }
  return true;
}

void ObjectApi::HandleWrite(const ObjectCall& call, http::ReplyStream& reply) {
  std::unique_lock<std::mutex> lock(this->mutex);
  const WriteFault fault = TakeWriteFault(&this->faults, call.object.kind);
  if (fault == WriteFault::kDelayEffect) {
    this->ApplyLater(call, this->faults.effect_delay);
    reply.Abort();
    return;
  }
  const Result<objectapi::Object> stored = this->Apply(call);
  lock.unlock();
  if (fault == WriteFault::kLoseResponse) {
    reply.Abort();
    return;
  }
  const int success = call.verb == Verb::kCreate ? 201 : 200;
  reply.Send(stored ? JsonResponse(success, FormatStoredObject(stored.value()))
                    : ErrorResponse(stored.error()));
}

Result<objectapi::Object> ObjectApi::Apply(const ObjectCall& call) {
  const bool creates = call.verb == Verb::kCreate;
  const bool updates = call.verb == Verb::kUpdate;
  Result<objectapi::Object> stored = creates ? this->store.Create(call.object)
                                     : updates
                                         ? this->store.Update(call.object)
                                         : this->store.Delete(call.object);
  if (stored)
    this->changed[call.object.kind].notify_all();
  return stored;
}

void ObjectApi::ApplyLater(const ObjectCall& call, Milliseconds delay) {
  this->delayed_writes.push_back(
      std::async(std::launch::async, [this, call, delay] {
        std::this_thread::sleep_for(delay);
        std::lock_guard<std::mutex> lock(this->mutex);
        static_cast<void>(this->Apply(call));
      }));
}

}  // namespace coltsfootvane::standin
