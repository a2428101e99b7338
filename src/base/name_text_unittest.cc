#include "base/name_text.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

TEST_GROUP(NameText){};

// Guards against names that end a path or a query, add a parameter to it, or
// name another object once they are decoded.
TEST(NameText, TargetsHoldAnyName) {
  struct Row {
    const char* name;
    const char* encoded;
  };
  const Row rows[] = {
      {"planner-r1", "planner-r1"},
      {"a/b", "a%2Fb"},
      {"a b", "a%20b"},
      {"a+b", "a%2Bb"},
      {"a?b#c", "a%3Fb%23c"},
      {"100%", "100%25"},
      {"i%7Ax", "i%257Ax"},
      {"x&after=y", "x%26after%3Dy"},
      {"\xc3\xa9", "%C3%A9"},
      {"a\r\nHost: b", "a%0D%0AHost%3A%20b"},
  };
  for (const Row& row : rows) {
    STRCMP_EQUAL(row.encoded, QueryValue(row.name).c_str());
    STRCMP_EQUAL(row.encoded, PathSegment(row.name).value().c_str());
    STRCMP_EQUAL(row.name, PercentDecode(row.encoded).value().c_str());
    CHECK_TEXT(IsRequestTarget(row.encoded), row.name);
  }
  STRCMP_EQUAL("..", QueryValue("..").c_str());
}

// Guards against a name by which a call is made on the whole kind.
TEST(NameText, SomeNamesAreNoPathSegment) {
  for (const char* const name : {"", ".", ".."})
    CHECK_TEXT(!PathSegment(name), name);
}

// Guards against a stand-in that accepts what a real server refuses.
TEST(NameText, TellsIllegalTargets) {
  for (const char* const target :
       {"", "/a b", "/a#b", "/a\"b", "/a%b", "/a%4", "/a\xc3", "/a\r\nb"}) {
    CHECK_FALSE_TEXT(IsRequestTarget(target), target);
  }
  CHECK(IsRequestTarget("/objects/k?after=a%20b&serializable=1"));
}

// Guards against a name that adds a header field to a message.
TEST(NameText, TellsFieldValues) {
  for (const char* const value : {"", "i-1", "a b", "\xc3\xa9", "a&b=\"c\""})
    CHECK_TEXT(IsFieldValue(value), value);
  for (const char* const value : {" a", "a ", "a\nb", "a\rb", "\t", "a\x7f"})
    CHECK_FALSE_TEXT(IsFieldValue(value), value);
}

// Guards against an entry of another writer that is taken for an endpoint, and
// against an endpoint that is not used for its name.
TEST(NameText, TellsEndpointIds) {
  for (const char* const name :
       {"i-7f3a91c2", "r1", "E_1", "node.7~b", "10.0.0.9:8080", "a@dc", "..."})
    CHECK_TEXT(IsEndpointId(name), name);
  CHECK(IsEndpointId(std::string(256, 'x')));
  for (const char* const name : {"",
                                 ".",
                                 "..",
                                 "i-1&x",
                                 "i-1+x",
                                 "i-1#x",
                                 "i-1%x",
                                 "i-1%41",
                                 "i-1 x",
                                 " i-1",
                                 "i-1 ",
                                 "i-1\"x\\",
                                 "i-1\xc3\xa9",
                                 "i-1/x",
                                 "i-1?x",
                                 "i-1\r\nX: y",
                                 "i-1\x7f",
                                 "i-1,i-2",
                                 "i-1;x",
                                 "i-1=x",
                                 "<i-1>"})
    CHECK_FALSE_TEXT(IsEndpointId(name), name);
  CHECK_FALSE(IsEndpointId(std::string(257, 'x')));
  CHECK_FALSE(IsEndpointId(std::string_view("i-1\0x", 5)));
}

// Guards against a name that forges a log line or another pair of it.
TEST(NameText, LogLinesHoldNoForeignPairs) {
  STRCMP_EQUAL("a?b??", Printable("a\nb\"\xff").c_str());
  STRCMP_EQUAL("a?state=ready", Printable("a state=ready").c_str());
  LONGS_EQUAL(80, Printable(std::string(1000, 'x')).size());
}
