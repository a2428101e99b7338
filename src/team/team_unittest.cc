#include "team/team.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

namespace {

team::TeamTable TwoTeams() {
  team::TeamTable table;
  table.teams = {{"red", {"k1", "k2"}, std::nullopt, {}},
                 {"blue", {"k3", "k2", ""}, 1, {}}};
  team::IndexKeys(&table, 42);
  return table;
}

}  // namespace

TEST_GROUP(Team){};

/// A key that is not exactly one of a team's must not be taken for it.
TEST(Team, FindsTheHolderOfAKey) {
  struct Row {
    const char* key;
    const char* team;  ///< nullptr for none.
  };
  const team::TeamTable table = TwoTeams();
  for (const Row& row :
       {Row{"k1", "red"}, Row{"k3", "blue"}, Row{"k2", "red"}, Row{"", nullptr},
        Row{"k", nullptr}, Row{"k1 ", nullptr}, Row{"K1", nullptr},
        Row{"k1k1", nullptr}}) {
    const team::Team* const found = team::FindTeam(table, row.key);
    CHECK_EQUAL_TEXT(row.team != nullptr, found != nullptr, row.key);
    if (found != nullptr)
      STRCMP_EQUAL(row.team, found->name.c_str());
  }
}

TEST(Team, ComparesWholeKeys) {
  CHECK(team::EqualsInConstantTime("abc", "abc"));
  CHECK_FALSE(team::EqualsInConstantTime("abcabc", "abc"));
  CHECK_FALSE(team::EqualsInConstantTime("ab", "abc"));
  CHECK_FALSE(team::EqualsInConstantTime("abc", ""));
}

TEST(Team, CountsRequestsByTheirUnit) {
  const team::Quota tokens{team::QuotaUnit::kTokens, 10, 10, 200};
  const team::Quota requests{team::QuotaUnit::kRequests, 10, 10, 200};
  DOUBLES_EQUAL(1500, team::UnitsOf(tokens, 1500), 0);
  DOUBLES_EQUAL(200, team::UnitsOf(tokens, std::nullopt), 0);
  DOUBLES_EQUAL(1, team::UnitsOf(requests, 1500), 0);
}
