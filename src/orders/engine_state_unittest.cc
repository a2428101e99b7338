#include "orders/engine_state.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

namespace {

constexpr TimePoint kNow{Milliseconds(5'000'000)};

gateway::EngineSpec Spec() {
  gateway::EngineSpec spec;
  spec.memory_mb = 220;
  spec.adapter_slots = 2;
  spec.models = {{"a", 70, 5, 4, 4, 1, 0.4},
                 {"b", 70, 5, 4, 4, 1, 0.4},
                 {"c", 70, 5, 4, 4, 1, 0.4},
                 {"d", 70, 5, 4, 4, 1, 0.4}};
  return spec;
}

orders::EngineState Engine() {
  orders::EngineState engine;
  engine.endpoint = std::make_shared<gateway::Endpoint>();
  engine.endpoint->entry.id = "e1";
  return engine;
}

orders::EngineReport Report(std::vector<gateway::LoadedModel> models,
                            std::int64_t sequence,
                            bool busy) {
  orders::EngineReport report;
  report.models = std::move(models);
  report.sequence = sequence;
  report.busy = busy;
  return report;
}

}  // namespace

TEST_GROUP(EngineState){};

/// Guards against orders, reports and planned copies for an engine that has
/// stated that it leaves or wants no requests for a while.
TEST(EngineState, EnginesThatWantNoRequestsGetNoOrder) {
  struct Row {
    const char* name;
    bool leaving;
    Milliseconds pause;
    bool called;
    bool serves;
    bool usable;
  };
  const Row rows[] = {
      {"ready", false, Milliseconds(0), true, true, true},
      {"leaving", true, Milliseconds(0), false, false, false},
      {"paused", false, Milliseconds(1), false, true, true},
      {"after its pause", false, Milliseconds(-1), true, true, true},
  };
  for (const Row& row : rows) {
    orders::EngineState engine = Engine();
    ApplyReport(&engine, Report({{"a", {}}}, 1, false));
    engine.endpoint->stated->leaving = row.leaving;
    engine.endpoint->stated->paused_until = kNow + row.pause;
    CHECK_EQUAL_TEXT(row.called, MayBeCalled(engine, kNow), row.name);
    CHECK_EQUAL_TEXT(row.serves, Serves(engine, "a"), row.name);
    const orders::PlannedEngine planned = ToPlannedEngine(engine, Spec(), kNow);
    CHECK_EQUAL_TEXT(row.usable, planned.usable, row.name);
    CHECK_EQUAL_TEXT(row.called, !planned.busy, row.name);
  }
}

/// Adapters being loaded and adapters whose unload waits for requests occupy
/// slots. Guards against a load beyond the number of slots: after the response
/// to an unload only a report that was read later shows a free slot.
TEST(EngineState, PendingAndBusyAdaptersOccupySlots) {
  struct Row {
    const char* name;
    std::vector<std::string> pending;  ///< In the report after the unload.
    orders::OrderResult unload;        ///< The answer to the unload of a/x.
    std::vector<std::string> loaded;   ///< In the report after the unload.
    std::int64_t sequence;             ///< Of that report; 6 before.
    bool current;
    bool accepts_load;
  };
  using orders::OrderResult;
  const Row rows[] = {
      {"unloaded", {}, OrderResult::kHoldsAlready, {"y"}, 7, true, true},
      {"was absent", {}, OrderResult::kHoldsAlready, {"y"}, 6, true, true},
      {"report from before the unload",
       {},
       OrderResult::kHoldsAlready,
       {"x", "y"},
       6,
       false,
       false},
      {"report from before an earlier order",
       {},
       OrderResult::kHoldsAlready,
       {"y"},
       5,
       false,
       false},
      {"in use", {}, OrderResult::kAccepted, {"x", "y"}, 7, true, false},
      {"in use, old report",
       {},
       OrderResult::kAccepted,
       {"y"},
       6,
       false,
       false},
      {"another adapter is loading on it",
       {"a/z"},
       OrderResult::kHoldsAlready,
       {"y"},
       8,
       true,
       false},
  };
  for (const Row& row : rows) {
    orders::EngineState engine = Engine();
    CHECK(ApplyReport(&engine, Report({{"a", {"x", "y"}}}, 6, false)));
    CHECK_FALSE(AdapterFits(engine, Spec(), "a"));
    engine.adapters.erase("a/x");
    if (row.unload == OrderResult::kAccepted)
      engine.sequence = 7;
    ApplyAdapterUnload(&engine, "a/x", row.unload);
    CHECK_FALSE_TEXT(engine.known, row.name);
    orders::EngineReport report =
        Report({{"a", row.loaded}}, row.sequence, false);
    report.pending_adapters = row.pending;
    CHECK_EQUAL_TEXT(row.current, ApplyReport(&engine, report), row.name);
    CHECK_EQUAL_TEXT(row.accepts_load,
                     engine.known && AdapterFits(engine, Spec(), "a"),
                     row.name);
  }
}

