#include <map>
#include <string>
#include <vector>

#include "base/name_text.h"
#include "platform_site.h"
#include "replica_site.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::CallResult;
using testing::PlatformSite;
using testing::ReceivedRequest;
using testing::ReplicaSite;
using testing::ReplicaStandin;
using StreamPtr = std::shared_ptr<net::TcpStream>;

namespace {

/// Names of entries that name no replica, whatever their descriptions are.
const char* const kOddNames[] = {"r1&x",       "r1+x",    "r1#x", "r1%x",
                                 "r1%41",      "r1 x",    "A r1", "r1\"x\\",
                                 "r1\xc3\xa9", "r1/../r2"};
/// From the ack of a replica's leaving.
constexpr int kDrainMs = 2000;

/// When the odd entries come.
struct Moment {
  const char* name;
  bool restarts;
};
constexpr Moment kMoments[] = {{"while running", false},
                               {"at the restart", true}};

/// Appends how often a name was used, unless it was not.
void AddFinding(const std::string& name,
                std::size_t count,
                std::string* findings) {
  if (count > 0)
    *findings += Printable(name) + ": " + std::to_string(count) + "; ";
}

void Restart(testing::GatewayProcess* daemon) {
  daemon->process->Kill();
  daemon->Start();
  CHECK(daemon->AwaitReady());
}

int CountSkipped(const std::string& log, const std::string& name) {
  const std::string line =
      "endpoint-unreadable endpoint=" + Printable(name) + " reason=";
  int count = 0;
  for (std::size_t at = log.find(line); at != std::string::npos;
       at = log.find(line, at + 1))
    ++count;
  return count;
}

void CheckAllServed(const ReplicaSite& site, const Moment& moment) {
  CHECK_TEXT(site.results.size() > 50, moment.name);
  for (const CallResult& result : site.results)
    LONGS_EQUAL_TEXT(200, result.status, moment.name);
}

}  // namespace

TEST_GROUP(OddNames){};

// Guards against requests for a stranger whose entry is sound but for its name:
// such an entry names no replica. Each name ends a page of the list.
TEST(OddNames, StrangersGetNoRequests) {
  constexpr int kHeartbeatsMs = 1500;
  for (const Moment& moment : kMoments) {
    ReplicaSite site(2);
    site.store.page_size = 1;
    CHECK_TEXT(site.Start(), moment.name);
    std::vector<ReplicaStandin*> strangers;
    for (const char* const name : kOddNames)
      strangers.push_back(site.AddReplica(name));
    site.RunFor(kHeartbeatsMs);
    if (moment.restarts)
      Restart(&site.daemon);
    site.StartCalls("/safe/1");
    site.RunFor(2 * kHeartbeatsMs);
    site.StopCalls();
    site.RunFor(500);
    std::string reached;
    for (const ReplicaStandin* const stranger : strangers)
      AddFinding(stranger->id, stranger->arrivals.size(), &reached);
    STRCMP_EQUAL_TEXT("", reached.c_str(), moment.name);
    // Each heartbeat of a stranger is a new version of its entry.
    for (const ReplicaStandin* const stranger : strangers)
      LONGS_EQUAL_TEXT(1, CountSkipped(site.daemon.Log(), stranger->id),
                       moment.name);
    CheckAllServed(site, moment);
    LONGS_EQUAL_TEXT(0, site.store.refused_targets, moment.name);
  }
}

// Guards against tries that are meant for an odd name at the address of a sound
// replica, and against requests that reach a replica by way of such a copy
// after its leaving was acknowledged.
TEST(OddNames, CopiesOfSoundEntriesAreNotUsed) {
  for (const Moment& moment : kMoments) {
    ReplicaSite site(2);
    site.store.page_size = 1;
    CHECK_TEXT(site.Start(), moment.name);
    std::map<std::string, std::size_t>
        tries;  // By the replica that is expected.
    for (const auto& replica : site.replicas) {
      replica->answer = [&tries, raw = replica.get()](
                            const ReceivedRequest& request,
                            const StreamPtr& stream) {
        const std::string expected(
            net::FieldValue(request.head.fields, "Expect-Instance"));
        ++tries[expected];
        if (expected != raw->id)
          testing::Reply(stream, 421, "", {{"Instance-Id", raw->id}});
        else
          raw->Run(request, stream);
      };
    }
    ReplicaStandin* const leaving = site.replicas[0].get();
    for (const char* const name : kOddNames)
      site.store.Put("servers", name, leaving->Entry());
    if (moment.restarts)
      Restart(&site.daemon);
    site.StartCalls("/safe/1");
    site.RunFor(1500);
    site.silent.insert(leaving->id);
    site.store.Put("servers", leaving->id, leaving->Entry("draining"));
    site.RunFor(kDrainMs);
    const TimePoint from = Clock::now();
    site.RunFor(1500);
    site.StopCalls();
    site.RunFor(500);
    std::string meant_for_odd;
    for (const char* const name : kOddNames)
      AddFinding(name, tries[name], &meant_for_odd);
    STRCMP_EQUAL_TEXT("", meant_for_odd.c_str(), moment.name);
    LONGS_EQUAL_TEXT(0, leaving->CountArrivals(from, Clock::now()),
                     moment.name);
    CHECK_TEXT(tries["r1"] > 0 && tries["r2"] > 0, moment.name);
    CheckAllServed(site, moment);
  }
}

// Guards against requests, calls for reports and orders at a stranger that is
// described as an engine.
TEST(OddNames, StrangersAreNoEngines) {
  for (const Moment& moment : kMoments) {
    PlatformSite site;
    site.engine_models = {"m1"};
    std::map<std::string, std::size_t> arrivals;  // By target.
    testing::LoopbackServer stranger(
        &site.io, site.host,
        [&arrivals](const ReceivedRequest& request, const StreamPtr& stream) {
          ++arrivals[request.head.target];
          testing::Reply(stream, 200, R"({"sequence":0,"models":[]})",
                         testing::AnswerFields(request));
        });
    site.PutConfig(1);
    site.Announce();
    site.daemon.Start();
    CHECK_TEXT(site.daemon.AwaitReady(), moment.name);
    for (const char* const name : kOddNames) {
      nlohmann::json entry = site.store.Get("servers", "engine-1");
      entry["address"] = stranger.AddressText();
      site.store.Put("servers", name, entry);
    }
    if (moment.restarts)
      Restart(&site.daemon);
    // The second model has to be loaded first.
    std::string unserved;
    for (const char* const model : {"m1", "m2"}) {
      const bool is_served = site.RunUntil(
          [&site, model] {
            const auto answer = site.Call(
                "/chat/1", {{"Model", model}, {"Token-Usage", "10,10"}});
            return answer && answer.value().head.status == 200;
          },
          15'000);
      if (!is_served)
        unserved += model;
    }
    std::string reached;
    for (const auto& [target, count] : arrivals)
      AddFinding(target, count, &reached);
    STRCMP_EQUAL_TEXT("", reached.c_str(), moment.name);
    STRCMP_EQUAL_TEXT("", unserved.c_str(), moment.name);
  }
}
