#include <string>
#include <vector>

#include "platform_site.h"
#include "replica_site.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::PlatformSite;
using testing::ReplicaSite;

namespace {

constexpr char kDaemonKind[] = "coltsfootvane-daemons";
constexpr char kLeaseKind[] = "coltsfootvane-leases";
constexpr char kQuarantineKind[] = "coltsfootvane-quarantine";

std::string Nested(int depth) {
  const auto levels = static_cast<std::size_t>(depth);
  return std::string(levels, '[') + std::string(levels, ']');
}

/// Texts that describe nothing of any kind.
std::vector<std::string> OddTexts() {
  return {"null",
          "[]",
          R"("x&y+z#% ")",
          R"({"x":1})",
          R"({"holder":1e999,"parts":1e999,"address":1e999})",
          "{\"holder\":\"\xff\",\"parts\":\"\xff\",\"address\":\"\xff\"}",
          Nested(2000)};
}

/// Calls a model that no engine holds yet, until an order has loaded it.
bool LoadsOnRequest(PlatformSite* site, const char* model) {
  constexpr int kLimitMs = 15'000;
  return site->RunUntil(
      [site, model] {
        const auto answer =
            site->Call("/chat/1", {{"Model", model}, {"Token-Usage", "10,10"}});
        return answer && answer.value().head.status == 200;
      },
      kLimitMs);
}

/// Returns whether the route that this version adds is served within the time
/// for changes. Few calls are made, since the log has a limit of lines.
bool IsInForceSoon(ReplicaSite* site, int version) {
  constexpr int kConfigLimitMs = 2000;
  constexpr int kPauseMs = 50;
  const std::string path = "/version" + std::to_string(version) + "/";
  const TimePoint limit = Clock::now() + Milliseconds(kConfigLimitMs);
  while (site->Call(path).status != 200) {
    if (Clock::now() >= limit)
      return false;
    site->RunFor(kPauseMs);
  }
  return true;
}

/// Objects of the daemons that another writer has replaced.
struct OddObjects {
  std::string lease;
  std::string record;  ///< Of quarantined parts.
  std::string registration;
};

void PutOddObjects(const OddObjects& odd, testing::StoreStandin* store) {
  store->PutText(kLeaseKind, "planner", odd.lease);
  store->PutText(kQuarantineKind, "parts", odd.record);
  store->PutText(kDaemonKind, "vm-1", odd.registration);
}

/// Checks that the daemon gives orders and serves beside the objects, while it
/// runs and after a restart.
void CheckOddObjects(const OddObjects& odd) {
  PlatformSite site;
  site.engine_models = {"m1"};
  site.PutConfig(1);
  site.Announce();
  site.daemon.Start();
  CHECK_TEXT(site.daemon.AwaitReady(), odd.lease.c_str());
  PutOddObjects(odd, &site.store);
  CHECK_TEXT(LoadsOnRequest(&site, "m2"), odd.lease.c_str());
  CHECK_TEXT(site.last_fencing_token > 0, odd.lease.c_str());
  PutOddObjects(odd, &site.store);
  site.daemon.process->Kill();
  site.daemon.Start();
  CHECK_TEXT(site.daemon.AwaitReady(), odd.lease.c_str());
  CHECK_TEXT(LoadsOnRequest(&site, "m1/a2"), odd.lease.c_str());
  CHECK_TEXT(site.last_fencing_token > 0, odd.lease.c_str());
}

}  // namespace

TEST_GROUP(OddEntries){};

// Guards against an entry of any kind whose name hides the others of its kind,
// or keeps changes from coming into force. Each kind has each name with each
// text; entries of daemons have sound addresses too, at which nobody answers.
TEST(OddEntries, NamesOfEachKindHideNothing) {
  const char* const names[] = {"a&x",   "a+x", "a#x",    "a%x",
                               "a%41",  "a x", "a\"x\\", "a\xc3\xa9",
                               "a/../", " ",   "a\r\nb", "&after=z"};
  const char* const kinds[] = {"servers", "config", kDaemonKind, kLeaseKind,
                               kQuarantineKind};
  std::vector<std::string> texts = OddTexts();
  texts.emplace_back(R"({"address":"127.77.0.9"})");
  for (const char* const kind : kinds) {
    ReplicaSite site(3);
    CHECK_TEXT(site.Start(), kind);
    for (const char* const name : names) {
      for (std::size_t i = 0; i < texts.size(); ++i)
        site.store.PutText(kind, name + std::to_string(i), texts[i]);
    }
    for (const bool restarts : {false, true}) {
      if (restarts) {
        site.daemon.process->Kill();
        site.daemon.Start();
        CHECK_TEXT(site.daemon.AwaitReady(), kind);
      }
      const int version = restarts ? 3 : 2;
      site.PutConfig(version);
      CHECK_TEXT(IsInForceSoon(&site, version), kind);
      for (int i = 0; i < 20; ++i)
        LONGS_EQUAL_TEXT(200, site.Call("/safe/").status, kind);
    }
    LONGS_EQUAL_TEXT(0, site.store.refused_targets, kind);
    CHECK_TEXT(site.daemon.process->IsRunning(), kind);
  }
}

// Guards against texts of the daemons' own objects that end a process, or after
// which nobody gives orders.
TEST(OddEntries, OddTextsOfOwnObjectsEndNoOrders) {
  for (const std::string& text : OddTexts())
    CheckOddObjects({text, text, text});
}

// Guards against objects that are sound but for one value: orders with negative
// tokens follow an epoch that has no next one.
TEST(OddEntries, OddValuesOfOwnObjectsEndNoOrders) {
  const OddObjects rows[] = {
      {R"({"holder":"x","epoch":9223372036854775807,"renewals":1})",
       R"({"parts":[{"part":"ab&x","involvements":[{"crash":1,)"
       R"("at":1770000000000,"answering":true,"observers":[1,2,3]}]}]})",
       R"({"address":"127.0.0.1:80"})"},
      {R"({"holder":"x","epoch":1e300,"renewals":-1})",
       R"({"parts":[{"part":"","involvements":[{"crash":1e300,)"
       R"("at":-9223372036854775808,"answering":1}]}]})",
       R"({"address":" 127.0.0.1"})"},
      {R"({"holder":"a &+#%\r\nb","epoch":5,"renewals":1})",
       R"({"parts":[{"part":"\u0000","involvements":[]}]})",
       R"({"address":"127.0.0.1%lo"})"}};
  for (const OddObjects& row : rows)
    CheckOddObjects(row);
}

// Guards against a configuration that is not readable and replaces the one in
// force. The operator writes it anew, as the store accepts only valid ones.
TEST(OddEntries, OddConfigurationsReplaceNone) {
  ReplicaSite site(1);
  CHECK(site.Start());
  int version = 1;
  for (const std::string& text : OddTexts()) {
    site.store.PutText("config", "main", text);
    site.RunFor(300);
    for (int i = 0; i < 5; ++i)
      LONGS_EQUAL_TEXT(200, site.Call("/safe/").status, text.c_str());
    site.PutConfig(++version);
    CHECK_TEXT(IsInForceSoon(&site, version), text.c_str());
  }
  STRCMP_CONTAINS("config-unreadable", site.daemon.Log().c_str());
}
