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
#include "http/caller_account.h"
#include "http/message.h"

namespace coltsfootvane::http {

/// The library has no hook before a request's header is complete, and it keeps
/// what it has read of it. This thread looks at the connections of one listener
/// and resets those whose unfinished header is too large. It also counts them
/// in the account and applies its bounds.
class HeaderWatch {
 public:
  /// Of one request's header.
  static constexpr std::size_t kMaxHeaderBytes = std::size_t{64} * 1024;

  /// `on_cut` is told the connections of one pass with too large a header,
  /// `on_ended` those that the account ended, on the watch's thread. Both may
  /// be empty. Connections are ended while the process has more than
  /// `max_descriptors`.
  HeaderWatch(const Address& listen,
              std::function<void(int count)> on_cut,
              std::function<void(int count)> on_ended,
              CallerAccount* account,
              int max_descriptors);
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
  bool DescriptorsAreUsedUp() const;
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
  std::function<void(int count)> on_ended;
  CallerAccount* account;
  int max_descriptors;
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
