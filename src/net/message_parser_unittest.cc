#include "net/message_parser.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using net::MessageParser;
using net::ParseFault;

namespace {

constexpr net::ParseLimits kLimits{200, 20};

/// Feeds all bytes in pieces, as they may arrive, and returns what is left.
std::string FeedInPieces(MessageParser* parser,
                         const std::string& bytes,
                         std::size_t piece) {
  std::string input;
  for (std::size_t at = 0; at < bytes.size(); at += piece) {
    input += bytes.substr(at, piece);
    input.erase(0, parser->Feed(input));
  }
  return input;
}

}  // namespace

TEST_GROUP(MessageParser){};

/// Requests that another recipient may cut up differently would let a caller
/// hide a second request in the first.
TEST(MessageParser, RejectsAmbiguousAndOversizedRequests) {
  struct Row {
    const char* name;
    std::string bytes;
    ParseFault fault;
  };
  const std::string post = "POST /a/ HTTP/1.1\r\nHost: h\r\n";
  const Row rows[] = {
      {"plain", post + "Content-Length: 3\r\n\r\nabc", ParseFault::kNone},
      {"chunks",
       post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
       ParseFault::kNone},
      {"two lengths",
       post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
       ParseFault::kMalformed},
      {"the same length twice",
       post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
       ParseFault::kMalformed},
      {"length beside chunks",
       post +
           "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       ParseFault::kMalformed},
      {"chunks beside length",
       post +
           "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
       ParseFault::kMalformed},
      {"negative length", post + "Content-Length: -3\r\n\r\nabc",
       ParseFault::kMalformed},
      {"unknown transfer coding", post + "Transfer-Encoding: gzip\r\n\r\n",
       ParseFault::kUnsupported},
      {"chunked twice",
       post + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
       ParseFault::kUnsupported},
      {"space before the colon", post + "Content-Length : 3\r\n\r\nabc",
       ParseFault::kMalformed},
      {"bare line end in the request line", "GET /a/ HTTP/1.1\nHost: h\r\n\r\n",
       ParseFault::kMalformed},
      {"bare line end in a field", post + "X: a\nY: b\r\n\r\n",
       ParseFault::kMalformed},
      {"no method", " /a/ HTTP/1.1\r\n\r\n", ParseFault::kMalformed},
      {"large header", post + "X: " + std::string(300, 'x') + "\r\n\r\n",
       ParseFault::kHeaderTooLarge},
      {"large body", post + "Content-Length: 21\r\n\r\n",
       ParseFault::kBodyTooLarge},
      {"large body in chunks",
       post + "Transfer-Encoding: chunked\r\n\r\n15\r\n" +
           std::string(21, 'x') + "\r\n0\r\n\r\n",
       ParseFault::kBodyTooLarge},
  };
  for (const Row& row : rows) {
    for (const std::size_t piece : {1UL, 7UL, 1000UL}) {
      MessageParser parser(MessageParser::Kind::kRequest, kLimits);
      FeedInPieces(&parser, row.bytes, piece);
      CHECK_TEXT(row.fault == parser.Fault(), row.name);
      CHECK_EQUAL_TEXT(row.fault == ParseFault::kNone, parser.Done(), row.name);
    }
  }
}

/// Guards against numbers that are no status and pass for interim ones: the
/// request would wait until its deadline for another answer.
TEST(MessageParser, RejectsNumbersThatAreNoStatus) {
  struct Row {
    const char* status;
    bool valid;
  };
  const Row rows[] = {{"000", false},  {"001", false}, {"099", false},
                      {"100", true},   {"200", true},  {"599", true},
                      {"600", true},   {"999", true},  {"1000", false},
                      {"0200", false}, {"20", false},  {"-10", false}};
  for (const Row& row : rows) {
    const std::string bytes = std::string("HTTP/1.1 ") + row.status +
                              " X\r\nContent-Length: 0\r\n\r\n";
    for (const std::size_t piece : {1UL, 7UL, 1000UL}) {
      MessageParser parser(MessageParser::Kind::kResponse, kLimits);
      FeedInPieces(&parser, bytes, piece);
      CHECK_EQUAL_TEXT(row.valid, parser.Fault() == ParseFault::kNone,
                       row.status);
      CHECK_EQUAL_TEXT(row.valid, parser.HeadDone(), row.status);
    }
  }
}

/// Guards against lines without end, which would be kept until they end.
TEST(MessageParser, RejectsLinesWithoutEnd) {
  struct Row {
    const char* name;
    std::string bytes;
  };
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const Row rows[] = {{"status line", "HTTP/1.1 200 "},
                      {"header line", "HTTP/1.1 200 OK\r\nA: "},
                      {"chunk extension", chunked + "1;"},
                      {"trailer", chunked + "0\r\nA: "}};
  for (const Row& row : rows) {
    MessageParser parser(MessageParser::Kind::kResponse, kLimits);
    const std::string left =
        FeedInPieces(&parser, row.bytes + std::string(10'000, 'x'), 50);
    CHECK_TEXT(parser.Fault() != ParseFault::kNone, row.name);
    CHECK_FALSE_TEXT(parser.Done(), row.name);
  }
}

/// Guards against bytes that the library is given again before more have come:
/// it fails an assertion on a part of the last chunk.
TEST(MessageParser, LastChunkMayComeInPieces) {
  const std::string bytes =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\nA: b\r\n\r\n";
  for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
    MessageParser parser(MessageParser::Kind::kResponse, kLimits);
    FeedInPieces(&parser, bytes, piece);
    CHECK(parser.Done());
    CHECK(parser.Fault() == ParseFault::kNone);
  }
}

TEST(MessageParser, LeavesWhatFollowsTheMessage) {
  MessageParser parser(MessageParser::Kind::kRequest, kLimits);
  const std::string first = "POST /a/ HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
  const std::string bytes = first + "GET /b/ HTTP/1.1\r\n\r\n";
  LONGS_EQUAL(first.size(), parser.Feed(bytes));
  CHECK(parser.Done());
  STRCMP_EQUAL("abc", parser.TakeBody().c_str());
  STRCMP_EQUAL("/a/", parser.Request().target.c_str());
}

/// An answer without a length is whole only if the connection ends cleanly.
TEST(MessageParser, EndOfTheConnectionCompletesOnlyUnframedAnswers) {
  struct Row {
    const char* name;
    std::string bytes;
    bool ends_with_connection;
    bool done;
  };
  const Row rows[] = {
      {"no length", "HTTP/1.1 200 OK\r\n\r\nab", true, true},
      {"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
       false, false},
      {"within chunks",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", false,
       false},
      {"within the head", "HTTP/1.1 200 OK\r\nContent-", false, false},
  };
  for (const Row& row : rows) {
    MessageParser parser(MessageParser::Kind::kResponse, kLimits);
    parser.Feed(row.bytes);
    CHECK_EQUAL_TEXT(row.ends_with_connection, parser.EndsWithConnection(),
                     row.name);
    parser.FeedEnd();
    CHECK_EQUAL_TEXT(row.done, parser.Done(), row.name);
    CHECK_EQUAL_TEXT(!row.done, parser.Fault() != ParseFault::kNone, row.name);
  }
}
