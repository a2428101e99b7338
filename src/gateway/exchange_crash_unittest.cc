#include <string>
#include <vector>

#include "support/gateway_scene.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using quarantine::Involvement;
using quarantine::PartId;
using testing::CallerRequest;
using testing::GatewayScene;
using testing::Has;
using testing::ScriptedAnswer;
using Then = ScriptedAnswer::Then;

namespace {

const std::string kHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Signature: p\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kFirstEvent = "f\r\nid: 1\ndata: a\n\n\r\n";
const std::string kWhole = kHead + kFirstEvent + "0\r\n\r\n";

constexpr PartId kPart = 0xb;

std::string Request(const char* path) {
  return CallerRequest(path, "Model: m\r\nPrompt-Prefix: a:9,b:9,c:9\r\n");
}

std::unique_ptr<GatewayScene> MakeScene() {
  auto scene = std::make_unique<GatewayScene>();
  for (const char* id : {"e1", "e2", "e3"})
    scene->AddEndpoint(id);
  scene->MakeEngines();
  scene->gateway.quarantine.self = 1;
  return scene;
}

/// Adds a crash that other daemons tell of, with `kPart` among the suspects.
void TellCrash(GatewayScene* scene, quarantine::CrashKey crash, TimePoint at) {
  Involvement involvement;
  involvement.crash = crash;
  involvement.at = at;
  involvement.answering = true;
  involvement.observers = {2, 3};
  quarantine::Suspect suspect;
  suspect.involvements = {involvement};
  MergeSuspects(&scene->gateway, {{kPart, suspect}});
}

int CountOpen(const GatewayScene& scene, PartId part) {
  const auto& suspects = scene.gateway.quarantine.ledger.suspects;
  const auto found = suspects.find(part);
  return found == suspects.end() ? -1 : quarantine::CountOpen(found->second);
}

}  // namespace

TEST_GROUP(ExchangeCrash){};

/// Guards against a request that crashes one engine after the other, and
/// against sound ones that are given up because a connection broke.
TEST(ExchangeCrash, RequestsThatMayHaveCrashedAnEngineAreNotRetried) {
  struct Row {
    const char* name;
    const char* path;
    std::vector<ScriptedAnswer> answers;
    bool known;  ///< Engines have answered with its parts before.
    const char* expected;
    std::size_t sends;
    int crashes;  ///< Counted against the part; -1: it is no suspect.
  };
  const std::vector<Row> rows = {
      {"the engine ends after the head",
       "/resume/",
       {{kHead, Then::kCrash}, {kWhole}},
       false,
       "HTTP/1.1 502",
       1,
       1},
      {"the engine ends before the head",
       "/resume/",
       {{"", Then::kCrash}, {kWhole}},
       false,
       "HTTP/1.1 502",
       1,
       1},
      {"with parts that engines answer with",
       "/resume/",
       {{kHead, Then::kCrash}, {kWhole}},
       true,
       "HTTP/1.1 200",
       2,
       0},
      {"the engine ends after an event",
       "/resume/",
       {{kHead + kFirstEvent, Then::kCrash}, {kHead + "0\r\n\r\n"}},
       false,
       "HTTP/1.1 200",
       2,
       -1},
      {"a closed connection of one that runs",
       "/resume/",
       {{kHead, Then::kClose}, {kWhole}},
       false,
       "HTTP/1.1 200",
       2,
       -1},
      {"a reset of one that runs",
       "/resume/",
       {{kHead, Then::kReset}, {kWhole}},
       false,
       "HTTP/1.1 200",
       2,
       -1},
      {"a request that is not repeated anyway",
       "/stream/",
       {{kHead, Then::kCrash}, {kWhole}},
       false,
       "HTTP/1.1 502",
       1,
       1},
  };
  for (const Row& row : rows) {
    const auto scene = MakeScene();
    scene->answers = row.answers;
    if (row.known)
      RecordAnsweredParts(&scene->gateway, std::vector<PartId>{0xa, kPart});
    const std::string answer = scene->Call(Request(row.path));
    CHECK_TEXT(Has(answer, row.expected), (row.name + answer).c_str());
    CHECK_EQUAL_TEXT(row.sends, scene->received.size(), row.name);
    scene->RunUntil([&] { return CountOpen(*scene, kPart) == row.crashes; });
    CHECK_EQUAL_TEXT(row.crashes, CountOpen(*scene, kPart), row.name);
    CHECK_EQUAL_TEXT(-1, CountOpen(*scene, 0xc), "the last part is its own");
  }
}

