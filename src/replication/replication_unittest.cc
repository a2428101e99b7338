#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "replication/change_log.h"
#include "replication/comparison.h"
#include "replication/document.h"
#include "replication/item_reader.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using nlohmann::json;
using replication::Comparison;
using replication::Document;
using replication::ItemChange;

namespace {

/// Returns what leads from the document to the text; nothing if it is invalid.
std::optional<Comparison> Compare(const std::string& text,
                                  Document* document,
                                  std::uint32_t number) {
  Comparison comparison;
  comparison.number = number;
  replication::ItemReader reader = replication::MakeItemReader(text, "name");
  while (true) {
    auto item = ReadNext(&reader);
    if (!item)
      return std::nullopt;
    if (!item.value())
      break;
    Meet(item.value()->key, item.value()->text, document, &comparison);
  }
  while (!FindRemovals(*document, &comparison)) {
  }
  return comparison;
}

std::vector<std::string> ApplyText(const std::string& text,
                                   Document* document,
                                   std::uint32_t number) {
  const auto comparison = Compare(text, document, number);
  CHECK(comparison.has_value());
  std::vector<std::string> keys;
  std::uint64_t digest = document->digest;
  for (const ItemChange& change : comparison->changes) {
    keys.push_back((change.text ? "" : "-") + change.key);
    digest += DigestRise(*document, change);
  }
  LONGS_EQUAL(comparison->digest, digest);
  for (const ItemChange& change : comparison->changes)
    Apply(change, document);
  LONGS_EQUAL(digest, document->digest);
  return keys;
}

json MakeState(std::mt19937* random) {
  json state = {{"version", (*random)() % 3}, {"limits", {{"most", 3}}}};
  json routes = json::array();
  for (int i = 0; i < 30; ++i) {
    if ((*random)() % 4 > 0)
      routes.push_back({{"name", "r" + std::to_string(i)},
                        {"path", "/\"[{" + std::to_string((*random)() % 2)}});
  }
  std::shuffle(routes.begin(), routes.end(), *random);
  state["routes"] = routes;
  return state;
}

json Sorted(json state) {
  std::sort(state["routes"].begin(), state["routes"].end(),
            [](const json& a, const json& b) { return a["name"] < b["name"]; });
  return state;
}

}  // namespace

TEST_GROUP(Replication){};

// Guards against changes that miss an item, or name one that has not changed:
// a daemon would route by an older configuration.
TEST(Replication, ChangesAreThoseOfTheItems) {
  struct Row {
    const char* name;
    const char* text;
    std::vector<std::string> changes;
  };
  const Row rows[] = {
      {"first",
       R"({"v":1,"a":[{"name":"x"},{"name":"y"}],"e":[]})",
       {"v", "a/x", "a/y"}},
      {"same in another order",
       R"({"a":[{"name":"y"},{"name":"x"}],"v":1})",
       {}},
      {"one changed",
       R"({"v":1,"a":[{"name":"x","n":1},{"name":"y"}]})",
       {"a/x"}},
      {"one added, one removed",
       R"({"v":1,"a":[{"name":"y"},{"name":"z"}]})",
       {"a/z", "-a/x"}},
      {"a name twice",
       R"({"v":1,"a":[{"name":"y"},{"name":"y","n":2}]})",
       {"a/y#2", "-a/z"}},
      {"no names",
       R"({"v":1,"a":[3,"text",{}]})",
       {"a/#0", "a/#1", "a/#2", "-a/y", "-a/y#2"}},
      {"brackets and escapes",
       R"({"v":"}]\\\"","a":[{"name":"\"]{"}]})",
       {"v", "a/\\\"]{", "-a/#0", "-a/#1", "-a/#2"}},
      {"all gone", "{}", {"-a/\\\"]{", "-v"}},
  };
  Document document;
  std::uint32_t number = 0;
  for (const Row& row : rows) {
    auto keys = ApplyText(row.text, &document, ++number);
    CHECK_TEXT(keys == row.changes, row.name);
  }
}

TEST(Replication, TextThatIsNoObjectIsRejected) {
  for (const char* const text :
       {"", "[]", "3", "{", R"({"a")", R"({"a":[1)", R"({"a":1 "b":2})",
        R"({"a":1,"a":2})", R"({"a":[1 2]})"}) {
    Document document;
    CHECK_FALSE_TEXT(Compare(text, &document, 1).has_value(), text);
  }
}

// Guards against a document that differs from what was put: compared with the
// naive way, which parses and replaces the whole.
TEST(Replication, EqualsTheWholeAfterAnyChanges) {
  std::mt19937 random(20261207);
  Document document;
  for (std::uint32_t number = 1; number <= 200; ++number) {
    const json state = MakeState(&random);
    ApplyText(state.dump(), &document, number);
    CHECK(Sorted(json::parse(FormatDocument(document))) == Sorted(state));
  }
}

// Guards against a daemon that is behind and gets changes with a gap.
TEST(Replication, TheLogLeadsFromEachOfItsPlaces) {
  const auto at = [](int revision) { return store::Place(revision, 1); };
  replication::ChangeLog log;
  Append({at(1), at(2), "a"}, &log);
  Append({at(2), at(5), "b"}, &log);
  Append({at(5), at(6), "c"}, &log);
  struct Row {
    int base;
    std::size_t most;
    const char* changes;  ///< nullptr for none.
  };
  const Row rows[] = {{1, 9, "abc"},   {2, 9, "bc"},    {5, 9, "c"},
                      {6, 9, nullptr}, {3, 9, nullptr}, {0, 9, nullptr},
                      {1, 2, nullptr}};
  for (const Row& row : rows) {
    const auto changes = ChangesSince(log, at(row.base), row.most);
    CHECK_EQUAL(row.changes != nullptr, changes.has_value());
    if (changes)
      STRCMP_EQUAL(row.changes, changes->c_str());
  }
  Append({at(9), at(10), "d"}, &log);
  CHECK_FALSE(ChangesSince(log, at(5), 9).has_value());
  CHECK(ChangesSince(log, at(9), 9).has_value());
}
