#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/timer.h"
#include "support/gateway_scene.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::CallerRequest;
using testing::GatewayScene;
using testing::Has;

namespace {

const std::string kHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Signature: p\r\n";
const std::string kPart = kHead + "\r\npart of a body";
const std::string kEvents =
    kHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";
/// Too long to be collected, so that its head reaches the caller first.
const std::string kLongPart = kHead + "\r\n" + std::string(300'000, 'x');

void Upsert(GatewayScene* scene, bool draining, std::int64_t incarnation) {
  gateway::EndpointEntry entry = scene->gateway.endpoint_list.front()->entry;
  entry.draining = draining;
  entry.incarnation = incarnation;
  UpsertEndpoint(&scene->gateway.endpoints, std::move(entry));
  UpdateEndpointList(&scene->gateway);
}

void Remove(GatewayScene* scene) {
  RemoveEndpoint(&scene->gateway.endpoints, "e1");
  UpdateEndpointList(&scene->gateway);
}

}  // namespace

TEST_GROUP(UnframedEnd){};

/// Guards against a part of an answer without a length that looks complete: the
/// endpoint's process ended within the answer, and the daemon knew that the
/// endpoint was leaving, gone or replaced. Its address may have a new process.
TEST(UnframedEnd, AnswersOfLeavingEndpointsAreBroken) {
  struct Change {
    const char* name;
    std::function<void(GatewayScene*)> apply;
    bool complete;
  };
  const Change changes[] = {
      {"healthy", [](GatewayScene*) {}, true},
      {"draining", [](GatewayScene* scene) { Upsert(scene, true, 0); }, false},
      {"restarted", [](GatewayScene* scene) { Upsert(scene, false, 1); },
       false},
      {"removed", Remove, false},
      {"stated that it leaves",
       [](GatewayScene* scene) {
         scene->gateway.endpoint_list.front()->stated->leaving = true;
       },
       false}};
  struct Answer {
    const char* path;
    std::string bytes;
    const char* broken_status;
  };
  const Answer answers[] = {{"/unsafe/", kPart, "502"},
                            {"/unsafe/", kLongPart, "200"},
                            {"/stream/", kEvents, "200"}};
  for (const Change& change : changes) {
    for (const Answer& row : answers) {
      GatewayScene scene;
      scene.AddEndpoint("e1");
      boost::asio::steady_timer end(scene.io, Milliseconds(40));
      end.async_wait([&](const boost::system::error_code&) {
        change.apply(&scene);
        scene.AnswerLateAndClose(row.bytes);
      });
      const std::string answer = scene.Call(CallerRequest(row.path));
      const std::string context = std::string(change.name) + " " + row.path +
                                  ": " + answer.substr(0, 200);
      const bool complete =
          Has(answer, "200 OK") &&
          (Has(answer, "Content-Length: ") || Has(answer, "\r\n0\r\n\r\n"));
      CHECK_EQUAL_TEXT(change.complete, complete, context.c_str());
      if (!change.complete)
        CHECK_TEXT(Has(answer, std::string("HTTP/1.1 ") + row.broken_status),
                   context.c_str());
    }
  }
}

/// Guards against a part of an answer without a length that looks complete: its
/// end is seen only after a silence, in which the endpoint has ended and its
/// address has a new process, which the store tells of a little later.
TEST(UnframedEnd, SilenceMayHideARestart) {
  struct Row {
    const char* name;
    int first_ms;  ///< Until the first bytes of the answer.
    int end_ms;    ///< From then until further bytes and the end.
    bool restarted;
    bool complete;
  };
  const Row rows[] = {
      {"no silence, healthy", 40, 40, false, true},
      {"silence before the answer, healthy", 500, 0, false, true},
      {"silence before the answer", 500, 0, true, false},
      {"silence within the answer, healthy", 40, 500, false, true},
      {"silence within the answer", 40, 500, true, false},
  };
  const std::string request =
      "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: id1\r\n"
      "Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi";
  for (const Row& row : rows) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    auto table = std::make_shared<gateway::RoutingTable>(*scene.gateway.routes);
    testing::ChangeRoutes(table.get(), [](gateway::Route* route) {
      route->timeout = Milliseconds(4000);
    });
    scene.gateway.routes = table;
    net::Timer first(&scene.io);
    net::Timer end(&scene.io);
    net::Timer check_in(&scene.io);
    first.Set(Milliseconds(row.first_ms), [&] {
      if (row.end_ms > 0)
        scene.AnswerLate(kPart);
    });
    end.Set(Milliseconds(row.first_ms + row.end_ms),
            [&] { scene.AnswerLateAndClose(row.end_ms > 0 ? "more" : kPart); });
    check_in.Set(Milliseconds(row.first_ms + row.end_ms + 300), [&] {
      if (row.restarted)
        Upsert(&scene, false, 1);
    });
    const std::string answer = scene.Call(request);
    CHECK_TEXT(Has(answer, row.complete ? "HTTP/1.1 200" : "HTTP/1.1 502"),
               (std::string(row.name) + ": " + answer).c_str());
  }
}
