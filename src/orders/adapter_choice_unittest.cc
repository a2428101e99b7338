#include "orders/adapter_choice.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using orders::AdapterUse;

TEST_GROUP(AdapterChoice){};

// Guards against adapters that replace each other before any request has used
// them: in a fleet of hundreds, reports show the demand for an adapter seconds
// after it was loaded, so that the newest seemed to be the least requested.
TEST(AdapterChoice, AdaptersThatAreWaitedForStay) {
  const TimePoint now{std::chrono::hours(1)};
  const TimePoint just_now = now - Milliseconds(20);
  const TimePoint earlier = now - Milliseconds(500);
  const TimePoint long_ago = now - Milliseconds(9000);
  struct Row {
    const char* name;
    std::vector<AdapterUse> adapters;
    const char* victim;
  };
  const Row rows[] = {
      {"none", {}, nullptr},
      {"least demand", {{"m/a", 2, {}}, {"m/b", 1, {}}, {"m/c", 3, {}}}, "m/b"},
      {"just loaded, not in reports yet",
       {{"m/a", 0, just_now}, {"m/b", 0.5, long_ago}},
       "m/b"},
      {"all asked for recently",
       {{"m/a", 0, just_now}, {"m/b", 9, earlier}},
       "m/b"},
      {"no demand left", {{"m/a", 0, long_ago}, {"m/b", 0.5, {}}}, "m/a"}};
  for (const Row& row : rows) {
    const AdapterUse* const victim = orders::ChooseVictim(row.adapters, now);
    if (row.victim == nullptr)
      CHECK_TEXT(victim == nullptr, row.name);
    else
      STRCMP_EQUAL_TEXT(row.victim, victim->name.c_str(), row.name);
  }
}
