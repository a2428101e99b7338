#include "settings/settings.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using coltsfootvane::DispatchMode;
using coltsfootvane::Findings;
using coltsfootvane::FormatFinding;
using coltsfootvane::ParseSettings;
using coltsfootvane::ReadSettings;
using coltsfootvane::Settings;

namespace {

constexpr char kComplete[] =
    "daemon_id: entry-1\n"
    "data_centre: dc1\n"
    "region: r1\n"
    "entry: {listen: '127.0.0.1:8080'}\n"
    "admin: {listen: '127.0.0.1:8081'}\n"
    "peer: {listen: '127.0.0.1:8082'}\n"
    "platform: {address: '127.0.0.1:8090'}\n";

struct Row {
  std::string text;  ///< Added to kComplete.
  std::vector<std::string> findings;
};

const Row kFaults[] = {
    {"speed: 1\n", {"f:8:1: unknown key 'speed'"}},
    {"region: r2\n", {"f:8:1: duplicate key 'region'"}},
    {"records: 5\n", {"f:8:10: must be a mapping of keys to values"}},
    {"records: {keep_hours: 0}\n",
     {"f:8:23: 'keep_hours' must be a whole number from 1 to 8784"}},
    {"records: {keep_hours: 1.5}\n",
     {"f:8:23: 'keep_hours' must be a whole number from 1 to 8784"}},
    {"records: {keep_hours: '5'}\n",
     {"f:8:23: 'keep_hours' must be a whole number from 1 to 8784"}},
    {"records: {keep_seconds: 0}\n",
     {"f:8:25: 'keep_seconds' must be a whole number from 1 to 31622400"}},
    {"records: {keep_hours: 1, keep_seconds: 5}\n",
     {"f:8:26: 'keep_seconds' and 'keep_hours' exclude each other"}},
    {"dispatch: {mode: fast}\n",
     {"f:8:18: 'mode' must be one of granted, naive"}},
    {"records: {keep_hours: 0, keep: 1}\nshutdown: {stop_timeout_ms: x}\n",
     {"f:8:23: 'keep_hours' must be a whole number from 1 to 8784",
      "f:8:26: unknown key 'keep'",
      "f:9:29: 'stop_timeout_ms' must be a whole number from 100 to "
      "3600000"}},
    {"---\na: 1\n", {"f:9:1: a second YAML document in the file"}},
    {"shutdown: [\n",
     {"f:9:1: malformed YAML: end of sequence flow not found"}},
};

std::vector<std::string> Format(const Findings& findings) {
  std::vector<std::string> lines;
  for (const auto& finding : findings)
    lines.push_back(FormatFinding(finding));
  return lines;
}

std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines)
    text += line + "\n";
  return text;
}

}  // namespace

TEST_GROUP(Settings){};

// Guards against a fault that is accepted, reported at a wrong place, or hidden
// by an earlier one.
TEST(Settings, ReportsEveryFaultWithItsPlace) {
  for (const Row& row : kFaults) {
    Findings findings;
    ParseSettings("f", kComplete + row.text, &findings);
    STRCMP_EQUAL(Join(row.findings).c_str(), Join(Format(findings)).c_str());
  }
}

// Guards against a daemon that starts without an address or identity.
TEST(Settings, ReportsMissingKeys) {
  Findings findings;
  ParseSettings("f", "entry: {threads: 10}\n", &findings);
  STRCMP_EQUAL(
      "f:1:1: missing key 'admin'\n"
      "f:1:1: missing key 'daemon_id'\n"
      "f:1:1: missing key 'data_centre'\n"
      "f:1:1: missing key 'peer'\n"
      "f:1:1: missing key 'platform'\n"
      "f:1:1: missing key 'region'\n"
      "f:1:8: 'refusal_threads' must be below 'threads'\n"
      "f:1:8: missing key 'listen'\n",
      Join(Format(findings)).c_str());
}

// Guards against listeners that cannot both open their port.
TEST(Settings, ReportsSharedPorts) {
  Findings findings;
  std::string text = kComplete;
  text.replace(text.find("127.0.0.1:8081"), 14, "0.0.0.0:8080");
  ParseSettings("f", text, &findings);
  STRCMP_EQUAL("f:5:1: admin.listen uses the same port as entry.listen\n",
               Join(Format(findings)).c_str());
}

// Guards against a sample that drifts from the parser, and values that end up
// in the wrong field.
TEST(Settings, ReadsTheSample) {
  Findings findings;
  const Settings settings =
      ReadSettings(COLTSFOOTVANE_SOURCE_DIR "/examples/daemon.yaml", &findings);
  STRCMP_EQUAL("", Join(Format(findings)).c_str());
  STRCMP_EQUAL("entry-1", settings.daemon_id.c_str());
  LONGS_EQUAL(8080, settings.entry_listen.port);
  LONGS_EQUAL(8081, settings.admin_listen.port);
  LONGS_EQUAL(32, settings.admin_threads);
  LONGS_EQUAL(8082, settings.peer_listen.port);
  LONGS_EQUAL(8090, settings.platform.port);
  LONGS_EQUAL(1, settings.first_peers.size());
  LONGS_EQUAL(60000, settings.stop_timeout_ms);
  CHECK(settings.dispatch_mode == DispatchMode::kGranted);
}

// Guards against limits that are not taken over, and against a default that
// does not follow the system.
TEST(Settings, LimitsFollowTheSystemUnlessSet) {
  struct Row {
    const char* limits;
    int memory_mb;
    int max_fds;
    const char* findings;
  };
  const Row rows[] = {
      {"", 0, 0, ""},
      {"limits: {memory_mb: 112, max_fds: 2870}\n", 112, 2870, ""},
  };
  for (const Row& row : rows) {
    Findings findings;
    const Settings settings = ParseSettings(
        "f", std::string(kComplete) + "\n" + row.limits, &findings);
    STRCMP_EQUAL_TEXT(row.findings, Join(Format(findings)).c_str(), row.limits);
    LONGS_EQUAL(row.memory_mb, settings.memory_mb);
    LONGS_EQUAL(row.max_fds, settings.max_fds);
  }
}

// Guards against a missing file that reads as empty settings.
TEST(Settings, ReportsAnUnreadableFile) {
  Findings findings;
  ReadSettings("/nonexistent/daemon.yaml", &findings);
  STRCMP_EQUAL("/nonexistent/daemon.yaml:0:0: cannot be read\n",
               Join(Format(findings)).c_str());
}
