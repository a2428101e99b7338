#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_CALLER_CROWD_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_CALLER_CROWD_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace coltsfootvane::testing {

/// What each caller of a crowd sends: the head, then the block again and again
/// up to `body_bytes`, then the tail.
struct CrowdInput {
  std::string head;
  std::string block;
  std::size_t body_bytes = 0;
  std::string tail;
};

/// Returns a head of a POST to `/safe/1`, with one more line.
std::string CrowdHead(const std::string& line);
/// Returns chunks of `size` bytes each, of about 64 KB together.
std::string CrowdChunks(std::size_t size);

/// Connections that send as fast as the daemon takes it, stay connected and
/// read what comes. They hold one copy of the input only.
class CallerCrowd {
 public:
  CallerCrowd(boost::asio::io_context* io, CrowdInput input);
  ~CallerCrowd();

  void Join(const boost::asio::ip::tcp::endpoint& to, int count);
  void Leave();
  /// Returns how many have sent all, have an answer or have lost their
  /// connection.
  int Settled() const;
  int Answered() const;
  int Ended() const;
  std::size_t SentBytes() const;

 private:
  struct Member;

  void Send(const std::shared_ptr<Member>& member);
  void Read(const std::shared_ptr<Member>& member);

  boost::asio::io_context* io;
  CrowdInput input;
  std::vector<std::shared_ptr<Member>> members;
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_CALLER_CROWD_H_
