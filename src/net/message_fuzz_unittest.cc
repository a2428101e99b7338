#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>

#include "net/message_parser.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using net::MessageParser;
using net::ParseFault;

namespace {

constexpr net::ParseLimits kLimits{1024, 4096};
constexpr int kRounds = 4000;

/// Returns the number in an environment variable, or `fallback`.
int NumberOf(const char* variable, int fallback) {
  const char* const text = std::getenv(variable);
  return text == nullptr ? fallback : std::atoi(text);
}

struct Sample {
  std::string bytes;
  std::string body;
};

class Generator {
 public:
  explicit Generator(std::uint64_t seed) : random(seed) {}

  std::size_t Below(std::size_t bound) {
    return static_cast<std::size_t>(this->random() % bound);
  }

  std::string Text(std::size_t size) {
    std::string text(size, 'a');
    for (char& letter : text)
      letter = static_cast<char>('a' + this->Below(26));
    return text;
  }

  /// Returns a valid request whose body is within the limits.
  Sample Valid() {
    Sample sample;
    sample.bytes = "POST /" + this->Text(this->Below(40)) + " HTTP/1.1\r\n";
    for (std::size_t i = this->Below(8); i > 0; --i)
      sample.bytes += this->Text(1 + this->Below(12)) + ": " +
                      this->Text(this->Below(30)) + "\r\n";
    sample.body = this->Text(this->Below(kLimits.body_bytes));
    if (this->Below(3) == 0) {
      sample.bytes += "Content-Length: " + std::to_string(sample.body.size()) +
                      "\r\n\r\n" + sample.body;
      return sample;
    }
    sample.bytes += "Transfer-Encoding: chunked\r\n\r\n";
    const std::size_t largest = this->Below(2) == 0 ? 4 : 400;
    for (std::size_t at = 0; at < sample.body.size();) {
      const std::size_t size =
          std::min(1 + this->Below(largest), sample.body.size() - at);
      char line[32];
      std::snprintf(line, sizeof(line), "%s%zx%s\r\n",
                    this->Below(9) == 0 ? "00" : "", size,
                    this->Below(9) == 0 ? ";x=1" : "");
      sample.bytes += line + sample.body.substr(at, size) + "\r\n";
      at += size;
    }
    sample.bytes += this->Below(5) == 0 ? "0\r\nt: 1\r\n\r\n" : "0\r\n\r\n";
    return sample;
  }

  void Damage(std::string* bytes) {
    for (std::size_t i = 1 + this->Below(4); i > 0 && !bytes->empty(); --i) {
      const std::size_t at = this->Below(bytes->size());
      switch (this->Below(4)) {
        case 0:
          (*bytes)[at] = static_cast<char>(this->Below(256));
          break;
        case 1:
          bytes->erase(at, 1 + this->Below(20));
          break;
        case 2:
          bytes->insert(at, bytes->substr(this->Below(bytes->size()), 50));
          break;
        default:
          bytes->insert(at, std::string(this->Below(3000), '0'));
      }
    }
  }

 private:
  std::mt19937_64 random;
};

struct Outcome {
  bool done = false;
  ParseFault fault = ParseFault::kNone;
  std::string body;
  std::size_t most_left = 0;  ///< Bytes that were kept unparsed.
};

/// Feeds the bytes in random pieces, as a connection does.
Outcome Parse(Generator* generator, const std::string& bytes) {
  MessageParser parser(MessageParser::Kind::kRequest, kLimits);
  Outcome outcome;
  std::string input;
  const std::size_t largest = generator->Below(2) == 0 ? 3 : 700;
  for (std::size_t at = 0; at < bytes.size() && !outcome.done;) {
    const std::size_t size = 1 + generator->Below(largest);
    input += bytes.substr(at, size);
    at += size;
    input.erase(0, parser.Feed(input));
    outcome.body += parser.TakeBody();
    outcome.fault = parser.Fault();
    outcome.done = parser.Done() || outcome.fault != ParseFault::kNone;
    if (!outcome.done)
      outcome.most_left = std::max(outcome.most_left, input.size());
  }
  return outcome;
}

}  // namespace

TEST_GROUP(MessageFuzz){};

// Guards against heads and chunk framings that the parser cuts differently in
// other pieces, keeps without bound, or lets through beyond the limits. Longer:
// FUZZ_ROUNDS and TEST_SEED.
TEST(MessageFuzz, HeadsAndChunksInAnyPieces) {
  const int rounds = NumberOf("FUZZ_ROUNDS", kRounds);
  const int seed = NumberOf("TEST_SEED", 20261206);
  Generator generator(static_cast<std::uint64_t>(seed));
  int damaged = 0;
  int accepted = 0;
  for (int round = 0; round < rounds; ++round) {
    const std::string where =
        "seed " + std::to_string(seed) + ", round " + std::to_string(round);
    Sample sample = generator.Valid();
    const Outcome valid = Parse(&generator, sample.bytes);
    CHECK_TEXT(valid.done && valid.fault == ParseFault::kNone, where.c_str());
    CHECK_TEXT(valid.body == sample.body, where.c_str());
    generator.Damage(&sample.bytes);
    const Outcome other = Parse(&generator, sample.bytes);
    CHECK_TEXT(other.body.size() <= kLimits.body_bytes, where.c_str());
    CHECK_TEXT(other.most_left <= kLimits.header_bytes, where.c_str());
    ++damaged;
    accepted += other.done && other.fault == ParseFault::kNone ? 1 : 0;
  }
  // Damage in a body goes unnoticed; most other damage does not.
  CHECK(accepted > 0 && accepted < damaged);
}

// Guards against chunks that cost time without end: a byte of a body with a
// line of some KB.
TEST(MessageFuzz, FramingIsLimitedByTheBody) {
  struct Row {
    const char* name;
    std::string chunk;
    ParseFault fault;
  };
  const Row rows[] = {
      {"one byte each", "1\r\nx\r\n", ParseFault::kNone},
      {"padded sizes", "0000001\r\nx\r\n", ParseFault::kNone},
      {"long extensions", "1;" + std::string(500, 'e') + "\r\nx\r\n",
       ParseFault::kBodyTooLarge},
  };
  for (const Row& row : rows) {
    MessageParser parser(MessageParser::Kind::kRequest, kLimits);
    std::string input =
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 1000; ++i) {
      input += row.chunk;
      input.erase(0, parser.Feed(input));
    }
    LONGS_EQUAL_TEXT(static_cast<int>(row.fault),
                     static_cast<int>(parser.Fault()), row.name);
  }
}
