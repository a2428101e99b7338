#include "app/sender_registry.h"

#include <string>

#include "distribution/daemon_registration.h"
#include "process.h"
#include "site.h"

#include <CppUTest/TestHarness.h>

using coltsfootvane::Clock;
using coltsfootvane::DaemonRecord;
using coltsfootvane::Milliseconds;
using coltsfootvane::SenderRegistry;
using coltsfootvane::TimePoint;
using namespace coltsfootvane::testing;  // NOLINT(google-build-using-namespace)
namespace objectapi = coltsfootvane::objectapi;

TEST_GROUP(SenderRegistry){};

// Guards against a living sender, asked about first each time, that uses up the
// reads, so that the commands of a process that has ended stay open for ever;
// and against a process that counts as gone when the platform does not say so.
TEST(SenderRegistry, LivingSenderDoesNotHideAnEndedOne) {
  SiteOptions options;
  options.daemons = 1;
  Site site{options};
  site.StartPlatform();
  const objectapi::Connection connection =
      objectapi::MakeConnection(site.platform, 1000);
  for (const char* id : {"entry-1", "entry-2"}) {
    DaemonRecord record;
    record.daemon_id = id;
    record.incarnation = std::string("live-") + id;
    record.data_centre = "dc1";
    record.entry = record.admin = record.peer = site.platform;
    CHECK(coltsfootvane::WriteDaemonRecord(connection, record,
                                           Milliseconds{1000}, In(5000))
              .has_value());
  }
  SenderRegistry senders(connection);
  const TimePoint start = Clock::now();
  bool ended_is_gone = false;
  for (int round = 0; round < 5; ++round) {
    const TimePoint now = start + Milliseconds{600 * round};
    CHECK(!senders.IsGone("live-entry-1", now));
    ended_is_gone = senders.IsGone("ended", now);
  }
  CHECK(ended_is_gone);
  CHECK(!senders.IsGone("live-entry-2", start + Milliseconds{6000}));
  // The list of VMs errs only late, so that a missing one has ended.
  const objectapi::Object vm{objectapi::kVmKind, "entry-1", 0, "{}"};
  CHECK(objectapi::CreateObject(connection, vm, In(5000)).has_value());
  CHECK(senders.IsGone("live-entry-2", start + Milliseconds{8000}));
  CHECK(!senders.IsGone("live-entry-1", start + Milliseconds{10000}));
}
