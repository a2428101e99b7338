#include "http/header_watch.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <utility>

#include "http/socket_reset.h"

namespace coltsfootvane::http {
namespace {

/// What the library may have read beyond a header: its buffer has 8 KB.
constexpr std::uint64_t kReadBuffer = 16UL * 1024;
constexpr std::uint64_t kCutAbove = HeaderWatch::kMaxHeaderBytes + kReadBuffer;
constexpr Milliseconds kInterval{200};
/// The process' memory is looked at in between: at full speed of a loopback
/// sender the library stores some MB in 10 ms. Growth of 1 MB starts a pass.
constexpr Milliseconds kMemoryInterval{5};
constexpr long kGrowthPages = 256;

/// Returns the resident memory of the process in pages of 4 KB.
long ResidentPages(std::ifstream* statm) {
  long total = 0;
  long resident = 0;
  statm->clear();
  statm->seekg(0);
  *statm >> total >> resident;
  return resident;
}

template <class T>
bool ReadOption(int fd, int level, int name, T* value) {
  socklen_t size = sizeof(*value);
  return ::getsockopt(fd, level, name, value, &size) == 0;
}

std::uint64_t BytesReceived(int fd) {
  tcp_info info = {};
  if (!ReadOption(fd, IPPROTO_TCP, TCP_INFO, &info))
    return 0;
  return info.tcpi_bytes_received;
}

std::uint64_t BytesUnread(int fd) {
  int unread = 0;
  if (::ioctl(fd, FIONREAD, &unread) != 0)
    return 0;
  return static_cast<std::uint64_t>(std::max(unread, 0));
}

/// Never above what the library has read: bytes that arrive in between are
/// only subtracted.
std::uint64_t LeastBytesRead(int fd) {
  const std::uint64_t received = BytesReceived(fd);
  return received - std::min(received, BytesUnread(fd));
}

/// Never below what the library has read.
std::uint64_t MostBytesRead(int fd) {
  const std::uint64_t unread = BytesUnread(fd);
  const std::uint64_t received = BytesReceived(fd);
  return received - std::min(received, unread);
}

}  // namespace

HeaderWatch::HeaderWatch(const Address& listen,
                         std::function<void(int count)> on_cut,
                         std::function<void(int count)> on_ended,
                         CallerAccount* account,
                         int max_descriptors)
    : listen(listen),
      on_cut(std::move(on_cut)),
      on_ended(std::move(on_ended)),
      account(account),
      max_descriptors(max_descriptors) {
  this->thread = std::thread([this] { this->Run(); });
}

HeaderWatch::~HeaderWatch() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->stopped.notify_all();
  this->thread.join();
}

void HeaderWatch::BeginRequest(int fd) {
  const std::uint64_t cookie = SocketCookie(fd);
  const std::lock_guard<std::mutex> lock(this->mutex);
  Connection& connection = this->connections[cookie];
  connection.in_request = true;
  connection.pass = this->pass;
}

void HeaderWatch::EndRequest(int fd) {
  const std::uint64_t cookie = SocketCookie(fd);
  const std::uint64_t bytes_read = MostBytesRead(fd);
  const std::lock_guard<std::mutex> lock(this->mutex);
  Connection& connection = this->connections[cookie];
  connection.in_request = false;
  connection.header_start = bytes_read;
  connection.pass = this->pass;
}

void HeaderWatch::Run() {
  std::ifstream memory("/proc/self/statm");
  TimePoint next = Clock::now();
  long resident = ResidentPages(&memory);
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    lock.unlock();
    const TimePoint now = Clock::now();
    if (now >= next || ResidentPages(&memory) > resident + kGrowthPages ||
        this->DescriptorsAreUsedUp()) {
      this->LookAtAll();
      next = now + kInterval;
      resident = ResidentPages(&memory);
    }
    lock.lock();
    this->stopped.wait_for(lock, kMemoryInterval,
                           [this] { return this->stopping; });
  }
}

bool HeaderWatch::DescriptorsAreUsedUp() const {
  // The kernel gives out the lowest free number, so that all lower ones were in
  // use when this one was given out.
  return ::fcntl(this->max_descriptors, F_GETFD) != -1;
}

void HeaderWatch::LookAtAll() {
  const std::unique_ptr<DIR, int (*)(DIR*)> folder(::opendir("/proc/self/fd"),
                                                   &::closedir);
  if (!folder)
    return;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->pass;
  }
  this->cut = 0;
  int open = 0;
  while (const dirent* const entry = ::readdir(folder.get())) {
    if (entry->d_name[0] == '.')
      continue;
    ++open;
    this->LookAt(std::atoi(entry->d_name));
  }
  const int ended =
      this->account->Enforce(open - this->max_descriptors, Clock::now());
  if (ended > 0 && this->on_ended)
    this->on_ended(ended);
  if (this->cut > 0 && this->on_cut)
    this->on_cut(this->cut);
  this->ForgetClosed();
}

void HeaderWatch::ForgetClosed() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (auto it = this->connections.begin(); it != this->connections.end();) {
    const bool closed = it->second.pass + 1 < this->pass;
    if (closed)
      this->account->Forget(it->first);
    it = closed ? this->connections.erase(it) : std::next(it);
  }
}

bool HeaderWatch::IsOurs(int fd) const {
  sockaddr_in own = {};
  sockaddr_in peer = {};
  socklen_t own_size = sizeof(own);
  socklen_t peer_size = sizeof(peer);
  char host[INET_ADDRSTRLEN] = "";
  return ::getsockname(fd, reinterpret_cast<sockaddr*>(&own), &own_size) == 0 &&
         ::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &peer_size) ==
             0 &&
         own.sin_family == AF_INET &&
         ntohs(own.sin_port) == this->listen.port &&
         ::inet_ntop(AF_INET, &own.sin_addr, host, sizeof(host)) != nullptr &&
         (this->listen.host == "0.0.0.0" || this->listen.host == host);
}

std::uint64_t HeaderWatch::HeaderBytes(std::uint64_t cookie,
                                       std::uint64_t bytes_read) {
  const Connection& connection = this->connections[cookie];
  if (connection.in_request || bytes_read < connection.header_start)
    return 0;
  return bytes_read - connection.header_start;
}

void HeaderWatch::LookAt(int fd) {
  const std::uint64_t cookie = SocketCookie(fd);
  if (cookie == 0)
    return;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->connections.count(cookie) == 0 && !this->IsOurs(fd))
      return;
    this->connections[cookie].pass = this->pass;
    const std::uint64_t bytes = this->HeaderBytes(cookie, BytesReceived(fd));
    this->account->RecordHeader(fd, cookie, bytes, Clock::now());
    if (bytes <= kCutAbove)
      return;
  }
  this->CutIfTooLarge(fd, cookie);
}

void HeaderWatch::CutIfTooLarge(int fd, std::uint64_t cookie) {
  // The duplicate stays with this socket whatever becomes of the number.
  const int duplicate = ::fcntl(fd, F_DUPFD_CLOEXEC, 0);
  if (duplicate < 0)
    return;
  const std::uint64_t bytes_read = LeastBytesRead(duplicate);
  if (SocketCookie(duplicate) == cookie) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    // What BeginRequest() and EndRequest() said since then counts.
    if (this->HeaderBytes(cookie, bytes_read) > kCutAbove) {
      this->cut += ResetSocket(duplicate) ? 1 : 0;
    }
  }
  ::close(duplicate);
}

}  // namespace coltsfootvane::http
