#include "store/failure_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using store::Listing;
using store::ObjectStore;

TEST_GROUP(FailureLog){};

// Guards against a daemon that starts, never has a listing, and does not say
// which kind fails nor why (issue 58).
TEST(FailureLog, NamesTheKindAndTheReasonOnce) {
  std::array<int, 2> ends{};
  LONGS_EQUAL(0, pipe(ends.data()));
  DecisionLog log(ends[1], "test");
  store::Handler<Listing> answer;
  ObjectStore inner;
  inner.list = [&answer](const std::string&, const store::ListRequest&,
                         store::Handler<Listing> handler) {
    answer = std::move(handler);
  };
  const ObjectStore logged = store::WithFailureLog(inner, &log);
  const Error refused{ErrorCode::kRefused, "page 2 after i-1"};
  const Error other{ErrorCode::kUnknown, "too many pages"};
  const Result<Listing> answers[] = {
      refused, refused, other, Listing(), Error{ErrorCode::kGone, "gone"},
      other};
  for (const Result<Listing>& one : answers) {
    logged.list("servers", {}, [](const Result<Listing>&) {});
    answer(one);
  }
  log.Flush();
  std::array<char, 4096> text{};
  const ssize_t size = read(ends[0], text.data(), text.size() - 1);
  CHECK(size > 0);
  close(ends[0]);
  close(ends[1]);
  const std::string lines(text.data());
  const std::string begin = "operation=list kind=servers failures=";
  STRCMP_CONTAINS((begin + "1 reason=\"page 2 after i-1\"").c_str(),
                  lines.c_str());
  STRCMP_CONTAINS((begin + "3 reason=\"too many pages\"").c_str(),
                  lines.c_str());
  STRCMP_CONTAINS((begin + "1 reason=\"too many pages\"").c_str(),
                  lines.c_str());
  int count = 0;
  for (std::size_t at = lines.find(begin); at != std::string::npos;
       at = lines.find(begin, at + 1))
    ++count;
  LONGS_EQUAL(3, count);
}
