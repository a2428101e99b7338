#include <algorithm>
#include <functional>
#include <list>
#include <random>
#include <vector>

#include "gateway/admission.h"
#include "gateway/choice.h"
#include "gateway/endpoint.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using gateway::Route;

namespace {

constexpr int kSlots = 16;
constexpr int kRunMs = 1500;
constexpr int kDayMs = 60'000;

/// A kind of request, as an engine sees it.
struct Kind {
  int rank;
  int target_ms;
  int deadline_ms;
  int read_ms;  ///< From its begin to the first event.
  int run_ms;   ///< From its begin to the end.
  double per_s;
  bool over_share = false;  ///< Of a team over its share.
};

struct Outcome {
  int asked = 0;
  int on_time = 0;
  int interrupted = 0;
  double OnTime() const {
    return static_cast<double>(this->on_time) / std::max(1, this->asked);
  }
};

using Urgency = std::function<int(const Route&, bool deferred)>;

/// One engine and its requests, in steps of a millisecond. A more urgent
/// request interrupts the newest of the least urgent ones, which begins anew.
class Engine {
 public:
  Engine(std::vector<Kind> request_kinds, Urgency rule)
      : kinds(std::move(request_kinds)),
        urgency(std::move(rule)),
        outcomes(this->kinds.size()) {
    this->spec.slots = kSlots;
  }

  std::vector<Outcome> Run() {
    for (this->now_ms = 0; this->now_ms < kDayMs; ++this->now_ms) {
      for (std::size_t kind = 0; kind < this->kinds.size(); ++kind) {
        std::poisson_distribution<int> arrivals(this->kinds[kind].per_s / 1000);
        for (int count = arrivals(this->random); count > 0; --count)
          this->Arrive(kind);
      }
      this->Begin();
      this->Step();
    }
    return this->outcomes;
  }

 private:
  struct Request {
    std::size_t kind = 0;
    int urgency = 0;
    bool yields = false;
    int arrived_ms = 0;
    int begun_ms = -1;
    int progress_ms = 0;
    bool has_event = false;
  };
  using Requests = std::list<Request>;

  void Arrive(std::size_t number) {
    const Kind& kind = this->kinds[number];
    ++this->outcomes[number].asked;
    Route route;
    route.rank = kind.rank;
    route.target_latency = Milliseconds(kind.target_ms);
    route.timeout = Milliseconds(kind.deadline_ms);
    const int tokens = TokensOf(kind);
    const gateway::ExpectedWaits waits{
        gateway::ExpectedWaitMs(this->endpoint, &this->spec, tokens, kRunMs),
        gateway::YieldingWaitMs(this->endpoint, this->spec, tokens, kRunMs)};
    // Every sixth request of such a team counts like those of others.
    const bool over_share = kind.over_share && this->random() % 6 != 0;
    const gateway::Admission admission =
        Admit(route, waits, route.timeout, std::nullopt, over_share);
    if (!admission.admitted)
      return;
    Request request;
    request.kind = number;
    request.urgency = this->urgency(route, admission.deferred);
    request.yields = admission.yields;
    request.arrived_ms = this->now_ms;
    this->Count(request, 1);
    this->CountPrompt(request, 1);
    this->waiting.push_back(request);
  }

  /// Counts what a daemon knows of the engine's work.
  void Count(const Request& request, int sign) {
    this->endpoint.own.running += sign;
    this->endpoint.own.yielding += request.yields ? sign : 0;
  }

  void CountPrompt(const Request& request, int sign) {
    const int tokens = sign * TokensOf(this->kinds[request.kind]);
    this->endpoint.own.prompt_tokens += tokens;
    this->endpoint.own.yielding_tokens += request.yields ? tokens : 0;
  }

  static int TokensOf(const Kind& kind) {
    return static_cast<int>(kind.read_ms * gateway::kPromptTokensPerMs);
  }

  void Begin() {
    const auto more_urgent = [](const Request& a, const Request& b) {
      return a.urgency < b.urgency;
    };
    while (!this->waiting.empty()) {
      const auto next = std::min_element(this->waiting.begin(),
                                         this->waiting.end(), more_urgent);
      if (this->running.size() == kSlots && !this->Interrupt(next->urgency))
        return;
      next->begun_ms = this->now_ms;
      next->progress_ms = 0;
      this->running.splice(this->running.end(), this->waiting, next);
    }
  }

  /// Frees a slot for a request of that urgency. Returns whether it could.
  bool Interrupt(int by_urgency) {
    const auto least = std::max_element(
        this->running.begin(), this->running.end(),
        [](const Request& a, const Request& b) {
          return a.urgency != b.urgency ? a.urgency < b.urgency
                                        : a.begun_ms < b.begun_ms;
        });
    if (least->urgency <= by_urgency)
      return false;
    ++this->outcomes[least->kind].interrupted;
    this->waiting.splice(this->waiting.begin(), this->running, least);
    return true;
  }

  void Step() {
    for (auto it = this->running.begin(); it != this->running.end();) {
      const Kind& kind = this->kinds[it->kind];
      ++it->progress_ms;
      if (!it->has_event && it->progress_ms >= kind.read_ms)
        this->OnFirstEvent(&*it);
      it = it->progress_ms >= kind.run_ms || this->IsOver(*it)
               ? this->Remove(&this->running, it)
               : std::next(it);
    }
    for (auto it = this->waiting.begin(); it != this->waiting.end();)
      it = this->IsOver(*it) ? this->Remove(&this->waiting, it) : std::next(it);
  }