/// Guards against an engine that is never used again because it counts fewer
/// orders than its responses have claimed.
TEST(EngineState, RepeatedOutdatedReportsCountInTheEnd) {
  orders::EngineState engine = Engine();
  CHECK(ApplyReport(&engine, Report({{"a", {}}}, 6, false)));
  engine.sequence = 9;
  engine.known = false;
  for (int i = 0; i < orders::kMaxOutdatedReports; ++i)
    CHECK_FALSE(ApplyReport(&engine, Report({{"a", {}}}, 6, false)));
  CHECK(ApplyReport(&engine, Report({{"a", {}}}, 6, false)));
  LONGS_EQUAL(6, engine.sequence);
}

/// After a takeover the lease holder does not know what the engine is loading,
/// and the report does not show it, so another order could overcommit the
/// memory. So could an order sent while a load waits for the rate limit of the
/// weight store.
TEST(EngineState, EngineWithAnUnknownOrPendingLoadGetsNoOrder) {
  struct Row {
    const char* name;
    bool busy;
    const char* next_load;
    bool accepts_orders;
  };
  const Row rows[] = {
      {"executes an order of another lease holder", true, "", false},
      {"a load waits", false, "b", false},
      {"idle", false, "", true}};
  for (const Row& row : rows) {
    orders::EngineState engine = Engine();
    CHECK_TEXT(ApplyReport(&engine, Report({{"a", {}}}, 6, row.busy)),
               row.name);
    engine.next_load = row.next_load;
    CHECK_EQUAL_TEXT(row.accepts_orders, !engine.IsBusy(), row.name);
    CHECK_EQUAL_TEXT(row.accepts_orders,
                     !ToPlannedEngine(engine, Spec(), kNow).busy, row.name);
  }
}

/// Reports may be outdated: one from before the last accepted order does not
/// show its outcome.
TEST(EngineState, ReportFromBeforeTheLastOrderIsIgnored) {
  orders::EngineState engine = Engine();
  CHECK(ApplyReport(&engine, Report({{"a", {}}}, 3, false)));
  engine.sequence = 4;
  engine.loading = "b";
  CHECK_FALSE(ApplyReport(&engine, Report({{"a", {}}}, 3, false)));
  STRCMP_EQUAL("b", engine.loading.c_str());
  CHECK(ApplyReport(&engine, Report({{"a", {}}, {"b", {}}}, 4, false)));
  STRCMP_EQUAL("", engine.loading.c_str());
  LONGS_EQUAL(2, engine.models.size());
}

/// Before the first report an announced copy counts. Guards against loading a
/// second copy of a model that is already loaded.
TEST(EngineState, AnnouncedCopiesCountBeforeTheFirstReport) {
  orders::EngineState engine = Engine();
  engine.endpoint->entry.models = {{"b", {}}, {"d", {}}};
  const orders::PlannedEngine planned = ToPlannedEngine(engine, Spec(), kNow);
  LONGS_EQUAL(2, planned.models.size());
  LONGS_EQUAL(1, planned.models[0]);
  LONGS_EQUAL(3, planned.models[1]);
  CHECK(planned.busy);
}

/// An adapter has to fit beside the models that the engine holds now and beside
/// those that it will hold once a pending replacement of a model is done.
TEST(EngineState, AdapterFitsBeforeAndAfterAModelIsReplaced) {
  struct Row {
    const char* name;
    std::vector<gateway::LoadedModel> models;
    const char* unloading;
    const char* next_load;
    bool fits;
  };
  const Row rows[] = {
      {"room", {{"a", {}}, {"b", {}}}, "", "", true},
      {"three models", {{"a", {}}, {"b", {}}, {"c", {}}}, "", "", true},
      {"no adapter slot left", {{"a", {"a1", "a2"}}}, "", "", false},
      {"the next model is larger",
       {{"a", {}}, {"b", {}}, {"c", {}}},
       "c",
       "d",
       false},
  };
  gateway::EngineSpec spec = Spec();
  spec.models[3].memory_mb = 80;
  for (const Row& row : rows) {
    orders::EngineState engine = Engine();
    ApplyReport(&engine, Report(row.models, 1, false));
    engine.unloading = row.unloading;
    engine.next_load = row.next_load;
    CHECK_EQUAL_TEXT(row.fits, AdapterFits(engine, spec, "a"), row.name);
  }
}
