#include "process_usage.h"

#include <arpa/inet.h>
#include <time.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace coltsfootvane::testing {

long StatusKb(int pid, const std::string& name) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind(name, 0) == 0)
      return std::atol(line.c_str() + name.size());
  }
  return 0;
}

int OpenDescriptors(int pid) {
  int count = 0;
  std::error_code error;
  const std::filesystem::directory_iterator list(
      "/proc/" + std::to_string(pid) + "/fd", error);
  if (error)
    return 0;
  for (auto entry = begin(list); entry != end(list); entry.increment(error))
    ++count;
  return count;
}

std::chrono::nanoseconds ProcessorTime(int pid) {
  clockid_t clock = 0;
  timespec used{};
  if (clock_getcpuclockid(pid, &clock) != 0 || clock_gettime(clock, &used) != 0)
    return {};
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::nanoseconds(used.tv_nsec);
}

std::chrono::nanoseconds RunDelay(int pid) {
  std::ifstream schedule("/proc/" + std::to_string(pid) + "/schedstat");
  long long run = 0;
  long long delay = 0;
  schedule >> run >> delay;
  return std::chrono::nanoseconds(delay);
}

long UnreadKb(const boost::asio::ip::tcp::endpoint& address) {
  char local[32];
  std::snprintf(local, sizeof(local), "%08X:%04X",
                htonl(address.address().to_v4().to_uint()), address.port());
  std::ifstream table("/proc/net/tcp");
  unsigned long bytes = 0;
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    std::istringstream words(line);
    std::string number;
    std::string from;
    std::string to;
    std::string state;
    std::string queues;
    words >> number >> from >> to >> state >> queues;
    // In the state 0A (listening) the queue counts connections.
    if (from != local || state == "0A" || queues.size() < 17)
      continue;
    bytes += std::strtoul(queues.c_str() + 9, nullptr, 16);
  }
  return static_cast<long>(bytes / 1024);
}

}  // namespace coltsfootvane::testing
