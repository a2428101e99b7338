#include "standins/service_standin/service_standin.h"

#include <thread>

#include "base/clock.h"
#include "base/digest.h"

namespace coltsfootvane::standins {
namespace {

using Json = nlohmann::json;

}  // namespace

void ServiceStandin::Handle(const http::Request& request,
                            http::ReplyStream& reply) {
  if (request.path == "/control/faults") {
    this->HandleFaults(request, reply);
    return;
  }
  if (request.path == "/control/stats") {
    reply.Send(
        {200, {{"Content-Type", "application/json"}}, this->Stats().dump()});
    return;
  }
  this->HandleCall(request, reply);
}

void ServiceStandin::HandleCall(const http::Request& request,
                                http::ReplyStream& reply) {
  const Plan plan = this->TakePlan(request.method == "POST");
  http::Response response;
  response.headers = {{"Content-Type", "application/json"},
                      {"X-Request-Id", std::string(http::FindHeader(
                                           request.headers, "X-Request-Id"))}};
  if (plan.leaving)
    response.headers.push_back({"X-Leaving", "1"});
  if (plan.refuse) {
    response.status = 503;
    response.headers.push_back({"Retry-After", "1"});
    response.body = R"({"error":"injected refusal"})";
    reply.Send(response);
    return;
  }
  std::this_thread::sleep_for(Milliseconds{this->work_ms + plan.delay_ms});
  response.status = 200;
  response.body = this->Perform(request).dump();
  if (plan.lose_response)
    reply.Abort();
  else
    reply.Send(response);
}

ServiceStandin::Plan ServiceStandin::TakePlan(bool effect) {
  std::lock_guard<std::mutex> lock(this->mutex);
  Plan plan;
  plan.leaving = this->leaving;
  plan.delay_ms = this->delay_ms;
  if (!effect)
    return plan;
  plan.refuse = this->refuse_first > 0;
  if (plan.refuse) {
    --this->refuse_first;
    return plan;
  }
  plan.lose_response = this->lose_response > 0;
  if (plan.lose_response)
    --this->lose_response;
  return plan;
}

Json ServiceStandin::Perform(const http::Request& request) {
  std::lock_guard<std::mutex> lock(this->mutex);
  if (request.method != "POST") {
    ++this->lookups;
    return {{"lookup", request.path}};
  }
  const std::string key(http::FindHeader(request.headers, "Idempotency-Key"));
  const int effect = ++this->effects[key];
  ++this->requests[std::string(
      http::FindHeader(request.headers, "X-Request-Id"))];
  ++this->total;
  Json answer = {
      {"effect", effect}, {"key", key}, {"echo", DigestHex(request.body)}};
  if (this->pad_bytes > 0)
    answer["pad"] = std::string(this->pad_bytes, 'x');
  return answer;
}

Json ServiceStandin::Stats() {
  std::lock_guard<std::mutex> lock(this->mutex);
  Json repeated = Json::array();
  for (const auto& [key, count] : this->effects) {
    if (count > 1)
      repeated.push_back(key);
  }
  return {{"effects", this->effects},
          {"requests", this->requests},
          {"total", this->total},
          {"lookups", this->lookups},
          {"repeated", repeated}};
}

void ServiceStandin::HandleFaults(const http::Request& request,
                                  http::ReplyStream& reply) {
  const Json faults = Json::parse(request.body, nullptr, false);
  if (!faults.is_object()) {
    reply.Send({400, {}, "malformed body"});
    return;
  }
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->lose_response = faults.value("lose_response", this->lose_response);
    this->refuse_first = faults.value("refuse_first", this->refuse_first);
    this->delay_ms = faults.value("delay_ms", this->delay_ms);
    this->pad_bytes = faults.value("pad_bytes", this->pad_bytes);
    this->leaving = faults.value("leaving", this->leaving);
  }
  reply.Send({200, {{"Content-Type", "application/json"}}, "{}"});
}

}  // namespace coltsfootvane::standins
