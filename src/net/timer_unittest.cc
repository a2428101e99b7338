#include "net/timer.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Timer){};

/// Guards against handlers that run although their timer was cancelled, set
/// again or destroyed: an expired timer has queued its handler by then.
TEST(Timer, CallsOnlyTheLastHandlerOfADueTimer) {
  enum class Then { kNothing, kCancel, kSetAgain, kDestroy };
  struct Row {
    const char* name;
    Then then;
    int first_calls;
    int second_calls;
  };
  const Row rows[] = {{"left alone", Then::kNothing, 1, 0},
                      {"cancelled", Then::kCancel, 0, 0},
                      {"set again", Then::kSetAgain, 0, 1},
                      {"destroyed", Then::kDestroy, 0, 0}};
  for (const Row& row : rows) {
    boost::asio::io_context io;
    net::Timer earlier(&io);
    auto timer = std::make_unique<net::Timer>(&io);
    int first_calls = 0;
    int second_calls = 0;
    // Both are due in the same turn of the loop, the earlier one first.
    earlier.Set(Milliseconds(1), [&] {
      if (row.then == Then::kCancel)
        timer->Cancel();
      else if (row.then == Then::kSetAgain)
        timer->Set(Milliseconds(1), [&second_calls] { ++second_calls; });
      else if (row.then == Then::kDestroy)
        timer = nullptr;
    });
    timer->Set(Milliseconds(2), [&first_calls] { ++first_calls; });
    std::this_thread::sleep_for(Milliseconds(5));
    io.run();
    LONGS_EQUAL_TEXT(row.first_calls, first_calls, row.name);
    LONGS_EQUAL_TEXT(row.second_calls, second_calls, row.name);
  }
}
