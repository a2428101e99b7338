#include <array>
#include <random>
#include <set>
#include <string>

#include "placement/demand_tracker.h"
#include "placement/plan.h"

#include "placement/plan_test_fleet.h"

namespace coltsfootvane {
namespace {

struct ShopModel {
  const char* name;
  std::int64_t memory_mb;
  int min_copies;
};

/// The engines and models of examples/shop. The memory holds two copies of most
/// models.
constexpr ShopModel kShopModels[] = {
    {"large", 28000, 2},         {"standard", 14000, 2},
    {"leaf", 9000, 1},           {"focal", 9000, 1},
    {"rangefinder", 8000, 1},    {"meter", 7000, 1},
    {"timer", 6000, 1},          {"flash", 6000, 1},
    {"labour", 8000, 1},         {"deposit", 6000, 1},
    {"lookup", 7000, 1},         {"substitution", 8000, 1},
    {"summary", 6000, 1},        {"notes", 6000, 1},
    {"customer-reply", 9000, 1}, {"overnight", 14000, 1},
    {"warranty", 6000, 1}};

Configuration MakeShop(SurvivalGoal goal) {
  const char* const centres[] = {"dc1", "dc2", "dc3"};
  const std::int64_t sizes[] = {24000, 24000, 24000, 24000, 24000,
                                24000, 48000, 48000, 80000};
  const int slots[] = {8, 8, 8, 8, 8, 8, 12, 12, 24};
  const char* const ids[] = {"e1", "e2", "e3", "e4", "e5",
                             "e6", "e7", "e8", "e9"};
  Configuration configuration;
  for (std::size_t i = 0; i < 9; ++i) {
    Endpoint engine = MakeEngine(ids[i], centres[i % 3], sizes[i]);
    engine.slots = slots[i];
    configuration.endpoints.push_back(engine);
  }
  for (const ShopModel& shop_model : kShopModels) {
    Model model = MakeModel(shop_model.name, "1", shop_model.memory_mb);
    model.min_copies = shop_model.min_copies;
    configuration.models.push_back(model);
  }
  for (int i = 0; i < 56; ++i) {
    const ShopModel& model = kShopModels[1 + i % 8];
    const std::string name = std::string(model.name) + std::to_string(i);
    configuration.adapters.push_back(
        MakeAdapter(name.c_str(), model.name, 160));
  }
  configuration.survival_goal = goal;
  configuration.weight_store.loads_per_s = 1.6;
  configuration.weight_store.loads_at_once = 6;
  return configuration;
}

void CheckMinimumCopies(const SimulatedFleet& fleet) {
  for (const Model& model : fleet.configuration.models)
    CHECK_TEXT(fleet.CountCopies(model.name) >= model.min_copies,
               model.name.c_str());
}

}  // namespace

TEST_GROUP(PlanCopies){};

// Guards against second copies of some models that fill the memory while
// another model lacks its declared minimum, as happened in examples/shop.
TEST(PlanCopies, RequiredCopiesArePlacedFirst) {
  for (const SurvivalGoal goal :
       {SurvivalGoal::kVm, SurvivalGoal::kDataCentre}) {
    SimulatedFleet fleet(MakeShop(goal));
    fleet.Settle();
    CheckMinimumCopies(fleet);
    LONGS_EQUAL(0, fleet.unloads);
  }
}

// Guards against a first copy that waits because the required second copies of
// larger models have reserved the only memory in which it fits.
TEST(PlanCopies, FirstCopiesTakeReservedPlaces) {
  Configuration configuration;
  configuration.endpoints = {MakeEngine("e1", "dc1", 60),
                             MakeEngine("e2", "dc2", 60)};
  configuration.models = {MakeModel("m1", "1", 60), MakeModel("m2", "1", 40)};
  configuration.models[0].min_copies = 2;
  SimulatedFleet fleet(configuration);
  fleet.Settle();
  LONGS_EQUAL(1, fleet.CountCopies("m1"));
  LONGS_EQUAL(1, fleet.CountCopies("m2"));
}

// Guards against required copies that are not loaded because optional ones fill
// the memory, and against the eviction of optional ones for a short need.
TEST(PlanCopies, OptionalCopiesAreEvictedForRequiredOnes) {
  struct Row {
    const char* name;
    int min_copies_m2;
    int seconds;
    int copies_m1;
    int copies_m2;
  };
  const Row rows[] = {
      {"no need", 1, 120, 1, 2},
      {"a short need", 1, 20, 1, 2},
      {"a lasting need", 1, 120, 2, 1},
      {"only required copies", 2, 120, 1, 2},
  };
  for (const Row& row : rows) {
    Configuration configuration;
    configuration.endpoints = {MakeEngine("e1", "dc1", 100),
                               MakeEngine("e2", "dc2", 50)};
    configuration.models = {MakeModel("m1", "1", 50), MakeModel("m2", "1", 40)};
    configuration.models[0].min_copies = &row == rows ? 1 : 2;
    configuration.models[1].min_copies = row.min_copies_m2;
    configuration.weight_store.loads_per_s = 1.6;
    configuration.weight_store.loads_at_once = 6;
    SimulatedFleet fleet(configuration);
    fleet.ledgers["e1"].loaded = {{"m1", "1", "", 50, false, true},
                                  {"m2", "1", "", 40, false, true}};
    fleet.ledgers["e2"].loaded = {{"m2", "1", "", 40, false, true}};
    fleet.RunFor(row.seconds);
    LONGS_EQUAL_TEXT(row.copies_m1, fleet.CountCopies("m1"), row.name);
    LONGS_EQUAL_TEXT(row.copies_m2, fleet.CountCopies("m2"), row.name);
  }
}

// Guards against a survival copy in the data centre of the first copy, where
// both are lost together.
TEST(PlanCopies, SurvivalCopiesAreInTwoDataCentres) {
  Configuration configuration = MakeConfiguration();
  configuration.endpoints.push_back(MakeEngine("e3", "dc1", 100));
  configuration.survival_goal = SurvivalGoal::kDataCentre;
  SimulatedFleet fleet(configuration);
  fleet.ledgers["e1"].loaded = {{"m1", "1", "", 40, false, true}};
  fleet.ledgers["e3"].loaded = {{"m1", "1", "", 40, false, true}};
  fleet.Settle();
  CHECK(FindLoaded(fleet.ledgers["e2"], "m1", "1") != nullptr);
}

// Guards against demand that is not served for lack of free memory, and against
// moves that do not justify the cost of their load.
TEST(PlanCopies, IdleCopiesAreEvictedForDemand) {
  struct Row {
    const char* name;
    SurvivalGoal goal;
    double demand;
    int seconds;
    bool moves;
  };
  const Row rows[] = {
      {"no demand", SurvivalGoal::kDataCentre, 0, 120, false},
      {"demand within the slots", SurvivalGoal::kDataCentre, 12, 120, false},
      {"a short rise", SurvivalGoal::kDataCentre, 40, 30, false},
      {"a lasting rise", SurvivalGoal::kDataCentre, 40, 60, true},
  };
  for (const Row& row : rows) {
    SimulatedFleet fleet(MakeShop(row.goal));
    fleet.Settle();
    const int loads = fleet.loads;
    const int copies = fleet.CountCopies("leaf");
    fleet.demand["leaf"] = row.demand;
    fleet.RunFor(row.seconds);
    CHECK_TEXT((fleet.CountCopies("leaf") > copies) == row.moves, row.name);
    CHECK_TEXT((fleet.loads > loads) == row.moves, row.name);
    CheckMinimumCopies(fleet);
  }
}

// Guards against the eviction of survival copies for demand although memory
// suffices for the survival goal.
TEST(PlanCopies, FeasibleSurvivalGoalIsKept) {
  Configuration configuration = MakeConfiguration();
  configuration.survival_goal = SurvivalGoal::kDataCentre;
  for (Endpoint& endpoint : configuration.endpoints)
    endpoint.memory_mb = 90;
  configuration.endpoints.push_back(MakeEngine("e3", "dc1", 39));
  configuration.endpoints.push_back(MakeEngine("e4", "dc2", 39));
  SimulatedFleet fleet(configuration);
  fleet.Settle();
  fleet.demand["m1"] = 100;
  fleet.RunFor(300);
  LONGS_EQUAL(0, fleet.unloads);
  LONGS_EQUAL(2, fleet.CountCopies("m2"));
}

/// A simulated fleet of examples/shop whose demand passes through the tracker.
class FleetWithDemand {
 public:
  FleetWithDemand() : fleet(MakeShop(SurvivalGoal::kDataCentre)) {
    this->fleet.Settle();
    this->loads_before = this->fleet.model_loads;
    for (PriorityClass& priority_class : this->classes)
      priority_class.value = 1;
    for (const ShopModel& shop_model : kShopModels) {
      this->demand.emplace_back();
      this->demand.back().item = shop_model.name;
    }
  }

