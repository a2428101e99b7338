#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_RAW_INPUT_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_RAW_INPUT_H_

#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "http/message.h"

namespace coltsfootvane::testing {

/// A plain TCP connection for input that no client library sends.
class RawConnection {
 public:
  explicit RawConnection(const http::Address& to);
  ~RawConnection();

  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /// Returns whether all bytes were taken before the peer closed.
  bool Write(std::string_view data) const;

  /// Reads what comes until the peer closes or `timeout` passes.
  std::string Read(Milliseconds timeout) const;

 private:
  int fd;
  bool connected = false;
};

using Connections = std::vector<std::unique_ptr<RawConnection>>;

/// Returns malformed HTTP: random, cut short, changed, or with an impossible
/// length.
std::string BadHttp(std::mt19937* random);

/// Returns a malformed frame of the RPC between daemons.
std::string BadFrame(std::mt19937* random);

/// Returns random bytes, or `valid` changed and cut short.
std::string BadDatagram(std::mt19937* random, const std::string& valid);

/// Sends `count` inputs, each on a connection of its own.
void SendInputs(const http::Address& to,
                int count,
                const std::function<std::string()>& make);

void SendDatagrams(const http::Address& to,
                   int count,
                   const std::function<std::string()>& make);

/// Writes `text` one byte at a time on `count` connections while it lives.
class SlowSenders {
 public:
  SlowSenders(const http::Address& to, const std::string& text, int count);
  ~SlowSenders();

  SlowSenders(const SlowSenders&) = delete;
  SlowSenders& operator=(const SlowSenders&) = delete;

  std::atomic<int> rounds{0};  ///< Bytes sent on each connection.

 private:
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_RAW_INPUT_H_
