#include "support/prompt_fleet.h"

#include <cstdint>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/admission.h"
#include "gateway/choice.h"
#include "gateway/endpoint.h"
#include "gateway/traffic.h"

namespace coltsfootvane::testing {
namespace {

using gateway::Endpoint;
using gateway::EndpointPtr;
using gateway::Route;

constexpr int kSlots = 12;
constexpr int kEngines = 6;
constexpr int kDaemons = 6;
constexpr int kDayMs = 20'000;
/// An engine step, and what it reads between the tokens of its batch.
constexpr double kStepMs = 4.7;
constexpr double kReadTokensPerMs = 38;
constexpr int kChunkTokens = 512;

/// A kind of request.
struct Kind {
  int rank, tokens, shared_tokens, events, objective_ms, deadline_ms;
};
const Kind kKinds[] = {{0, 826, 198, 36, 450, 10'000},
                       {1, 2368, 568, 3, 550, 3000}};

struct Request {
  int kind = 0, daemon = 0, engine = 0, urgency = 0;
  bool yields = false, has_event = false;
  prefill::Prompt prompt;
  int under_way = 0;  ///< Prompt tokens at its engine.
  std::uint64_t prefix = 0;
  double arrived_ms = 0;
  int unread = 0, events = 0;
};

struct Engine {
  std::list<Request> waiting, running;
  std::set<std::uint64_t> prefixes;
  double free_ms = 0;
};

struct Daemon {
  std::vector<EndpointPtr> endpoints;
  gateway::Traffic traffic;
};

/// Engines that read prompts in chunks between the tokens of their batch, and
/// daemons that place requests there. `aware`: long and short prompts are
/// weighed against each other.
class Fleet {
 public:
  Fleet(const PromptDay& of, bool is_aware)
      : day(of), aware(is_aware), random(of.seed) {
    this->spec.slots = kSlots;
    this->spec.models.resize(1);
    for (Daemon& daemon : this->daemons) {
      for (int i = 0; i < kEngines; ++i) {
        daemon.endpoints.push_back(std::make_shared<Endpoint>());
        daemon.endpoints.back()->entry.id = "e" + std::to_string(i);
        daemon.endpoints.back()->entry.service = "s";
        daemon.endpoints.back()->entry.models = {{"m", {}}};
      }
    }
  }

  PromptOutcome Run() {
    for (this->now = 0; this->now < kDayMs; ++this->now) {
      this->Arrivals();
      if (this->day.report_ms == 0 || this->now % this->day.report_ms == 0)
        this->Report();
      for (Engine& engine : this->engines) {
        while (engine.free_ms <= this->now)
          this->Step(&engine);
      }
    }
    return this->outcome;
  }

 private:
  void Arrivals() {
    const double per_ms =
        this->day.load * kEngines * CapacityPerMs(this->day.long_share);
    const double long_ms = per_ms * this->day.long_share;
    this->Arrive(0, per_ms - long_ms);
    constexpr int kBurstEveryMs = 2000;
    if (!this->day.bursts)
      this->Arrive(1, long_ms);
    else if (this->now % kBurstEveryMs < kBurstEveryMs / 10)
      this->Arrive(1, long_ms * 10);
  }

  /// Requests that one engine serves, as measured with this model.
  static double CapacityPerMs(double long_share) {
    constexpr double kShortPerMs = 0.042 * 0.82;
    constexpr double kLongPerMs = 0.0165;
    return 1 / ((1 - long_share) / kShortPerMs + long_share / kLongPerMs);
  }

  void Arrive(int kind, double per_ms) {
    std::poisson_distribution<int> arrivals(per_ms);
    for (int count = arrivals(this->random); count > 0; --count)
      this->Place(kind);
  }

  void Place(int number);

  void Report() {
    for (int e = 0; e < kEngines; ++e) {
      gateway::EndpointWork sum;
      for (const Daemon& daemon : this->daemons) {
        const auto& own = daemon.endpoints[e]->own;
        sum.running += own.running;
        sum.prompt_tokens += own.prompt_tokens;
        sum.yielding += own.yielding;
        sum.yielding_tokens += own.yielding_tokens;
      }
      for (Daemon& daemon : this->daemons) {
        const auto& own = daemon.endpoints[e]->own;
        daemon.endpoints[e]->peers = {
            sum.running - own.running, sum.prompt_tokens - own.prompt_tokens,
            sum.yielding - own.yielding,
            sum.yielding_tokens - own.yielding_tokens};
      }
    }
  }

  void Step(Engine* engine);
  void Admit(Engine* engine);

  gateway::EndpointWork& OwnOf(const Request& request) {
    return this->daemons[request.daemon].endpoints[request.engine]->own;
  }
  void Count(const Request& request, int sign) {
    this->OwnOf(request).running += sign;
    this->OwnOf(request).yielding += request.yields ? sign : 0;
  }
  void CountPrompt(const Request& request, int sign) {
    this->OwnOf(request).prompt_tokens += sign * request.prompt.tokens;
    this->OwnOf(request).yielding_tokens +=
        request.yields ? sign * request.prompt.tokens : 0;
  }
  void End(const Request& request) {
    if (!request.has_event)
      this->CountPrompt(request, -1);
    this->Count(request, -1);
  }

  PromptDay day;
  bool aware;
  gateway::EngineSpec spec;
  Engine engines[kEngines];
  Daemon daemons[kDaemons];
  PromptOutcome outcome;
  std::minstd_rand random;
  int now = 0;
  std::uint64_t next_prefix = 1'000'000;  ///< Of no other request.
};

void Fleet::Place(int number) {
  const Kind& kind = kKinds[number];
  ++this->outcome.asked[number];
  Request request;
  request.kind = number;
  request.daemon = static_cast<int>(this->random() % kDaemons);
  request.arrived_ms = this->now;
  constexpr int kPrefixes = 20;
  request.prefix = this->day.held
                       ? kPrefixes * static_cast<std::uint64_t>(number) +
                             this->random() % kPrefixes
                       : this->next_prefix++;
  Daemon& daemon = this->daemons[request.daemon];
  gateway::RequestInfo info;
  info.model = "m";
  info.prompt_tokens = kind.tokens;
  const int common = kind.shared_tokens / 4;
  info.prompt = {{1, common},
                 {request.prefix, kind.shared_tokens - common},
                 {this->next_prefix++, kind.tokens - kind.shared_tokens}};
  Route route;
  route.rank = kind.rank;
  route.target_latency = Milliseconds(kind.objective_ms);
  route.timeout = Milliseconds(kind.deadline_ms);
  const TimePoint time = TimePoint() + Milliseconds(this->now);
  request.prompt = {gateway::TokensToPrefill(info, true),
                    static_cast<double>(kind.objective_ms), kind.rank};
  if (this->aware)
    RecordPrompt(&daemon.traffic.mixes["s"], request.prompt, time);
  gateway::ChoiceInput input;
  input.service = "s";
  input.engine = &this->spec;
  input.request = &info;
  input.now = time;
  input.report_age = Milliseconds(this->day.report_ms);
  input.run_ms = RunMs(daemon.traffic, "s");
  input.jitter_seed = this->random();
  input.objective_ms = kind.objective_ms;
  input.mix = MixOf(daemon.traffic, "s");
  const gateway::Choice choice = ChooseEndpoint(daemon.endpoints, input);
  const gateway::Admission admission =
      gateway::Admit(route, {choice.wait_ms, choice.yielding_wait_ms},
                     route.timeout, std::nullopt);
  if (!admission.admitted)
    return;
  request.yields = admission.yields;
  const int rank =
      input.mix == nullptr ? kind.rank : RankOf(*input.mix, request.prompt);
  request.urgency = UrgencyOf(route, rank, admission.deferred);
  for (int e = 0; e < kEngines; ++e) {
    if (daemon.endpoints[e] == choice.endpoint)
      request.engine = e;
  }
  this->Count(request, 1);
  this->CountPrompt(request, 1);
  request.under_way =
      choice.endpoint->own.prompt_tokens + choice.endpoint->peers.prompt_tokens;
  this->engines[request.engine].waiting.push_back(request);
}

void Fleet::Admit(Engine* engine) {
  const auto over = [this](const Request& request) {
    const bool is =
        this->now - request.arrived_ms >= kKinds[request.kind].deadline_ms;
    if (is)
      this->End(request);
    return is;
  };
  engine->waiting.remove_if(over);
  engine->running.remove_if(over);
  const auto by_urgency = [](const Request& a, const Request& b) {
    return a.urgency < b.urgency;
  };
  while (!engine->waiting.empty()) {
    const auto next = std::min_element(engine->waiting.begin(),
                                       engine->waiting.end(), by_urgency);
    if (engine->running.size() == kSlots) {
      // The newest of the least urgent ones is interrupted.
      const auto least =
          std::max_element(engine->running.begin(), engine->running.end(),
                           [](const Request& a, const Request& b) {
                             return a.urgency <= b.urgency;
                           });
      if (least->urgency <= next->urgency)
        return;
      ++this->outcome.interrupted;
      engine->waiting.splice(engine->waiting.begin(), engine->running, least);
    }
    const Kind& kind = kKinds[next->kind];
    const int common = kind.shared_tokens / 4;
    next->unread = kind.tokens - common;
    if (engine->prefixes.count(next->prefix) > 0)
      next->unread -= kind.shared_tokens - common;
    next->events = 0;
    engine->running.splice(engine->running.end(), engine->waiting, next);
  }
}

void Fleet::Step(Engine* engine) {
  this->Admit(engine);
  if (engine->running.empty()) {
    engine->free_ms = this->now + 1;
    return;
  }
  std::vector<Request*> order;
  for (Request& request : engine->running)
    order.push_back(&request);
  std::stable_sort(order.begin(), order.end(), [](Request* a, Request* b) {
    return a->urgency < b->urgency;
  });
  int chunk = kChunkTokens;
  std::vector<Request*> events;
  for (Request* request : order) {
    const int part = std::min(chunk, request->unread);
    chunk -= part;
    request->unread -= part;
    if (request->unread == 0)
      events.push_back(request);
  }
  engine->free_ms = std::max<double>(engine->free_ms, this->now - 1) + kStepMs +
                    (kChunkTokens - chunk) / kReadTokensPerMs;
  for (Request* request : events) {
    engine->prefixes.insert(request->prefix);
    if (++request->events == 1 && !request->has_event) {
      request->has_event = true;
      this->CountPrompt(*request, -1);
      const Kind& kind = kKinds[request->kind];
      const double ms = engine->free_ms - request->arrived_ms;
      if (ms <= kind.objective_ms)
        ++this->outcome.on_time[request->kind];
      if (this->aware)
        RecordFirstEvent(&this->daemons[request->daemon].traffic.mixes["s"],
                         request->prompt, ms, request->under_way,
                         gateway::kPromptTokensPerMs);
    }
  }
  engine->running.remove_if([this](const Request& request) {
    if (request.events < kKinds[request.kind].events)
      return false;
    RecordRun(&this->daemons[request.daemon].traffic, "s",
              (kKinds[request.kind].events - 1) * 15.0,
              kKinds[request.kind].events);
    this->End(request);
    return true;
  });
}

}  // namespace

PromptOutcome PlayDay(const PromptDay& day, bool aware) {
  return Fleet(day, aware).Run();
}

}  // namespace coltsfootvane::testing