  void OnFirstEvent(Request* request) {
    request->has_event = true;
    this->CountPrompt(*request, -1);
    const int latency_ms = this->now_ms - request->arrived_ms;
    if (latency_ms <= this->kinds[request->kind].target_ms)
      ++this->outcomes[request->kind].on_time;
  }

  bool IsOver(const Request& request) const {
    return this->now_ms - request.arrived_ms >=
           this->kinds[request.kind].deadline_ms;
  }

  Requests::iterator Remove(Requests* list, Requests::iterator request) {
    if (!request->has_event)
      this->CountPrompt(*request, -1);
    this->Count(*request, -1);
    return list->erase(request);
  }

  std::vector<Kind> kinds;
  Urgency urgency;
  std::vector<Outcome> outcomes;
  gateway::EngineSpec spec;
  gateway::Endpoint endpoint;
  Requests waiting;
  Requests running;
  std::minstd_rand random{20261205};
  int now_ms = 0;
};

int ByRoute(const Route& route, bool deferred) {
  return gateway::UrgencyOf(route, route.rank, deferred);
}

/// The naive rule: deferred requests go after the others of their rank only.
int ByRankFirst(const Route& route, bool deferred) {
  return 2 * std::clamp(route.rank, 0, 4) + (deferred ? 1 : 0);
}

}  // namespace

TEST_GROUP(Urgency){};

// Pattern: more urgent requests than an engine can begin, beside a few short
// ones of the next rank. Guards against urgent requests that are late anyway
// and interrupt those that are not, again and again until their deadline.
TEST(Urgency, LateRequestsInterruptNoneThatAreOnTime) {
  // Of the share of urgent requests that the engine can begin at all.
  constexpr double kMinUrgent = 0.75;
  constexpr double kMinNext = 0.5;
  constexpr double kTie = 0.01;
  struct Row {
    const char* name;
    double urgent_per_s;
  };
  const Row rows[] = {{"room for all", 6}, {"overload", 13}, {"burst", 30}};
  for (const Row& row : rows) {
    const std::vector<Kind> kinds = {
        {0, 400, 10'000, 30, kRunMs, row.urgent_per_s},
        {1, 500, 3000, 80, 250, 4},
        {2, 8000, 20'000, 30, kRunMs, 0.5}};
    const double begun_per_s = 1000.0 * kSlots / kRunMs;
    const double share = std::min(1.0, begun_per_s / row.urgent_per_s);
    const auto outcomes = Engine(kinds, ByRoute).Run();
    const auto naive = Engine(kinds, ByRankFirst).Run();
    CHECK_TEXT(outcomes[0].OnTime() >= kMinUrgent * share, row.name);
    CHECK_TEXT(outcomes[1].OnTime() >= kMinNext * share, row.name);
    CHECK_TEXT(outcomes[0].OnTime() > naive[0].OnTime() - kTie, row.name);
    CHECK_TEXT(outcomes[1].OnTime() > naive[1].OnTime() - kTie, row.name);
  }
}

/// Guards against a team that takes the capacity of another with many times its
/// load, and against one that gets less than a quarter of what all get.
TEST(Urgency, ATeamOverItsShareLeavesRoomForOthers) {
  const Kind steady{0, 400, 10'000, 30, kRunMs, 4};
  Kind burst = steady;
  struct Row {
    double burst_per_s;  ///< The engine begins 10.7.
    double steady_on_time;
    double steady_on_time_before;  ///< Without shares, at most.
  };
  const Row rows[] = {{8, 0.9, 0.85}, {16, 0.85, 0.55}, {32, 0.7, 0.3}};
  for (const Row& row : rows) {
    burst.per_s = row.burst_per_s;
    burst.over_share = false;
    const auto before = Engine({steady, burst}, ByRoute).Run();
    CHECK(before[0].OnTime() <= row.steady_on_time_before);
    burst.over_share = true;
    const auto shared = Engine({steady, burst}, ByRoute).Run();
    CHECK(shared[0].OnTime() >= row.steady_on_time);
    const double all =
        static_cast<double>(shared[0].on_time + shared[1].on_time) /
        (shared[0].asked + shared[1].asked);
    CHECK(shared[1].OnTime() >= all / 4);
  }
}

TEST(Urgency, OrdersRequestsThatCanBeOnTimeBeforeLateOnes) {
  struct Row {
    const char* name;
    int rank;
    int target_ms;
    bool deferred;
    int urgency;
  };
  const Row rows[] = {
      {"first rank", 0, 400, false, 0},
      {"second rank", 1, 500, false, 1},
      {"lower near ranks are one", 7, 500, false, 2},
      {"first rank, late", 0, 400, true, 3},
      {"second rank, late", 1, 500, true, 4},
      {"lower near ranks, late", 2, 500, true, 5},
      {"far objective, first rank", 0, 8000, false, 6},
      {"far objective, first rank, late", 0, 8000, true, 7},
      {"far objective, lower rank", 2, 8000, false, 8},
      {"far objective, lower rank, late", 2, 8000, true, 9},
  };
  for (const Row& row : rows) {
    Route route;
    route.rank = row.rank;
    route.target_latency = Milliseconds(row.target_ms);
    LONGS_EQUAL_TEXT(row.urgency, ByRoute(route, row.deferred), row.name);
  }
}
