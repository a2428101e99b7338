#include "standins/engine_standin/generator.h"

#include <algorithm>
#include <charconv>
#include <thread>

#include "standins/engine_standin/expected_token.h"

namespace coltsfootvane::standins {
namespace {

using Json = nlohmann::json;

// Bounds the time until a caller who has gone is noticed.
constexpr Milliseconds kPollInterval{10};

bool IsChat(const std::string& path) {
  return path == "/v1/chat/completions";
}

Json MakeChoice(const std::string& path, const std::string& text, bool whole) {
  Json choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (!IsChat(path))
    choice["text"] = text;
  else if (whole)
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  else
    choice["delta"] = {{"content", text}};
  return choice;
}

std::int64_t ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

Generator::Generator(const EngineOptions& options, ItemStore* items)
    : options(options), items(items) {}

void Generator::Serve(const http::Request& request, http::ReplyStream& reply) {
  Job job;
  job.path = request.path;
  job.request_id = http::FindHeader(request.headers, "X-Request-Id");
  job.first =
      ParseNumber(http::FindHeader(request.headers, "Last-Event-ID")) + 1;
  try {
    const Json body = Json::parse(request.body);
    job.model = body.at("model").get<std::string>();
    job.stream = body.value("stream", false);
    job.priority = body.value("priority", 0);
    job.last = body.value("max_tokens", this->options.tokens);
    job.text_key = TextKey(body);
  } catch (const Json::exception&) {
    this->Refuse(400, job.request_id, "malformed body", reply);
    return;
  }
  if (this->TakeFailure()) {
    this->Refuse(503, job.request_id, "injected failure", reply);
    return;
  }
  if (!this->items->Acquire(job.model)) {
    this->Refuse(404, job.request_id, "model is not ready", reply);
    return;
  }
  this->TakeCut(&job);
  this->Start(job.request_id);
  if (this->WaitForSlot(job, reply)) {
    this->Generate(job, reply);
    this->LeaveSlot();
  }
  this->items->Release(job.model);
}

void Generator::Generate(const Job& job, http::ReplyStream& reply) {
  if (job.stream && !reply.Begin(200, this->ReplyHeaders(job.request_id,
                                                         "text/event-stream")))
    return;
  std::string text;
  TimePoint next = Clock::now() + Milliseconds{this->options.first_token_ms};
  Json chunk = {{"id", job.request_id},
                {"object", IsChat(job.path) ? "chat.completion.chunk"
                                            : "text_completion"},
                {"model", job.model}};
  for (std::int64_t n = job.first; n <= job.last; ++n) {
    if (!this->SleepUntil(next, reply))
      return;
    next += this->TokenTime();
    if (job.cut_after > 0 && n - job.first >= job.cut_after)
      return;
    const std::string token = TokenOf(job.text_key, n);
    text += token;
    if (!job.stream)
      continue;
    chunk["choices"] = Json::array({MakeChoice(job.path, token, false)});
    if (n == job.last)
      chunk["choices"][0]["finish_reason"] = "length";
    if (!reply.Write("id: " + std::to_string(n) + "\ndata: " + chunk.dump() +
                     "\n\n"))
      return;
    std::lock_guard<std::mutex> lock(this->mutex);
    ++this->tokens_sent;
  }
  if (job.stream) {
    if (reply.Write("data: [DONE]\n\n"))
      reply.End();
    return;
  }
  chunk["object"] = IsChat(job.path) ? "chat.completion" : "text_completion";
  chunk["choices"] = Json::array({MakeChoice(job.path, text, true)});
  chunk["choices"][0]["finish_reason"] = "length";
  reply.Send({200, this->ReplyHeaders(job.request_id, "application/json"),
              chunk.dump()});
}

bool Generator::SleepUntil(TimePoint time, const http::ReplyStream& reply) {
  for (;;) {
    if (reply.CallerGone()) {
      std::lock_guard<std::mutex> lock(this->mutex);
      ++this->cancelled;
      return false;
    }
    const TimePoint now = Clock::now();
    if (now >= time)
      return true;
    std::this_thread::sleep_until(std::min(time, now + kPollInterval));
  }
}

Milliseconds Generator::TokenTime() const {
  std::lock_guard<std::mutex> lock(this->mutex);
  const int over_knee = std::max(this->running, this->options.knee);
  return Milliseconds{this->options.token_ms * over_knee / this->options.knee};
}

bool Generator::WaitForSlot(const Job& job, const http::ReplyStream& reply) {
  std::unique_lock<std::mutex> lock(this->mutex);
  const std::pair<int, std::int64_t> place{job.priority, this->arrivals++};
  this->queue.insert(place);
  for (;;) {
    const bool first = *this->queue.begin() == place;
    if (first && this->running < this->options.slots)
      break;
    this->freed.wait_for(lock, kPollInterval);
    if (!reply.CallerGone())
      continue;
    this->queue.erase(place);
    ++this->cancelled;
    return false;
  }
  this->queue.erase(place);
  ++this->running;
  this->freed.notify_all();
  return true;
}

void Generator::LeaveSlot() {
  std::lock_guard<std::mutex> lock(this->mutex);
  --this->running;
  this->freed.notify_all();
}

void Generator::Start(const std::string& request_id) {
  std::lock_guard<std::mutex> lock(this->mutex);
  ++this->started[request_id];
  if (!this->leaving)
    return;
  this->last_start_after_leaving_ms = std::chrono::duration_cast<Milliseconds>(
                                          Clock::now() - this->leaving_since)
                                          .count();
}

bool Generator::TakeFailure() {
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->fail_requests == 0)
    return false;
  --this->fail_requests;
  return true;
}

void Generator::TakeCut(Job* job) {
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->cut_streams == 0 || !job->stream)
    return;
  --this->cut_streams;
  job->cut_after = this->cut_streams_after;
}

