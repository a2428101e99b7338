#include "endpoint/sse_parser.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using coltsfootvane::endpoint::SseParser;
using coltsfootvane::endpoint::StreamEvent;

std::string Describe(const std::vector<std::string>& pieces) {
  SseParser parser;
  std::string text;
  const auto append = [&text](const StreamEvent& event) {
    text += std::to_string(event.id) + "=" + event.data + ";";
    return true;
  };
  for (const std::string& piece : pieces)
    CHECK(parser.Feed(piece, append));
  return text;
}

}  // namespace

TEST_GROUP(SseParser){};

// Guards against events that are lost, doubled or merged when the network
// splits the stream at an unlucky byte.
TEST(SseParser, EverySplitYieldsTheSameEvents) {
  struct Row {
    const char* input;
    const char* events;
  };
  const Row rows[] = {
      {"id: 1\ndata: {\"a\":1}\n\ndata: [DONE]\n\n", "1={\"a\":1};0=[DONE];"},
      {"id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n", "1=x;2=y;"},
      {"data: a\rdata: b\r\r", "0=a\nb;"},
      {"data: one\ndata: two\n\n", "0=one\ntwo;"},
      {": comment\n\ndata:x\n\n", "0=x;"},
      {"event: error\nid: 7\ndata\n\n", "7=;"},
      {"id: 5\n\ndata: z\n\n", "0=z;"},
      {"id: none\ndata:  two spaces\n\n", "0= two spaces;"},
      {"data: unfinished\n", ""},
  };
  for (const Row& row : rows) {
    const std::string input = row.input;
    for (std::size_t split = 0; split <= input.size(); ++split) {
      STRCMP_EQUAL_TEXT(
          row.events,
          Describe({input.substr(0, split), input.substr(split)}).c_str(),
          row.input);
    }
    std::vector<std::string> bytes;
    for (const char byte : input)
      bytes.emplace_back(1, byte);
    STRCMP_EQUAL_TEXT(row.events, Describe(bytes).c_str(), row.input);
  }
}

// Guards against an engine that fills the daemon's memory with one line.
TEST(SseParser, OverlongLineIsRejected) {
  SseParser parser;
  const std::string line(SseParser::kMaxLineBytes, 'x');
  const auto accept = [](const StreamEvent&) { return true; };
  CHECK(parser.Feed(line, accept));
  CHECK(!parser.Feed("x", accept));
}
