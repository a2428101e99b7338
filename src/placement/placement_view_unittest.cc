#include "placement/placement_view.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane {
namespace {

struct ParseRow {
  const char* json;
  bool valid;
  const char* formatted;
};

constexpr ParseRow kParseRows[] = {
    {R"({"endpoints":[]})", true, R"({"endpoints":[]})"},
    {R"({"endpoints":[{"id":"b","ready":["y","x"]},
                      {"id":"a","leaving":true,"ready":[]}]})",
     true,
     R"({"endpoints":[{"id":"a","leaving":true,"ready":[]},)"
     R"({"id":"b","leaving":false,"ready":["x","y"]}]})"},
    {R"({"endpoints":[{"id":"a","ready":["x"],"later":1}]})", true,
     R"({"endpoints":[{"id":"a","leaving":false,"ready":["x"]}]})"},
    {R"({"endpoints":[{"ready":[]}]})", false, ""},
    {R"({"endpoints":[{"id":"a"}]})", false, ""},
    {R"({"endpoints":[{"id":"a","leaving":1,"ready":[]}]})", false, ""},
    {R"({"endpoints":[{"id":"a","ready":[1]}]})", false, ""},
    {R"({"endpoints":["a"]})", false, ""},
    {R"({})", false, ""},
    {R"([])", false, ""},
    {R"({"endpoints":[)", false, ""},
};

}  // namespace

TEST_GROUP(PlacementView){};

// Guards against routing requests by a partly parsed placement, and against
// lookups in unsorted lists.
TEST(PlacementView, ParsesAndFormats) {
  for (const ParseRow& row : kParseRows) {
    const Result<PlacementView> view = ParsePlacement(row.json);
    CHECK_EQUAL_TEXT(row.valid, view.has_value(), row.json);
    if (view)
      STRCMP_EQUAL(row.formatted, FormatPlacement(view.value()).c_str());
  }
}

// Guards against returning the next entry in sort order for an absent endpoint
// or item.
TEST(PlacementView, FindsOnlyExistingEntries) {
  const PlacementView view =
      ParsePlacement(R"({"endpoints":[{"id":"e2","ready":["m1","m3"]},
                                      {"id":"e4","ready":[]}]})")
          .value();
  for (const char* absent : {"", "e1", "e3", "e5"})
    CHECK_TEXT(FindPlacement(view, absent) == nullptr, absent);
  const EndpointPlacement* const found = FindPlacement(view, "e2");
  CHECK(found != nullptr);
  CHECK(IsReady(*found, "m1"));
  CHECK(IsReady(*found, "m3"));
  for (const char* absent : {"", "m0", "m2", "m4"})
    CHECK_FALSE(IsReady(*found, absent));
  CHECK_FALSE(IsReady(*FindPlacement(view, "e4"), "m1"));
}

}  // namespace coltsfootvane
