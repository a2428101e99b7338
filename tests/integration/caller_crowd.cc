#include "caller_crowd.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <cstdio>
#include <string_view>
#include <utility>

namespace coltsfootvane::testing {
namespace {

using boost::asio::ip::tcp;
using BoostError = boost::system::error_code;

constexpr std::size_t kBlockBytes = 64UL * 1024;

}  // namespace

struct CallerCrowd::Member {
  explicit Member(boost::asio::io_context* io) : socket(*io) {}

  tcp::socket socket;
  std::size_t sent = 0;
  bool done = false;
  bool answered = false;
  bool ended = false;
};

std::string CrowdHead(const std::string& line) {
  return "POST /safe/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd\r\n"
         "Deadline-Ms: 4000\r\n" +
         line + "\r\n\r\n";
}

std::string CrowdChunks(std::size_t size) {
  char line[32];
  std::snprintf(line, sizeof(line), "%zx\r\n", size);
  const std::string chunk = line + std::string(size, 'x') + "\r\n";
  std::string block;
  while (block.size() + chunk.size() <= kBlockBytes || block.empty())
    block += chunk;
  return block;
}

CallerCrowd::CallerCrowd(boost::asio::io_context* io_context,
                         CrowdInput crowd_input)
    : io(io_context), input(std::move(crowd_input)) {
  if (this->input.block.empty())
    this->input.block.assign(kBlockBytes, 'x');
}

CallerCrowd::~CallerCrowd() {
  this->Leave();
}

void CallerCrowd::Join(const tcp::endpoint& to, int count) {
  for (int i = 0; i < count; ++i) {
    const auto member = std::make_shared<Member>(this->io);
    this->members.push_back(member);
    member->socket.async_connect(to, [this, member](const BoostError& ec) {
      if (ec) {
        member->ended = true;
        return;
      }
      BoostError ignored;
      member->socket.non_blocking(true, ignored);
      this->Send(member);
      this->Read(member);
    });
  }
}

void CallerCrowd::Leave() {
  for (const auto& member : this->members) {
    BoostError ignored;
    member->ended = true;
    member->socket.close(ignored);
  }
}

void CallerCrowd::Send(const std::shared_ptr<Member>& member) {
  const std::size_t body_at = this->input.head.size();
  const std::size_t tail_at = body_at + this->input.body_bytes;
  const std::size_t end = tail_at + this->input.tail.size();
  std::string_view next;
  if (member->sent < body_at) {
    next = std::string_view(this->input.head).substr(member->sent);
  } else if (member->sent < tail_at) {
    const std::size_t at = (member->sent - body_at) % this->input.block.size();
    next =
        std::string_view(this->input.block).substr(at, tail_at - member->sent);
  } else {
    next = std::string_view(this->input.tail).substr(member->sent - tail_at);
  }
  BoostError ec;
  if (!next.empty())
    member->sent += member->socket.write_some(
        boost::asio::buffer(next.data(), next.size()), ec);
  if (ec && ec != boost::asio::error::would_block) {
    member->ended = true;
    return;
  }
  member->done = member->sent == end;
  if (member->done)
    return;
  member->socket.async_wait(tcp::socket::wait_write,
                            [this, member](const BoostError& wait_error) {
                              if (!wait_error && !member->ended)
                                this->Send(member);
                            });
}

void CallerCrowd::Read(const std::shared_ptr<Member>& member) {
  member->socket.async_wait(
      tcp::socket::wait_read, [this, member](const BoostError& wait_error) {
        if (wait_error || member->ended)
          return;
        std::array<char, 4096> buffer;
        BoostError ec;
        const std::size_t count =
            member->socket.read_some(boost::asio::buffer(buffer), ec);
        member->answered = member->answered || count > 0;
        if (ec && ec != boost::asio::error::would_block) {
          member->ended = true;
          member->socket.close(ec);
          return;
        }
        this->Read(member);
      });
}

int CallerCrowd::Settled() const {
  return static_cast<int>(std::count_if(
      this->members.begin(), this->members.end(), [](const auto& member) {
        return member->done || member->answered || member->ended;
      }));
}

int CallerCrowd::Answered() const {
  return static_cast<int>(
      std::count_if(this->members.begin(), this->members.end(),
                    [](const auto& member) { return member->answered; }));
}

int CallerCrowd::Ended() const {
  return static_cast<int>(
      std::count_if(this->members.begin(), this->members.end(),
                    [](const auto& member) { return member->ended; }));
}

std::size_t CallerCrowd::SentBytes() const {
  std::size_t bytes = 0;
  for (const auto& member : this->members)
    bytes += member->sent;
  return bytes;
}

}  // namespace coltsfootvane::testing
