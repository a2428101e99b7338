#include "log/decision_log.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

namespace {

constexpr Event kDecision{1, Severity::kInfo, "decided"};
constexpr Event kFailure{2, Severity::kWarning, "failed"};

struct Pipe {
  Pipe() { CHECK(pipe2(this->ends.data(), O_NONBLOCK) == 0); }
  ~Pipe() {
    close(this->ends[0]);
    close(this->ends[1]);
  }

  std::string Read() const {
    std::string text;
    std::array<char, 4096> buffer{};
    ssize_t count = 0;
    while ((count = read(this->ends[0], buffer.data(), buffer.size())) > 0)
      text.append(buffer.data(), static_cast<std::size_t>(count));
    return text;
  }

  std::array<int, 2> ends{};
};

std::size_t CountLines(const std::string& text, const std::string& part) {
  std::size_t lines = 0;
  for (std::size_t at = 0; (at = text.find(part, at)) != std::string::npos;
       ++at)
    ++lines;
  return lines;
}

/// Returns how often this thread has given up the processor by itself, as it
/// does when a call waits. The time of a call would also count what other
/// processes take on a busy machine.
long CountWaits() {
  rusage usage{};
  getrusage(RUSAGE_THREAD, &usage);
  return usage.ru_nvcsw;
}

}  // namespace

TEST_GROUP(DecisionLog){};

/// Standard output that nobody reads: writing never waits, what does not fit is
/// counted, and what was kept is whole lines.
TEST(DecisionLog, NeverWaitsForAReader) {
  const Pipe pipe;
  DecisionLog log(pipe.ends[1], "d1");
  const std::string detail(2000, 'x');
  constexpr int kSeconds = 3;
  std::uint64_t written = 0;
  const long waits_before = CountWaits();
  const TimePoint end = Clock::now() + std::chrono::seconds(kSeconds);
  while (Clock::now() < end) {
    log.Write(kFailure, "r" + std::to_string(written), detail);
    ++written;
  }
  LONGS_EQUAL(waits_before, CountWaits());
  CHECK(log.left_out_by_rate > 0);
  CHECK(log.left_out_by_buffer > 0);
  // A pipe takes 64 KB and the buffer as much.
  std::string text = pipe.Read();
  log.Flush();
  text += pipe.Read();
  CHECK(text.size() <= 128UL * 1024);
  const std::size_t lines = CountLines(text, "\n");
  LONGS_EQUAL(static_cast<long>(written - log.left_out_by_rate -
                                log.left_out_by_buffer),
              static_cast<long>(lines));
  LONGS_EQUAL(lines, CountLines(text, detail + "\n"));
}

/// Informational lines are those of sampled requests, the same on all daemons;
/// failures and lines about the process are written for all.
TEST(DecisionLog, SamplesWholeRequests) {
  const Pipe pipe;
  DecisionLog log(pipe.ends[1], "d1");
  const DecisionLog other(pipe.ends[1], "d2");
  int sampled = 0;
  for (int i = 0; i < 160; ++i) {
    const std::string id = "r" + std::to_string(i);
    CHECK_EQUAL(log.Samples(id), other.Samples(id));
    sampled += log.Samples(id) ? 1 : 0;
    log.Write(kDecision, id, "a=1");
  }
  CHECK(sampled > 0 && sampled < 30);
  log.Write(kFailure, "r1", "b=2");
  log.Write(kDecision, "", "c=3");
  log.Flush();
  const std::string text = pipe.Read();
  LONGS_EQUAL(sampled, CountLines(text, " a=1\n"));
  LONGS_EQUAL(1, CountLines(text, " failed request=r1 b=2\n"));
  LONGS_EQUAL(1, CountLines(text, " decided c=3\n"));
}

// Guards against a text of others that looks like a line of its own.
TEST(DecisionLog, ControlBytesDoNotEndALine) {
  const Pipe pipe;
  DecisionLog log(pipe.ends[1], "d1");
  log.Write(kFailure, "", "reason=\"a\nb\r\"");
  log.Flush();
  const std::string text = pipe.Read();
  LONGS_EQUAL(1, CountLines(text, " failed reason=\"a?b?\"\n"));
}