void Generator::SetFaults(const Json& faults) {
  std::lock_guard<std::mutex> lock(this->mutex);
  this->fail_requests = faults.value("fail_requests", this->fail_requests);
  this->cut_streams_after =
      faults.value("cut_streams_after", this->cut_streams_after);
  if (faults.contains("cut_streams_after"))
    this->cut_streams = faults.value("cut_streams", 1);
  const bool now_leaving = faults.value("leaving", this->leaving);
  if (now_leaving && !this->leaving)
    this->leaving_since = Clock::now();
  this->leaving = now_leaving;
}

bool Generator::Leaving() const {
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->leaving;
}

int Generator::Running() const {
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->running;
}

int Generator::Waiting() const {
  std::lock_guard<std::mutex> lock(this->mutex);
  return static_cast<int>(this->queue.size());
}

void Generator::AddStats(Json* stats) const {
  std::lock_guard<std::mutex> lock(this->mutex);
  (*stats)["running"] = this->running;
  (*stats)["waiting"] = this->queue.size();
  (*stats)["started"] = this->started;
  (*stats)["cancelled"] = this->cancelled;
  (*stats)["tokens_sent"] = this->tokens_sent;
  (*stats)["leaving"] = this->leaving;
  (*stats)["last_start_after_leaving_ms"] = this->last_start_after_leaving_ms;
}

std::vector<http::Header> Generator::ReplyHeaders(
    const std::string& request_id,
    const char* content_type) const {
  std::vector<http::Header> headers = {{"Content-Type", content_type},
                                       {"X-Request-Id", request_id}};
  if (this->Leaving())
    headers.push_back({"X-Leaving", "1"});
  return headers;
}

void Generator::Refuse(int status,
                       const std::string& request_id,
                       const char* message,
                       http::ReplyStream& reply) const {
  http::Response response;
  response.status = status;
  response.headers = this->ReplyHeaders(request_id, "application/json");
  if (status == 503)
    response.headers.push_back({"Retry-After", "1"});
  response.body = Json{{"error", {{"message", message}}}}.dump();
  reply.Send(response);
}

}  // namespace coltsfootvane::standins
