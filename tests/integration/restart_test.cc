#include <string>

#include "replica_site.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::ReplicaSite;

namespace {

/// Within which service has to be back after the daemons are.
constexpr Milliseconds kRecoveryLimit{12'000};
constexpr int kCalls = 20;

/// Kills the daemon, starts it again, and returns how many of kCalls calls are
/// served once it has had the time to recover, which ends with the first one.
int CallsServedAfterRestart(ReplicaSite* site) {
  site->daemon.process->Kill();
  site->daemon.Start();
  const TimePoint limit = Clock::now() + kRecoveryLimit;
  while (site->Call("/safe/").status != 200 && Clock::now() < limit)
    site->RunFor(100);
  int served = 0;
  for (int i = 0; i < kCalls; ++i)
    served += site->Call("/safe/").status == 200 ? 1 : 0;
  return served;
}

}  // namespace

TEST_GROUP(Restart){};

// Guards against an entry of another writer that hides the others of its kind
// from a daemon that starts, as its name is written into the call for the next
// page: no request is served while it stands (RECOVER, issue 58).
TEST(Restart, OddNamesInTheStoreHideNoReplica) {
  struct Row {
    const char* kind;
    const char* name;  ///< Ends the first page, unless said otherwise.
  };
  const Row rows[] = {{"servers", "r1 x"},           {"servers", "r1#x"},
                      {"servers", "r1\"x"},          {"servers", "r1\xc3\xa9"},
                      {"servers", "r1\r\nHost: x"},  {"servers", "r1%"},
                      {"servers", "r1&x"},           {"servers", "&x"},
                      {"servers", "r1&after=r9"},    {"servers", "r1%7Ax"},
                      {"servers", "r1+x"},           {"servers", "r1/../x"},
                      {"servers", "r1?x=1"},         {"config", "a&x"},
                      {"coltsfootvane-daemons", " "}};
  for (const Row& row : rows) {
    ReplicaSite site(3);
    CHECK_TEXT(site.Start(), row.name);
    site.store.Put(row.kind, row.name, {{"x", 1}});
    site.store.Put(row.kind, std::string(row.name) + "y", {{"x", 1}});
    LONGS_EQUAL_TEXT(kCalls, CallsServedAfterRestart(&site), row.name);
    LONGS_EQUAL_TEXT(0, site.store.refused_targets, row.name);
  }
}

// Guards against a daemon that starts and refuses everything, though it has
// read most endpoints: the store refuses a later page of each listing.
TEST(Restart, EndpointsOfAFirstPageAreUsed) {
  for (const char* const kind : {"servers", "config"}) {
    ReplicaSite site(3);
    CHECK_TEXT(site.Start(), kind);
    for (const char* const name : {"x1", "x2", "x3"})
      site.store.Put(kind, name, {{"x", 1}});
    site.store.faults.refuses_pages = true;
    LONGS_EQUAL_TEXT(kCalls, CallsServedAfterRestart(&site), kind);
    LONGS_EQUAL_TEXT(200, site.daemon.Ready(), kind);
    // The listing that is complete in the end shows what is gone.
    site.silent.insert("r1");
    site.store.Remove("servers", "r1");
    site.store.faults.refuses_pages = false;
    CHECK_TEXT(site.RunUntil(
                   [&site] {
                     return site.daemon.Log().find("endpoint-gone") !=
                            std::string::npos;
                   },
                   5000),
               kind);
  }
}
