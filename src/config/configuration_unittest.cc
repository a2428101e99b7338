#include <string>
#include <vector>

#include "config/bundle.h"
#include "config/part.h"

#include <CppUTest/TestHarness.h>

using coltsfootvane::BundlePart;
using coltsfootvane::Configuration;
using coltsfootvane::ConfigurationHead;
using coltsfootvane::DiffConfigurations;
using coltsfootvane::Findings;
using coltsfootvane::FormatFinding;
using coltsfootvane::FormatHead;
using coltsfootvane::MakeBundle;
using coltsfootvane::ParseConfiguration;
using coltsfootvane::ParseHead;
using coltsfootvane::ReadBundle;

namespace {

// The declared lines of each row start at line 1 of part `b`.
constexpr char kBase[] =
    "data_centres: [{name: dc1, region: r1}]\n"
    "models: [{name: m, version: 1, memory_mb: 60}]\n"
    "endpoints:\n"
    "- {id: e1, kind: engine, data_centre: dc1, address: '127.0.0.1:1',"
    " memory_mb: 100}\n"
    "- {id: s1, kind: service, data_centre: dc1, address: '127.0.0.1:2',"
    " service: booking}\n";

struct Row {
  const char* text;
  std::vector<std::string> findings;
};

const Row kFaults[] = {
    {"", {}},
    {"adapters: [{name: a, model: m, version: 1, memory_mb: 40}]", {}},
    {"speed: 1", {"b:1:1: unknown key 'speed'"}},
    {"models: 5", {"b:1:9: 'models' must be a list"}},
    {"models: [5]", {"b:1:10: must be a mapping of keys to values"}},
    {"models: [{name: x, name: y, version: 1, memory_mb: 1}]",
     {"b:1:20: duplicate key 'name'"}},
    {"models: [{name: m, version: 1, memory_mb: 1}]",
     {"b:1:10: model or adapter 'm' is declared already at a:2"}},
    {"adapters: [{name: m, model: m, version: 1, memory_mb: 1}]",
     {"b:1:12: model or adapter 'm' is declared already at a:2"}},
    {"models: [{name: a/b, version: 1, memory_mb: -1}]",
     {"b:1:17: 'name' must be a name: at most 100 letters, digits, '.', '_' "
      "or '-', starting with a letter or digit",
      "b:1:45: 'memory_mb' must be a whole number from 1 to 67108864"}},
    {"adapters: [{name: a, model: x, version: 1, memory_mb: 1}]",
     {"b:1:12: adapter 'a' refers to model 'x', which is not declared"}},
    {"endpoints: [{id: e2, kind: engine, data_centre: dc2, memory_mb: 1,"
     " address: '127.0.0.1:1'}]",
     {"b:1:13: address '127.0.0.1:1' is declared already at a:4",
      "b:1:13: endpoint 'e2' refers to data centre 'dc2', which is not "
      "declared"}},
    {"endpoints: [{id: e1, kind: engine, data_centre: dc1, memory_mb: 1,"
     " address: 'localhost:70000'}]",
     {"b:1:13: endpoint 'e1' is declared already at a:4",
      "b:1:77: 'address' must be IPv4:PORT, with port 1 to 65535"}},
    {"endpoints: [{id: s2, kind: service, data_centre: dc1, memory_mb: 1,"
     " address: '127.0.0.1:3'}]",
     {"b:1:13: missing key 'service'",
      "b:1:66: 'memory_mb' is allowed for engines only"}},
    {"endpoints: [{id: e2, kind: engine, data_centre: dc1, memory_mb: 1,"
     " refuses_when_leaving: true, address: '127.0.0.1:3'}]",
     {"b:1:90: 'refuses_when_leaving' is allowed for services only"}},
    {"routes: [{path_prefix: /x/, kind: service, service: cookbook}]",
     {"b:1:10: route '/x/' refers to service 'cookbook', which no endpoint "
      "has"}},
    {"routes: [{path_prefix: /x/, kind: engine}, {path_prefix: /x/, kind: "
     "engine}]",
     {"b:1:44: route '/x/' is declared already at b:1"}},
    {"routes: [{path_prefix: /x/, kind: service, service: booking,"
     " irreversible: [{method: post, path_prefix: /y}]}]",
     {"b:1:86: 'method' must be one of POST, PUT, PATCH, DELETE, GET",
      "b:1:92: '/y' is outside the route '/x/'"}},
    {"callers: [{name: a, api_key: k, priority: lookup},"
     " {name: b, api_key: k, priority: lookup}]",
     {"b:1:52: API key is declared already at b:1"}},
    {"classes: {lookup: {minimum_share: 0.5}, overnight: {minimum_share: 0.5}}",
     {"b:1:41: the minimum shares of all classes sum up to more than 0.9"}},
    {"classes: {lookup: {minimum_share: 0.3}, overnight: {minimum_share: 0.6}}",
     {}},
    {"classes: {lookup: {minimum_share: .nan, value: 0}}",
     {"b:1:35: 'minimum_share' must be a number from 0 to 1",
      "b:1:48: 'value' must be a number from 0.001 to 1e+06"}},
    {"survival_goal: rack",
     {"b:1:16: 'survival_goal' must be one of vm, data_centre, region"}},
    {"models: [{name: x, version: 1, memory_mb: 41}]",
     {"b:1:10: model 'x' (41 MB) does not fit the engines beside the others"}},
    {"adapters: [{name: a, model: m, version: 1, memory_mb: 41}]",
     {"b:1:12: adapter 'a' (41 MB) does not fit an engine with its model"}},
    {"models: [{name: x, version: 1, memory_mb: 40, min_copies: 2}]",
     {"b:1:10: model 'x' needs 2 copies, but only 1 engines are large enough "
      "for it"}},
    {"models: [\n", {"b:2:1: malformed YAML: end of sequence flow not found"}},
    {"# \xff\n", {"b:0:0: the text is not UTF-8"}},
};

std::string Join(const Findings& findings) {
  std::string text;
  for (const auto& finding : findings)
    text += FormatFinding(finding) + "\n";
  return text;
}

std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines)
    text += line + "\n";
  return text;
}

