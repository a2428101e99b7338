#include <string>

#include "support/gateway_scene.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::CallerRequest;
using testing::GatewayScene;
using testing::Has;

namespace {

constexpr std::size_t kBlockBytes = 32UL * 1024;

std::string Chunk(std::size_t bytes) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
  return size + std::string(bytes, 'x') + "\r\n";
}

}  // namespace

TEST_GROUP(EndlessAnswer){};

/// Guards against an endpoint whose bytes are no answer and never end: they
/// would fill the daemon's memory, or keep it reading until the request's
/// deadline. The connection is closed and the request fails at once.
TEST(EndlessAnswer, EndsTheRequestBeforeItsDeadline) {
  struct Row {
    const char* name;
    std::string bytes;
    std::string endless;
  };
  const std::string proof = "Request-Id: id1\r\nServer-Signature: p\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string block(kBlockBytes, 'x');
  std::string header_lines;
  std::string interim_heads;
  while (header_lines.size() < kBlockBytes)
    header_lines += "X-Filler: x\r\n";
  while (interim_heads.size() < kBlockBytes)
    interim_heads += "HTTP/1.1 100 Continue\r\n\r\n";
  const Row rows[] = {
      {"status line", "HTTP/1.1 200 ", block},
      {"header line", "HTTP/1.1 200 OK\r\nX-Filler: ", block},
      {"header lines", "HTTP/1.1 200 OK\r\n", header_lines},
      {"interim heads", "", interim_heads},
      {"body without proof", "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\n" + chunked,
       Chunk(kBlockBytes)},
      {"body without proof and framing",
       "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\n\r\n", block},
      {"body of an unclear refusal", "HTTP/1.1 503 Busy\r\n" + proof + chunked,
       Chunk(kBlockBytes)},
      {"body of another request",
       "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n" + chunked,
       Chunk(kBlockBytes)},
      {"chunk extension", "HTTP/1.1 200 OK\r\n" + proof + chunked + "1;",
       block},
      {"trailer", "HTTP/1.1 200 OK\r\n" + proof + chunked + "0\r\n",
       header_lines},
  };
  for (const Row& row : rows) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    scene.answers = {{row.bytes, {}, row.endless}};
    const std::string answer = scene.Call(CallerRequest("/unsafe/"));
    const std::string context =
        std::string(row.name) + ": " + answer.substr(0, 200);
    CHECK_TEXT(Has(answer, "HTTP/1.1 502 "), context.c_str());
    LONGS_EQUAL_TEXT(0, scene.gateway.exchanges, row.name);
    constexpr std::size_t kMaxBytes = 16UL * 1024 * 1024;
    CHECK_TEXT(scene.endless_bytes < kMaxBytes, row.name);
    CHECK_TEXT(
        scene.RunUntil([&scene] { return scene.closed_by_gateway == 1; }),
        row.name);
  }
}
