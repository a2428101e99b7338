#include "objectapi/client.h"

#include <string>
#include <thread>
#include <vector>

#include "http/server.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::objectapi {
namespace {

/// Ends the row's watch instead of a chunk.
constexpr char kCut[] = "cut";

std::string Line(int version) {
  const std::string text = std::to_string(version);
  return R"({"type":"MODIFIED","object":{"metadata":{"name":"r)" + text +
         R"(","resourceVersion":")" + text + R"("},"spec":{}}})" + "\n";
}

struct Row {
  const char* name;
  std::vector<std::string> chunks;
  const char* delivered;  ///< Batches, as versions.
  std::int64_t next;      ///< 0 for an error.
};

const std::vector<Row> kRows = {
    {"quiet", {}, "", 5},
    {"one change", {Line(6)}, "6;", 6},
    {"later changes in one watch", {Line(6), Line(8)}, "6;8;", 8},
    {"changes of one write", {Line(6) + Line(7)}, "6,7;", 7},
    {"split line",
     {Line(6).substr(0, 20), Line(6).substr(20) + Line(7)},
     "6,7;",
     7},
    {"cut after a change", {Line(6), kCut}, "6;", 6},
    {"cut in a line", {Line(6), Line(7).substr(0, 20), kCut}, "6;", 6},
    {"cut before a change", {kCut}, "", 0},
    {"malformed after a change", {Line(6), "x\n"}, "6;", 6},
};

struct Watched {
  std::string delivered;
  std::int64_t next = 0;
  int calls = 0;
};

Watched Watch(const Row& row) {
  Watched watched;
  http::ServerOptions options;
  const std::string host = testing::OwnLoopbackHost();
  options.listen = {host, testing::FreePort(host)};
  options.threads = 2;
  const auto server = http::Server::Start(
      options, [&](const http::Request&, http::ReplyStream& reply) {
        ++watched.calls;
        reply.Begin(200, {});
        for (const std::string& chunk : row.chunks) {
          if (chunk == kCut) {
            reply.Abort();
            return;
          }
          reply.Write(chunk);
          std::this_thread::sleep_for(Milliseconds{150});
        }
        reply.End();
      });
  WatchHandler handler;
  handler.on_changes = [&watched](const ChangeBatch& batch) {
    for (const Change& change : batch.changes) {
      if (&change != &batch.changes.front())
        watched.delivered += ",";
      watched.delivered += std::to_string(change.object.resource_version);
    }
    watched.delivered += ";";
  };
  const auto next =
      WatchObjects(MakeConnection(options.listen, 20), kPlacementKind, 5,
                   Clock::now() + Milliseconds{3000}, handler);
  watched.next = next ? next.value() : 0;
  return watched;
}

}  // namespace

TEST_GROUP(PlatformWatch){};

// Guards against a watch that ends with each change: with 4 regions that
// publish each second, 320 daemons would make 1,280 calls a second. Also guards
// against changes that are lost or half read.
TEST(PlatformWatch, DeliversAllChangesOfOneCall) {
  for (const Row& row : kRows) {
    const Watched watched = Watch(row);
    STRCMP_EQUAL_TEXT(row.delivered, watched.delivered.c_str(), row.name);
    CHECK_EQUAL_TEXT(row.next, watched.next, row.name);
    CHECK_EQUAL_TEXT(1, watched.calls, row.name);
  }
}

}  // namespace coltsfootvane::objectapi
