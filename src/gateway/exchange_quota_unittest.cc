#include <functional>
#include <string>
#include <utility>

#include "support/gateway_scene.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using gateway::QuotaDecision;
using testing::CallerRequest;
using testing::GatewayScene;
using testing::Has;

namespace {

const std::string kOk =
    "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Signature: p\r\n"
    "Content-Length: 4\r\n\r\ndone";
const std::string kNotRun =
    "HTTP/1.1 503 Busy\r\nRequest-Id: id1\r\nNot-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";

using Done = std::function<void(const QuotaDecision&)>;

/// A scene whose only team has a quota, with a stand-in for the owner.
struct QuotaScene : GatewayScene {
  QuotaScene() {
    this->AddEndpoint("e1");
    auto table = std::make_shared<gateway::RoutingTable>(*this->gateway.routes);
    team::Quota quota;
    quota.unit = team::QuotaUnit::kTokens;
    quota.per_second = 1000;
    quota.plain_units = 7;
    table->teams.Edit().teams = {{"red", {"k1"}, std::nullopt, quota},
                                 {"blue", {"k2"}, std::nullopt, {}}};
    team::IndexKeys(&table->teams.Edit(), 7);
    this->gateway.routes = table;
    this->gateway.request_quota = [this](const gateway::QuotaWanted& wanted,
                                         Done done) {
      ++this->asked;
      this->units = wanted.units;
      if (this->decides)
        done(this->decision);
      else
        this->waiting = std::move(done);
    };
    this->gateway.settle_quota = [this](quota::TeamKey, double settled_units) {
      this->settled += settled_units;
    };
    this->decision.granted = true;
    this->answers = {{kOk}};
  }

  QuotaDecision decision;
  bool decides = true;
  Done waiting;
  int asked = 0;
  double units = 0;
  double settled = 0;
};

}  // namespace

TEST_GROUP(ExchangeQuota){};

/// Guards against requests that run without permission or for the wrong number
/// of tokens, and against tokens that are lost with a request that did not run.
TEST(ExchangeQuota, RequestsRunWithPermissionOnly) {
  struct Row {
    const char* name;
    std::string fields;
    bool granted;
    std::string answer;
    const char* status;
    int asked;
    double units;
    double settled;
  };
  const Row rows[] = {
      {"granted", "Key: k1\r\nToken-Usage: 20,300\r\n", true, kOk, "200", 1,
       320, 0},
      {"no tokens stated", "Key: k1\r\n", true, kOk, "200", 1, 7, 0},
      {"rejected", "Key: k1\r\n", false, kOk, "429", 1, 7, 0},
      {"granted and not run", "Key: k1\r\n", true, kNotRun, "503", 1, 7, -7},
      {"no quota", "Key: k2\r\n", false, kOk, "200", 0, 0, 0},
  };
  for (const Row& row : rows) {
    QuotaScene scene;
    scene.decision.granted = row.granted;
    scene.decision.retry_after = Milliseconds(300);
    scene.answers = {{row.answer}};
    const std::string answer =
        scene.Call(CallerRequest("/unsafe/", row.fields));
    CHECK_TEXT(Has(answer, std::string("HTTP/1.1 ") + row.status), row.name);
    LONGS_EQUAL_TEXT(row.asked, scene.asked, row.name);
    DOUBLES_EQUAL_TEXT(row.units, scene.units, 1e-9, row.name);
    DOUBLES_EQUAL_TEXT(row.settled, scene.settled, 1e-9, row.name);
    CHECK_EQUAL_TEXT(
        std::string(row.status) == "429" || std::string(row.status) == "503",
        Has(answer, "Retry-After: "), row.name);
    if (std::string(row.status) == "429")
      LONGS_EQUAL_TEXT(0, scene.received.size(), row.name);
  }
}

/// A caller that leaves, a deadline and the end of a shutdown must not wait for
/// an owner, and permission that comes later must not start the request.
TEST(ExchangeQuota, PermissionThatComesTooLateIsReturned) {
  struct Row {
    const char* name;
    Milliseconds leave_after;
    bool ends;  ///< The daemon ends meanwhile.
    const char* status;
  };
  const Row rows[] = {
      {"the caller leaves", Milliseconds(30), false, ""},
      {"the deadline passes", Milliseconds(0), false, "503"},
      {"the daemon ends", Milliseconds(0), true, "503"},
  };
  for (const Row& row : rows) {
    QuotaScene scene;
    scene.decides = false;
    boost::asio::steady_timer end(scene.io);
    if (row.ends) {
      end.expires_after(Milliseconds(50));
      end.async_wait([&scene](const boost::system::error_code&) {
        EndOpenRequests(&scene.gateway);
      });
    }
    const std::string answer =
        scene.Call(CallerRequest("/unsafe/", "Key: k1\r\n"), row.leave_after);
    CHECK_TEXT(Has(answer, row.status), row.name);
    CHECK_TEXT(
        scene.RunUntil([&scene] { return scene.gateway.exchanges == 0; }),
        row.name);
    scene.waiting({true, false, Milliseconds(0), Milliseconds(0)});
    scene.io.poll();
    LONGS_EQUAL_TEXT(0, scene.received.size(), row.name);
    DOUBLES_EQUAL_TEXT(-7, scene.settled, 1e-9, row.name);
  }
}
