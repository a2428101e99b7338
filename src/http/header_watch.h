#ifndef COLTSFOOTVANE_HTTP_HEADER_WATCH_H_
#define COLTSFOOTVANE_HTTP_HEADER_WATCH_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "base/clock.h"
#include "http/message.h"

namespace coltsfootvane::http {

/// The library has no hook before a request's header is complete, and it keeps
/// what it has read of it. This thread looks at the connections of one listener
/// and resets those whose unfinished header is too large.
class HeaderWatch {
 public:
  /// Of one request's header.
  static constexpr std::size_t kMaxHeaderBytes = std::size_t{64} * 1024;

  /// `on_cut` is told the connections of one pass, on the watch's thread. May
  /// be empty.
  HeaderWatch(const Address& listen, std::function<void(int count)> on_cut);
  ~HeaderWatch();

  HeaderWatch(const HeaderWatch&) = delete;
  HeaderWatch& operator=(const HeaderWatch&) = delete;

  /// The header of a request on the connection is complete.
  void BeginRequest(int fd);

  /// The request on the connection has been read as a whole.
  void EndRequest(int fd);

 private:
  struct Connection {
    bool in_request = false;
    std::uint64_t header_start = 0;  ///< Bytes read when a header may begin.
    std::uint64_t pass = 0;          ///< The last one that saw it.
  };

  void Run();
  void LookAtAll();
  void LookAt(int fd);
  void ForgetClosed();
  bool IsOurs(int fd) const;
  /// Returns the bytes of the header in progress; 0 during a request.
  std::uint64_t HeaderBytes(std::uint64_t cookie, std::uint64_t bytes_read);
  /// Resets the connection if its header is still too large.
  void CutIfTooLarge(int fd, std::uint64_t cookie);

  Address listen;
  std::function<void(int count)> on_cut;
  std::mutex mutex;
  std::condition_variable stopped;
  bool stopping = false;
  /// By socket cookie, which the kernel gives to one socket only; a descriptor
  /// number is given to another one at once.
  std::map<std::uint64_t, Connection> connections;
  std::uint64_t pass = 0;
  int cut = 0;  ///< In the pass in progress.
  std::thread thread;
};

}  // namespace coltsfootvane::http

#endif  // COLTSFOOTVANE_HTTP_HEADER_WATCH_H_
