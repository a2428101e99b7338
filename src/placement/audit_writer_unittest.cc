#include "placement/audit_writer.h"

#include <mutex>
#include <string>
#include <vector>

#include "http/server.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::detail {

TEST_GROUP(AuditWriter){};

// Guards against losing entries when the first attempt fails or the writer
// stops, and against a retry under a new id, which would duplicate the entry.
TEST(AuditWriter, RetriesAndWritesQueuedEntriesOnStop) {
  std::mutex mutex;
  std::vector<std::string> bodies;
  http::ServerOptions options;
  const std::string host = testing::OwnLoopbackHost();
  options.listen = {host, testing::FreePort(host)};
  options.threads = 4;
  const auto server = http::Server::Start(
      options, [&](const http::Request& request, http::ReplyStream& reply) {
        std::lock_guard<std::mutex> lock(mutex);
        bodies.push_back(request.body);
        // The first write takes effect, but its response is lost.
        if (bodies.size() == 1)
          reply.Abort();
        else
          reply.Send({409, {}, R"({"reason":"AlreadyExists"})"});
      });
  CHECK(server.has_value());
  AuditWriter writer(objectapi::MakeConnection(options.listen, 100), "entry-1");
  writer.Start();
  writer.Add("load", "endpoints/e1", "item=m", 4, 5);
  const TimePoint deadline = Clock::now() + Milliseconds{5000};
  const auto count = [&] {
    std::lock_guard<std::mutex> lock(mutex);
    return bodies.size();
  };
  while (count() < 2 && Clock::now() < deadline)
    std::this_thread::sleep_for(Milliseconds{5});
  writer.Add("unload", "endpoints/e1", "item=m", 5, 6);
  writer.Stop();
  LONGS_EQUAL(3, bodies.size());
  STRCMP_EQUAL(bodies[0].c_str(), bodies[1].c_str());
  for (const char* text : {R"("from_version":4)", R"("to_version":5)",
                           R"("actor":"entry-1")", R"("action":"load")"})
    STRCMP_CONTAINS(text, bodies[0].c_str());
  STRCMP_CONTAINS(R"("action":"unload")", bodies[2].c_str());
  server.assume_value()->Stop();
}

}  // namespace coltsfootvane::detail
