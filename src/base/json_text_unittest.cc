#include "base/json_text.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

namespace {

std::string Nested(int depth) {
  return std::string(static_cast<std::size_t>(depth), '[') +
         std::string(static_cast<std::size_t>(depth), ']');
}

}  // namespace

TEST_GROUP(JsonText){};

TEST(JsonText, SplitsObjectsWithoutReadingTheirValues) {
  struct Row {
    const char* text;
    bool valid;
    const char* value;  ///< Of the member `a`.
  };
  const Row rows[] = {
      {R"({"a":1})", true, "1"},
      {R"( { "a" : [1, {"b":"]}"}] , "c":2 } )", true, R"([1, {"b":"]}"}])"},
      {R"({"a":"x\"}y"})", true, R"("x\"}y")"},
      {R"({"\u0061":true})", true, "true"},
      {R"({"a":1,"a":2})", true, "2"},
      {R"({"a":1e999,"b":nan})", true, "1e999"},
      {R"({"b":[}],"a":3})", false, ""},
      {R"({"b":[{]},"a":3})", true, "3"},
      {"{}", true, ""},
      {"", false, ""},
      {"[1]", false, ""},
      {R"({"a")", false, ""},
      {R"({"a":)", false, ""},
      {R"({"a":"x)", false, ""},
      {R"({"a":[1)", false, ""},
      {R"({"a":1 "b":2})", false, ""},
      {R"({a:1})", false, ""},
      {"{\"a\\", false, ""},
  };
  for (const Row& row : rows) {
    const auto members = SplitJsonObject(row.text);
    CHECK_EQUAL_TEXT(row.valid, members.has_value(), row.text);
    if (members)
      STRCMP_EQUAL_TEXT(
          row.value, std::string(FindJsonMember(members.value(), "a")).c_str(),
          row.text);
  }
}

TEST(JsonText, SplitsArrays) {
  struct Row {
    const char* text;
    bool valid;
    std::size_t elements;
  };
  const Row rows[] = {
      {"[]", true, 0},
      {"[1]", true, 1},
      {R"([{"a":[1,2]},"b,c"])", true, 2},
      {"[1,", false, 0},
      {"[,]", false, 0},
      {"[1 2]", false, 0},
      {R"(["a)", false, 0},
      {"{}", false, 0},
      {"", false, 0},
  };
  for (const Row& row : rows) {
    const auto elements = SplitJsonArray(row.text);
    CHECK_EQUAL_TEXT(row.valid, elements.has_value(), row.text);
    if (elements)
      LONGS_EQUAL_TEXT(row.elements, elements.value().size(), row.text);
  }
}

TEST(JsonText, RejectsWhatCannotBeHeld) {
  struct Row {
    std::string text;
    const char* error;  ///< Empty if the text is valid.
  };
  const Row rows[] = {
      {R"({"a":[1.5,"x",null]})", ""},
      {"18446744073709551615", ""},
      {"1e308", ""},
      {"1e999", "a number is out of range"},
      {"-1e999", "a number is out of range"},
      {"nan", "not JSON"},
      {"", "not JSON"},
      {"\"\xff\"", "not JSON"},
      {R"({"a":[}])", "not JSON"},
      {Nested(32), ""},
      {Nested(33), "nested too deeply"},
      {Nested(500'000), "nested too deeply"},
      {std::string(500'000, '['), "nested too deeply"},
      {"\"" + std::string(100, '[') + "\"", ""},
  };
  for (const Row& row : rows) {
    const auto parsed = ParseUntrustedJson(row.text);
    STRCMP_EQUAL(row.error, parsed ? "" : parsed.error().message.c_str());
  }
}
