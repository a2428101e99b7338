#include "distribution/daemon_registration.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane {
namespace {

DaemonRecord MakeRecord(const char* incarnation, bool leaving) {
  DaemonRecord record;
  record.daemon_id = "d1";
  record.incarnation = incarnation;
  record.data_centre = "dc1";
  record.entry = {"10.0.0.1", 8080};
  record.admin = {"10.0.0.1", 8081};
  record.peer = {"10.0.0.1", 8082};
  record.leaving = leaving;
  return record;
}

struct StepRow {
  bool leaving;                    ///< Wanted, by incarnation "mine".
  const char* stored_incarnation;  ///< Null if nothing is stored.
  bool stored_leaving;
  const char* first_seen;
  RegistrationStep step;
};

constexpr StepRow kStepRows[] = {
    {false, nullptr, false, "", RegistrationStep::kWrite},
    {false, "old", false, "old", RegistrationStep::kWrite},
    {false, "mine", false, "old", RegistrationStep::kDone},
    {false, "new", false, "old", RegistrationStep::kReplaced},
    {false, "new", false, "", RegistrationStep::kReplaced},
    {true, "mine", false, "mine", RegistrationStep::kWrite},
    {true, "mine", true, "mine", RegistrationStep::kDone},
    {true, "new", false, "new", RegistrationStep::kReplaced},
    {true, nullptr, false, "", RegistrationStep::kWrite},
};

constexpr const char* kMalformed[] = {
    "",
    "{}",
    "[]",
    R"({"incarnation":"i"})",
    R"({"incarnation":"i","data_centre":"d","entry":"a:1","admin":"a:2","peer":"a","state":"live"})",
    R"({"incarnation":"","data_centre":"d","entry":"a:1","admin":"a:2","peer":"a:3","state":"live"})",
    R"({"incarnation":"i","data_centre":"d","entry":1,"admin":"a:2","peer":"a:3","state":"live"})",
};

}  // namespace

TEST_GROUP(DaemonRegistration){};

// Guards against a paused start, or the shutdown of an old process, that
// overwrites the incarnation of a later one: others would take the later
// process for ended.
TEST(DaemonRegistration, NeverReplacesALaterStart) {
  for (const StepRow& row : kStepRows) {
    const DaemonRecord wanted = MakeRecord("mine", row.leaving);
    const bool has_stored = row.stored_incarnation != nullptr;
    const DaemonRecord stored = MakeRecord(
        has_stored ? row.stored_incarnation : "", row.stored_leaving);
    CHECK(row.step == NextRegistrationStep(wanted,
                                           has_stored ? &stored : nullptr,
                                           row.first_seen));
  }
}

// Guards against peers that are contacted at a wrong address.
TEST(DaemonRegistration, RecordsSurviveARoundTrip) {
  for (const bool leaving : {false, true}) {
    const std::string text = FormatDaemonRecord(MakeRecord("i", leaving));
    const Result<DaemonRecord> record = ParseDaemonRecord("d1", text);
    CHECK(record.has_value());
    STRCMP_EQUAL(text.c_str(), FormatDaemonRecord(record.value()).c_str());
    STRCMP_EQUAL("d1", record.value().daemon_id.c_str());
  }
  for (const char* const json : kMalformed)
    CHECK_FALSE_TEXT(ParseDaemonRecord("d1", json).has_value(), json);
}

}  // namespace coltsfootvane
