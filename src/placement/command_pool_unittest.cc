#include "placement/command_pool.h"

#include <string>

#include "http/server.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::detail {
namespace {

constexpr std::int64_t kEpoch = 7;

EndpointJob MakeJob(const http::Address& engine) {
  EndpointJob job;
  job.id = 1;
  job.address = engine;
  job.epoch = kEpoch;
  for (const char* item : {"m1", "m2"}) {
    endpoint::Command command;
    command.item = item;
    command.version = "1";
    job.commands.push_back(command);
  }
  return job;
}

}  // namespace

TEST_GROUP(CommandPool){};

// Guards against sending commands after the lease has expired or under the
// epoch of an earlier lease, and against a missing result in these cases.
TEST(CommandPool, SendsOnlyWithPermission) {
  struct Row {
    const char* name;
    std::int64_t epoch;
    int lease_ms;
    bool sent;
  };
  const Row rows[] = {{"held", kEpoch, 10000, true},
                      {"expired", kEpoch, -1, false},
                      {"lost", 0, 10000, false},
                      {"later epoch", kEpoch + 1, 10000, false}};
  std::atomic<int> received{0};
  http::ServerOptions options;
  const std::string host = testing::OwnLoopbackHost();
  options.listen = {host, testing::FreePort(host)};
  options.threads = 4;
  const auto server = http::Server::Start(
      options, [&received](const http::Request&, http::ReplyStream& reply) {
        ++received;
        reply.Send({200, {}, "{}"});
      });
  CHECK(server.has_value());
  for (const Row& row : rows) {
    received = 0;
    SendPermission permission;
    permission.epoch = row.epoch;
    permission.until = Clock::now() + Milliseconds{row.lease_ms};
    CommandPool pool(&permission);
    pool.Start();
    CHECK_TEXT(pool.Push(MakeJob(options.listen)), row.name);
    const auto result = pool.PopResult(Clock::now() + Milliseconds{5000});
    CHECK_TEXT(result.has_value(), row.name);
    LONGS_EQUAL_TEXT(row.sent ? 2 : 0, received.load(), row.name);
    LONGS_EQUAL_TEXT(2, result->responses.size(), row.name);
    for (const Result<bool>& response : result->responses) {
      CHECK_TEXT(response.has_value() == row.sent, row.name);
      if (!row.sent)
        CHECK_TEXT(response.assume_error().code == ErrorCode::kNotSent,
                   row.name);
    }
  }
  server.assume_value()->Stop();
}

}  // namespace coltsfootvane::detail
