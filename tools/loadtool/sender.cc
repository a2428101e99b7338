#include "tools/loadtool/sender.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "endpoint/sse_parser.h"
#include "http/client.h"

namespace coltsfootvane::loadtool {
namespace {

using nlohmann::json;

constexpr Milliseconds kConnectTime{500};
/// A send that starts later than this is noted.
constexpr Milliseconds kLateAfter{20};
/// The balancer passes over this many entries that refuse the connection.
constexpr int kMaxEntriesTried = 4;

double SecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

TimePoint IntendedStart(const Target& target, const Arrival& arrival) {
  return target.start + std::chrono::duration_cast<Clock::duration>(
                            std::chrono::duration<double>(arrival.at_s));
}

http::Request MakeRequest(const SceneCaller& caller, const Arrival& arrival) {
  json body = {{"model", arrival.model},
               {"stream", true},
               {"max_tokens", caller.max_tokens}};
  if (caller.path == "/v1/chat/completions")
    body["messages"] = {{{"role", "user"}, {"content", arrival.prompt}}};
  else
    body["prompt"] = arrival.prompt;
  http::Request request;
  request.method = "POST";
  request.path = caller.path;
  request.headers = {{"Authorization", "Bearer " + caller.api_key},
                     {"Content-Type", "application/json"}};
  request.body = body.dump();
  return request;
}

/// One request and its answer.
class Exchange {
 public:
  Exchange(Target* target, Priority priority, TimePoint intended)
      : target(target), intended(intended) {
    this->outcome.priority = priority;
  }

  Outcome Run(const http::Request& request);

 private:
  Result<int> Send(const http::Request& request);
  bool OnData(std::string_view data);
  bool OnEvent(const endpoint::StreamEvent& event);
  void Finish(const Result<int>& result);
  std::string ReasonOfBody() const;

  Target* target;
  TimePoint intended;
  TimePoint last_token;
  endpoint::SseParser parser;
  std::string body;  ///< Of an answer that is no stream.
  int status = 0;
  bool done = false;
  Outcome outcome;
};

Outcome Exchange::Run(const http::Request& request) {
  this->outcome.late = Clock::now() > this->intended + kLateAfter;
  Result<int> result = this->Send(request);
  for (int tried = 1; tried < kMaxEntriesTried && !result &&
                      result.error().code == ErrorCode::kNotSent;
       ++tried)
    result = this->Send(request);
  this->outcome.end_s = SecondsBetween(this->intended, Clock::now());
  this->Finish(result);
  return std::move(this->outcome);
}

Result<int> Exchange::Send(const http::Request& request) {
  const std::size_t turn = this->target->next_entry.fetch_add(1);
  http::CallOptions options;
  options.peer = this->target->entries[turn % this->target->entries.size()];
  options.connect_deadline = Clock::now() + kConnectTime;
  options.deadline = this->target->end;
  http::StreamHandler handler;
  handler.on_header = [this](int code, gsl::span<const http::Header>) {
    this->status = code;
    return true;
  };
  handler.on_data = [this](std::string_view data) {
    return this->OnData(data);
  };
  return http::StreamCall(options, request, handler);
}

bool Exchange::OnData(std::string_view data) {
  if (this->status != 200) {
    this->body.append(data);
    return true;
  }
  return this->parser.Feed(data, [this](const endpoint::StreamEvent& event) {
    return this->OnEvent(event);
  });
}

bool Exchange::OnEvent(const endpoint::StreamEvent& event) {
  if (event.data == "[DONE]") {
    this->done = true;
    return true;
  }
  // The error event that ends a broken stream has no id.
  if (event.id == 0) {
    this->body = event.data;
    return true;
  }
  const TimePoint now = Clock::now();
  if (this->outcome.first_token_s < 0)
    this->outcome.first_token_s = SecondsBetween(this->intended, now);
  else
    this->outcome.gaps_s.push_back(SecondsBetween(this->last_token, now));
  this->last_token = now;
  return true;
}

std::string Exchange::ReasonOfBody() const {
  const json parsed = json::parse(this->body, nullptr, false);
  if (parsed.is_object() && parsed.contains("error") &&
      parsed["error"].is_object())
    return parsed["error"].value("type", "unnamed");
  return "status " + std::to_string(this->status);
}

void Exchange::Finish(const Result<int>& result) {
  if (result && this->done) {
    this->outcome.ending = Ending::kCompleted;
    return;
  }
  const bool refused = this->status == 503 || this->status == 429;
  if (result && refused) {
    this->outcome.ending = Ending::kRefused;
    this->outcome.reason = this->ReasonOfBody();
    return;
  }
  if (!result && Clock::now() >= this->target->end) {
    this->outcome.ending = Ending::kUnfinished;
    return;
  }
  this->outcome.ending = Ending::kFailed;
  this->outcome.reason = result ? this->ReasonOfBody() : result.error().message;
}

/// Threads take arrivals in turn and each sleeps until its own is due.
void Work(const Scene& scene,
          const SceneCaller& caller,
          const std::vector<Arrival>& arrivals,
          std::atomic<std::size_t>* next,
          Target* target,
          Results* results) {
  for (;;) {
    const std::size_t index = next->fetch_add(1);
    if (index >= arrivals.size())
      return;
    const Arrival& arrival = arrivals[index];
    const TimePoint intended = IntendedStart(*target, arrival);
    std::this_thread::sleep_until(intended);
    Exchange exchange(target, caller.priority, intended);
    results->CountSent();
    const Outcome outcome = exchange.Run(MakeRequest(caller, arrival));
    if (arrival.at_s >= scene.warm_up_s)
      results->Add(outcome);
  }
}

}  // namespace

void RunCaller(const Scene& scene,
               const SceneCaller& caller,
               Target* target,
               Results* results) {
  const std::vector<Arrival> arrivals = MakeSchedule(scene, caller);
  std::atomic<std::size_t> next{0};
  const std::size_t count =
      std::min(static_cast<std::size_t>(caller.threads), arrivals.size());
  std::vector<std::thread> threads;
  threads.reserve(count);
  for (std::size_t i = 0; i < count; ++i)
    threads.emplace_back(
        [&] { Work(scene, caller, arrivals, &next, target, results); });
  for (std::thread& thread : threads)
    thread.join();
}

}  // namespace coltsfootvane::loadtool