  void Step() {
    UpdateDemand(&this->tracker, this->demand, this->fleet.now);
    this->fleet.demand = WeightedDemand(this->tracker, this->classes);
    this->fleet.RunFor(1);
    CheckMinimumCopies(this->fleet);
  }

  int Moves() const { return this->fleet.model_loads - this->loads_before; }

  std::vector<ItemDemand> demand;  ///< In the order of `kShopModels`.

 private:
  SimulatedFleet fleet;
  DemandTracker tracker;
  std::array<PriorityClass, kPriorityCount> classes{};
  int loads_before = 0;
};

// Guards against copies that oscillate between two models whose demand
// alternates for an hour.
TEST(PlanCopies, AlternatingDemandDoesNotOscillate) {
  struct Row {
    const char* name;
    int period_s;
    int max_moves;
  };
  for (const Row& row :
       {Row{"noise", 2, 10}, Row{"bursts", 60, 10}, Row{"minutes", 300, 10},
        Row{"half hours", 1800, 10}}) {
    FleetWithDemand fleet;
    for (int second = 0; second < 3600; ++second) {
      const bool first = second / row.period_s % 2 == 0;
      fleet.demand[2].requests[0] = first ? 40 : 2;
      fleet.demand[3].requests[0] = first ? 2 : 40;
      fleet.Step();
    }
    CHECK_TEXT(fleet.Moves() <= row.max_moves, row.name);
  }
}

// Guards against more moves than the changes of demand justify. For an hour,
// the demand of each model changes every three minutes on average, often
// tenfold: 340 changes in all.
TEST(PlanCopies, MovesAreBoundedUnderRandomDemand) {
  constexpr int kMaxMoves = 60;
  for (const unsigned seed : {1U, 2U}) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> base(0, 4);
    std::uniform_int_distribution<int> chance(0, 179);
    std::uniform_real_distribution<double> noise(0.5, 1.5);
    FleetWithDemand fleet;
    std::vector<double> rates(fleet.demand.size());
    for (double& rate : rates)
      rate = base(random);
    for (int second = 0; second < 3600; ++second) {
      for (std::size_t i = 0; i < rates.size(); ++i) {
        if (chance(random) == 0)
          rates[i] = base(random) * (chance(random) % 4 == 0 ? 10 : 1);
        fleet.demand[i].requests[0] = rates[i] * noise(random);
      }
      fleet.Step();
    }
    CHECK_TEXT(fleet.Moves() <= kMaxMoves,
               StringFromFormat("seed %u", seed).asCharString());
    // Once the smoothed demand has decayed and is served, no copy moves.
    for (int second = 0; second < 1800; ++second)
      fleet.Step();
    const int settled = fleet.Moves();
    for (int second = 0; second < 1200; ++second)
      fleet.Step();
    LONGS_EQUAL(settled, fleet.Moves());
  }
}

}  // namespace coltsfootvane