/// Guards against blame for connections that end with an engine that leaves,
/// and against crashes that nobody sees since the engine listens again at once.
TEST(ExchangeCrash, CrashesAreToldFromOtherEnds) {
  struct Row {
    const char* name;
    bool draining;
    bool replaced;  ///< Its entry is removed or replaced soon afterwards.
    int crashes;
  };
  const std::vector<Row> rows = {
      {"runs on", false, false, -1},
      {"has been replaced", false, true, 1},
      {"leaves", true, false, -1},
      {"leaves, and is gone", true, true, -1},
  };
  for (const Row& row : rows) {
    const auto scene = MakeScene();
    const gateway::EndpointPtr engine = scene->gateway.endpoint_list.front();
    engine->entry.draining = row.draining;
    bool told = false;
    scene->gateway.crash_watch.OnBroken(engine, {{kPart}, true, BootNow()},
                                        [&told](bool crashed) {
                                          told = true;
                                          CHECK(!crashed);
                                        });
    CHECK(scene->RunUntil([&told] { return told; }));
    engine->gone = row.replaced;
    scene->gateway.crash_watch.Tick(BootNow());
    CHECK_EQUAL_TEXT(row.crashes, CountOpen(*scene, kPart), row.name);
  }
}

/// Guards against further crashes by requests with a quarantined part: new
/// ones, and those that wait at an engine already.
TEST(ExchangeCrash, QuarantinedRequestsReachNoEngine) {
  const auto scene = MakeScene();
  scene->answers = {{""}, {kWhole}};
  const TimePoint now = BootNow();
  boost::asio::steady_timer news(scene->io);
  news.expires_after(Milliseconds(50));
  news.async_wait([&](const boost::system::error_code&) {
    for (int crash = 1; crash <= 3; ++crash)
      TellCrash(scene.get(), static_cast<quarantine::CrashKey>(crash),
                now - Milliseconds(1000 * crash));
  });
  const std::string waiting = scene->Call(Request("/resume/"));
  CHECK(Has(waiting, "HTTP/1.1 502"));
  CHECK(scene->RunUntil([&] { return scene->closed_by_gateway == 1; }));
  CHECK(Has(scene->Call(Request("/stream/")), "HTTP/1.1 502"));
  CHECK_EQUAL(1U, scene->received.size());
  const std::string sound =
      CallerRequest("/stream/", "Model: m\r\nPrompt-Prefix: a:9,d:9,c:9\r\n");
  CHECK(Has(scene->Call(sound), "HTTP/1.1 200"));
}

/// Guards against a part that stays shut out for ever, and against many
/// daemons and requests that try it again at once.
TEST(ExchangeCrash, PartsAreTriedAgainOneRequestAtATime) {
  struct Row {
    int minutes;  ///< Since the last crash.
    int rank;
    const char* expected;
  };
  const std::vector<Row> rows = {
      {4, 0, "HTTP/1.1 502"},
      {6, 0, "HTTP/1.1 200"},
      {6, 1, "HTTP/1.1 200"},
  };
  for (const Row& row : rows) {
    const auto scene = MakeScene();
    scene->answers = {{kWhole}};
    scene->gateway.quarantine.rank = row.rank;
    const TimePoint last = BootNow() - std::chrono::minutes(row.minutes);
    for (int crash = 1; crash <= 3; ++crash)
      TellCrash(scene.get(), static_cast<quarantine::CrashKey>(crash),
                last - Milliseconds(1000 * (crash - 1)));
    CHECK(Has(scene->Call(Request("/stream/")), row.expected));
    const bool tried = std::string(row.expected) == "HTTP/1.1 200";
    CHECK_EQUAL(tried, scene->gateway.quarantine.quarantines.empty());
  }
  gateway::PartQuarantine state;
  quarantine::Quarantine one;
  one.parts = {kPart};
  one.until = TimePoint() + std::chrono::hours(1);
  state.quarantines = {one};
  const std::vector<PartId> parts = {kPart};
  constexpr int kDaemons = 3;
  int usable = 0;
  for (state.rank = 0; state.rank < kDaemons; ++state.rank)
    usable += FindActiveQuarantine(state, parts, kDaemons, one.until) == nullptr
                  ? 1
                  : 0;
  CHECK_EQUAL(1, usable);
  state.trials[kPart] = 1;
  CHECK(FindActiveQuarantine(state, parts, kDaemons,
                             one.until + std::chrono::hours(1)) != nullptr);
}

