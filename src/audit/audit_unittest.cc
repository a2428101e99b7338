#include "audit/audit.h"

#include <regex>
#include <string>

#include <CppUTest/TestHarness.h>

using coltsfootvane::AuditEntry;
using coltsfootvane::CurrentTimeIso;
using coltsfootvane::FormatAuditEntry;
using coltsfootvane::ParseAuditEntry;

TEST_GROUP(Audit){};

// Guards against fields that are lost or swapped on the way to the platform.
TEST(Audit, EntrySurvivesItsJsonForm) {
  const AuditEntry entry{"apply-7",
                         "2026-01-02T03:04:05.006Z",
                         "chef",
                         "apply",
                         "config/head",
                         6,
                         7,
                         "digest=\"x\""};
  const std::string json = FormatAuditEntry(entry);
  const auto read = ParseAuditEntry(json);
  CHECK(read.has_value());
  STRCMP_EQUAL(json.c_str(), FormatAuditEntry(read.value()).c_str());
  STRCMP_EQUAL("chef", read.value().actor.c_str());
  LONGS_EQUAL(6, read.value().from_version);
}

// Guards against malformed entries that end the process or read as empty ones.
TEST(Audit, ReportsMalformedEntries) {
  for (const char* json : {"", "{}", "[]", "{\"id\":1}"})
    CHECK(!ParseAuditEntry(json).has_value());
}

// Guards against times that do not sort as text.
TEST(Audit, TimeHasAFixedForm) {
  CHECK(std::regex_match(
      CurrentTimeIso(),
      std::regex(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z)")));
}