Configuration Parse(const std::string& text, Findings* findings) {
  return ParseConfiguration(MakeBundle({{"b", text, ""}, {"a", kBase, ""}}),
                            findings);
}

}  // namespace

TEST_GROUP(Configuration){};

// Guards against a faulty configuration that is accepted, and against findings
// that are lost, out of order or at a wrong place.
TEST(Configuration, ReportsEveryFaultWithItsPlace) {
  for (const Row& row : kFaults) {
    Findings findings;
    Parse(row.text, &findings);
    STRCMP_EQUAL(Join(row.findings).c_str(), Join(findings).c_str());
  }
}

// Guards against a part that the platform would refuse after a passed check.
TEST(Configuration, ReportsAPartAboveOneMegabyte) {
  Findings findings;
  Parse(std::string(coltsfootvane::kMaxPartBytes, '#'), &findings);
  STRCMP_EQUAL("b:0:0: the file is above 1 MB; split it into several\n",
               Join(findings).c_str());
}

// Guards against examples that drift from the parser.
TEST(Configuration, AcceptsTheExamples) {
  for (const char* name : {"small", "shop", "kitchen"}) {
    const auto bundle =
        ReadBundle(std::string(COLTSFOOTVANE_SOURCE_DIR) + "/examples/" + name);
    CHECK(bundle.has_value());
    Findings findings;
    ParseConfiguration(bundle.value(), &findings);
    STRCMP_EQUAL("", Join(findings).c_str());
  }
}

// Guards against a digest that depends on the order of reading, or that stays
// the same when a text moves to another file.
TEST(Configuration, DigestCoversNamesAndTexts) {
  const auto first = MakeBundle({{"a", "x", ""}, {"b", "y", ""}});
  const auto reordered = MakeBundle({{"b", "y", ""}, {"a", "x", ""}});
  const auto swapped = MakeBundle({{"a", "y", ""}, {"b", "x", ""}});
  STRCMP_EQUAL(first.digest.c_str(), reordered.digest.c_str());
  CHECK(first.digest != swapped.digest);
}

// Guards against changes that an operator is not shown, and printed API keys.
TEST(Configuration, DiffNamesEveryChange) {
  Findings findings;
  const Configuration from = Parse(
      "models: [{name: x, version: 1, memory_mb: 1}]\n"
      "callers: [{name: c, api_key: secret-1, priority: lookup}]\n",
      &findings);
  const Configuration to = Parse(
      "models: [{name: y, version: 1, memory_mb: 1}]\n"
      "callers: [{name: c, api_key: secret-2, priority: lookup}]\n"
      "classes: {lookup: {value: 4}}\n",
      &findings);
  const std::string text = Join(DiffConfigurations(from, to));
  CHECK(text.find("- model x\n") != std::string::npos);
  CHECK(text.find("+ model y\n") != std::string::npos);
  CHECK(text.find("~ class lookup: value 1.0 -> 4.0\n") != std::string::npos);
  CHECK(text.find("~ caller c: api_key_digest") != std::string::npos);
  CHECK(text.find("secret") == std::string::npos);
  CHECK(DiffConfigurations(to, to).empty());
}

// Guards against a head that changes on its way through the platform, and a
// malformed one that is taken for version 0.
TEST(Configuration, HeadSurvivesItsJsonForm) {
  const ConfigurationHead head{7, "d", {{"a.yaml", "e"}}, "chef", 6};
  const auto read = ParseHead(FormatHead(head));
  CHECK(read.has_value());
  STRCMP_EQUAL(FormatHead(head).c_str(), FormatHead(read.value()).c_str());
  LONGS_EQUAL(7, read.value().version);
  STRCMP_EQUAL("e", read.value().parts.at(0).digest.c_str());
  for (const char* bad : {"", "{}", "[]", "{\"version\":\"1\"}"})
    CHECK(!ParseHead(bad).has_value());
}
