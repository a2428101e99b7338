#include "objectapi/object_json.h"

#include <optional>

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::objectapi {
namespace {

struct LineRow {
  const char* line;
  std::optional<ErrorCode> error;  ///< Nothing if the line is valid.
  ChangeType type;
  std::int64_t version;
};

const LineRow kLineRows[] = {
    {R"({"type":"ADDED","object":{"metadata":{"name":"a","resourceVersion":"7"},"spec":{}}})",
     {},
     ChangeType::kAdded,
     7},
    {R"({"type":"MODIFIED","object":{"metadata":{"name":"a","resourceVersion":8},"spec":1}})",
     {},
     ChangeType::kModified,
     8},
    {R"({"type":"DELETED","object":{"metadata":{"name":"a","resourceVersion":"9"},"spec":{}}})",
     {},
     ChangeType::kDeleted,
     9},
    {R"({"type":"ERROR","object":{"code":410}})", ErrorCode::kGone, {}, 0},
    {R"({"type":"ERROR","object":{"code":500}})", ErrorCode::kInvalid, {}, 0},
    {R"({"type":"ADDED","object":{"metadata":{"name":"a"},"spec":{}}})",
     ErrorCode::kInvalid,
     {},
     0},
    {R"({"type":"ADDED","object":{"metadata":{"name":"a","resourceVersion":"7x"},"spec":{}}})",
     ErrorCode::kInvalid,
     {},
     0},
    {R"({"type":"ADDED","object":{"metadata":{"resourceVersion":"7"},"spec":{}}})",
     ErrorCode::kInvalid,
     {},
     0},
    {R"({"type":"ADDED","object":{"metadata":{"name":"a","resourceVersion":"7"}}})",
     ErrorCode::kInvalid,
     {},
     0},
    {R"({"type":"ADDED"})", ErrorCode::kInvalid, {}, 0},
    {R"({"object":{}})", ErrorCode::kInvalid, {}, 0},
    {R"({"type":"ADD)", ErrorCode::kInvalid, {}, 0},
    {"[]", ErrorCode::kInvalid, {}, 0},
    {"", ErrorCode::kInvalid, {}, 0},
};

}  // namespace

TEST_GROUP(ObjectJson){};

// Guards against changes taken from a line that was cut or half understood.
TEST(ObjectJson, ParsesWatchLines) {
  for (const LineRow& row : kLineRows) {
    const Result<Change> change = ParseWatchLine("config", row.line);
    CHECK_EQUAL_TEXT(!row.error.has_value(), change.has_value(), row.line);
    if (!change) {
      CHECK_TEXT(*row.error == change.error().code, row.line);
      continue;
    }
    CHECK_TEXT(row.type == change.value().type, row.line);
    CHECK_EQUAL_TEXT(row.version, change.value().object.resource_version,
                     row.line);
    STRCMP_EQUAL("config", change.value().object.kind.c_str());
    STRCMP_EQUAL("a", change.value().object.name.c_str());
  }
}

// Guards against a write that loses its version or its text, which would make
// a conditional update unconditional.
TEST(ObjectJson, ObjectsSurviveARoundTrip) {
  const Object object{"records", "r", 12,
                      R"({"text":"a\nb \u00e9","n":[1,2]})"};
  const Result<std::string> text = FormatObject(object);
  CHECK(text.has_value());
  const Result<Object> parsed = ParseObject("records", text.value());
  CHECK(parsed.has_value());
  CHECK_EQUAL(12, parsed.value().resource_version);
  const Result<std::string> again = FormatObject(parsed.value());
  CHECK(again.has_value());
  STRCMP_EQUAL(text.value().c_str(), again.value().c_str());
  CHECK_FALSE(FormatObject({"records", "r", 1, "{"}).has_value());
  CHECK_FALSE(FormatObject({"records", "r", 1, "\"\xff\""}).has_value());
}

// Guards against a list that is taken although an item of it is malformed:
// what is absent from a list counts as gone.
TEST(ObjectJson, ListsAreWholeOrInvalid) {
  const char* const good =
      R"({"metadata":{"resourceVersion":"5"},"items":[
         {"metadata":{"name":"a","resourceVersion":"3"},"spec":{}}]})";
  const char* const bad =
      R"({"metadata":{"resourceVersion":"5"},"items":[
         {"metadata":{"name":"a","resourceVersion":"3"},"spec":{}},{}]})";
  const Result<ObjectList> list = ParseObjectList("vms", good);
  CHECK(list.has_value());
  CHECK_EQUAL(5, list.value().resource_version);
  CHECK_EQUAL(1U, list.value().items.size());
  for (const char* invalid :
       {bad, R"({"items":[]})", R"({"metadata":{"resourceVersion":"5"}})", ""})
    CHECK_FALSE(ParseObjectList("vms", invalid).has_value());
}

// Guards against an object of another writer that hides all others of its kind
// or ends the process: its spec is read as null, which no reader takes.
TEST(ObjectJson, UnreadableSpecsHideNoOthers) {
  const std::string deep =
      std::string(450'000, '[') + std::string(450'000, ']');
  const std::string specs[] = {R"({"x":1e999})", R"({"x":nan})", "\"\xff\"",
                               deep};
  for (const std::string& spec : specs) {
    const std::string odd =
        R"({"metadata":{"name":"odd","resourceVersion":"4"},"spec":)" + spec +
        "}";
    const Result<ObjectList> list = ParseObjectList(
        "vms", R"({"metadata":{"resourceVersion":"5"},"items":[)" + odd +
                   R"(,{"metadata":{"name":"a","resourceVersion":"3"},)"
                   R"("spec":{"b":1}}]})");
    CHECK(list.has_value());
    LONGS_EQUAL(2, list.value().items.size());
    STRCMP_EQUAL("odd", list.value().items[0].name.c_str());
    STRCMP_EQUAL("null", list.value().items[0].spec.c_str());
    STRCMP_EQUAL(R"({"b":1})", list.value().items[1].spec.c_str());
    const Result<Change> change =
        ParseWatchLine("vms", R"({"type":"ADDED","object":)" + odd + "}");
    CHECK(change.has_value());
    STRCMP_EQUAL("null", change.value().object.spec.c_str());
  }
}

}  // namespace coltsfootvane::objectapi
