#include <string>
#include <vector>

#include "support/gateway_scene.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::CallerRequest;
using testing::GatewayScene;
using testing::Has;

namespace {

std::string AnswerWith(const std::string& status) {
  return "HTTP/1.1 " + status +
         " X\r\nRequest-Id: id1\r\nServer-Signature: p\r\n"
         "Content-Length: 4\r\n\r\ndone";
}

}  // namespace

TEST_GROUP(AnswerStatus){};

/// Guards against a number that is no status and passes for an interim one: the
/// call waited for another answer until its deadline, though the endpoint had
/// answered. It must not reach the caller either.
TEST(AnswerStatus, NumbersThatAreNoStatusEndTheSend) {
  struct Row {
    const char* path;
    const char* status;  ///< Of the first endpoint; the second answers 200.
    const char* expected;
    std::size_t sends;
  };
  const Row rows[] = {
      {"/unsafe/", "000", "502", 1},  {"/unsafe/", "001", "502", 1},
      {"/unsafe/", "099", "502", 1},  {"/stream/", "000", "502", 1},
      {"/safe/", "000", "200", 2},    {"/safe/", "099", "200", 2},
      {"/unsafe/", "1000", "502", 1}, {"/unsafe/", "600", "600", 1},
      {"/unsafe/", "999", "999", 1},
  };
  for (const Row& row : rows) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    scene.AddEndpoint("e2");
    scene.answers = {{AnswerWith(row.status)}, {AnswerWith("200")}};
    const std::string answer = scene.Call(CallerRequest(row.path));
    const std::string context =
        std::string(row.path) + " " + row.status + ": " + answer;
    CHECK_TEXT(Has(answer, std::string("HTTP/1.1 ") + row.expected),
               context.c_str());
    LONGS_EQUAL_TEXT(row.sends, scene.received.size(), context.c_str());
    LONGS_EQUAL_TEXT(0, scene.gateway.exchanges, context.c_str());
  }
}

/// An interim answer is not the answer to the request.
TEST(AnswerStatus, InterimAnswersAreNotForwarded) {
  GatewayScene scene;
  scene.AddEndpoint("e1");
  scene.answers = {{"HTTP/1.1 103 Early Hints\r\n\r\n" + AnswerWith("200")}};
  const std::string answer = scene.Call(CallerRequest("/unsafe/"));
  CHECK(Has(answer, "HTTP/1.1 200"));
  CHECK(!Has(answer, "103"));
}