/// Guards against an answer without a length that is shown as complete although
/// its endpoint has crashed within it, and against a head that stops midway.
TEST(ExchangeCrash, BrokenAnswersAreNotShownAsComplete) {
  const std::string unframed =
      "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Signature: p\r\n";
  const std::string stream =
      unframed + "Content-Type: text/event-stream\r\n\r\n";
  const std::string event = "id: 1\ndata: a\n\n";
  struct Row {
    const char* name;
    const char* path;
    ScriptedAnswer answer;
    const char* status;
    bool complete;
  };
  const std::vector<Row> rows = {
      {"a stream", "/stream/", {stream + event, Then::kClose}, "200", true},
      {"a stream cut by a crash",
       "/stream/",
       {stream + event, Then::kCrash},
       "200",
       false},
      {"a stream without an event",
       "/stream/",
       {stream, Then::kClose},
       "502",
       true},
      {"a stream cut within an event",
       "/stream/",
       {stream + event + "id: 2\nda", Then::kClose},
       "200",
       false},
      {"a body",
       "/unsafe/",
       {unframed + "\r\nbooked", Then::kClose},
       "200",
       true},
      {"a body cut by a crash",
       "/unsafe/",
       {unframed + "\r\nboo", Then::kCrash},
       "502",
       true},
      {"half a head, closed",
       "/unsafe/",
       {unframed, Then::kClose},
       "502",
       true},
      {"half a head, reset", "/unsafe/", {unframed, Then::kReset}, "502", true},
      {"half a refusal, closed",
       "/unsafe/",
       {"HTTP/1.1 503 Busy\r\nRequest-Id: id1\r\nNot-Executed: 1\r\n",
        Then::kClose},
       "502",
       true},
      {"half a refusal, reset",
       "/unsafe/",
       {"HTTP/1.1 421 Other\r\nRequest-Id: id1\r\nNot-Execu", Then::kReset},
       "502",
       true},
  };
  for (const Row& row : rows) {
    const auto scene = MakeScene();
    scene->answers = {row.answer};
    const std::string answer = scene->Call(Request(row.path));
    CHECK_TEXT(Has(answer, std::string("HTTP/1.1 ") + row.status), row.name);
    const bool complete =
        Has(answer, "\r\n0\r\n\r\n") || Has(answer, "Content-Length: ");
    CHECK_EQUAL_TEXT(row.complete, complete, (row.name + answer).c_str());
    CHECK_EQUAL_TEXT(1U, scene->received.size(), row.name);
  }
}

/// Guards against the quarantine of a part that engines have answered with, if
/// several crashes become known late and the other daemons' news of the part
/// that explains them comes some ms later.
TEST(ExchangeCrash, SoundPartsAwaitTheNewsOfOthers) {
  constexpr PartId kSound = 0xa;
  const auto scene = MakeScene();
  RecordAnsweredParts(&scene->gateway, std::vector<PartId>{kSound});
  const TimePoint now = BootNow();
  for (int crash = 1; crash <= 5; ++crash) {
    Involvement seen;
    seen.crash = static_cast<quarantine::CrashKey>(crash);
    seen.at = now - Milliseconds(100 * crash);
    seen.answering = true;
    seen.observers = {1};
    RecordCrash(&scene->gateway, std::vector<PartId>{kSound}, seen);
    CHECK(scene->gateway.quarantine.quarantines.empty());
  }
}
