#include "daemon/store_news_model.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using daemon::kStart;
using daemon::Model;
using daemon::Scenario;

namespace {

constexpr Milliseconds kStep{10};

/// Plays 20 s with a departure every 2.9 s, the first right after the
/// disturbance. Returns how long after it the last daemon knows of a departure.
Milliseconds Play(Model* model) {
  const double rate = model->scenario.changes_per_s;
  const TimePoint end = kStart + Milliseconds(20'000);
  const TimePoint disturbed_at = kStart + Milliseconds(6'000);
  TimePoint next_change = kStart;
  TimePoint next_departure = disturbed_at + Milliseconds(50);
  std::map<std::int64_t, TimePoint> unknown;
  Milliseconds longest{0};
  for (TimePoint at = kStart; at < end; at += kStep) {
    model->RunUntil(at);
    if (at == disturbed_at)
      model->Disturb();
    if (rate > 0 && at >= next_change) {
      model->Change(false);
      next_change += Milliseconds(static_cast<int>(1000 / rate));
    }
    if (at >= next_departure) {
      unknown[model->Change(true)] = at;
      next_departure += Milliseconds(2900);
    }
    while (!unknown.empty() && model->KnownToAll(unknown.begin()->first)) {
      const auto passed = at - unknown.begin()->second;
      longest =
          std::max(longest, std::chrono::duration_cast<Milliseconds>(passed));
      unknown.erase(unknown.begin());
    }
  }
  return unknown.empty() ? longest : Milliseconds(20'000);
}

void Print(const Model& model, Milliseconds longest) {
  std::string causes;
  for (const auto& [cause, count] : model.calls)
    causes += " " + cause + "=" + std::to_string(count);
  const auto oldest =
      std::chrono::duration_cast<Milliseconds>(model.oldest).count();
  std::printf(
      "%s: calls=%d (%s ), oldest view %lld ms, departures known to "
      "all after %lld ms\n",
      model.scenario.name, model.TotalCalls(), causes.c_str(),
      static_cast<long long>(oldest), static_cast<long long>(longest.count()));
}

}  // namespace

TEST_GROUP(StoreNewsModel){};

// Guards against calls that grow with the number of daemons, and against
// departures that a daemon learns of too late when those are lost, frozen, cut
// off or turned away who read the store for it.
TEST(StoreNewsModel, FewCallsAndDeparturesInTime) {
  const Scenario rows[] = {
      {"115 quiet", 115, 3000, 0, 0, Scenario::kKilled, 0, 0, 60},
      {"143 busy", 143, 3000, 3.7, 0, Scenario::kKilled, 0, 0, 110},
      {"143, first killed", 143, 3000, 3.7, 1, Scenario::kKilled, 0, 0, 200},
      {"143, three killed", 143, 3000, 3.7, 3, Scenario::kKilled, 0, 0, 220},
      {"143, three frozen", 143, 3000, 3.7, 3, Scenario::kFrozen, 0, 0, 220},
      {"143, three cut from the store", 143, 3000, 3.7, 3, Scenario::kCut, 0, 0,
       260},
      {"143, half turned away", 143, 3000, 3.7, 0, Scenario::kKilled, 0, 0.5,
       260},
      {"143, half lost", 143, 3000, 3.7, 3, Scenario::kKilled, 0.5, 0, 320},
      {"295 busy", 295, 4000, 3.7, 0, Scenario::kKilled, 0, 0, 100},
      {"295, three killed", 295, 4000, 3.7, 3, Scenario::kKilled, 0, 0, 260},
      {"320, half lost", 320, 4000, 3.7, 3, Scenario::kKilled, 0.5, 0, 500},
  };
  for (const Scenario& row : rows) {
    Model model(row);
    const Milliseconds longest = Play(&model);
    Print(model, longest);
    CHECK_TEXT(longest < Milliseconds(row.limit_ms), row.name);
    CHECK_TEXT(model.TotalCalls() <= row.max_calls, row.name);
  }
}

// Guards against a fleet that the store turns away as a whole, and that comes
// back at once or calls it again and again meanwhile.
TEST(StoreNewsModel, AFleetThatIsTurnedAwayBacksOff) {
  const Scenario scenario = {"143, all turned away for 10 s",
                             143,
                             3000,
                             0,
                             0,
                             Scenario::kKilled,
                             0,
                             0,
                             0};
  constexpr int kMostPerDaemon = 4;
  constexpr int kMostIn100Ms = 20;
  Model model(scenario);
  const TimePoint refused_at = kStart + Milliseconds(3000);
  const TimePoint back_at = refused_at + Milliseconds(10'000);
  model.RunUntil(refused_at);
  for (auto& daemon : model.daemons)
    daemon->refused = true;
  model.RunUntil(back_at);
  const int turned_away = model.TotalCalls();
  for (auto& daemon : model.daemons)
    daemon->refused = false;
  const std::int64_t departure = model.Change(true);
  TimePoint known_at;
  int most = 0;
  int before = turned_away;
  for (TimePoint at = back_at; at < back_at + Milliseconds(6000);
       at += Milliseconds(100)) {
    model.RunUntil(at);
    most = std::max(most, model.TotalCalls() - before);
    before = model.TotalCalls();
    if (known_at == TimePoint() && model.KnownToAll(departure))
      known_at = at;
  }
  const auto passed =
      std::chrono::duration_cast<Milliseconds>(known_at - back_at);
  Print(model, passed);
  std::printf("  calls while turned away: %d, most in 100 ms afterwards: %d\n",
              turned_away, most);
  CHECK(known_at != TimePoint() && passed < model.limit);
  CHECK(turned_away <= scenario.daemons * kMostPerDaemon);
  CHECK(most <= kMostIn100Ms);
}
