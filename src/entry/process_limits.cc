#include "entry/process_limits.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

namespace coltsfootvane {
namespace {

constexpr double kBytesPerMb = 1024.0 * 1024.0;
/// Of the process's descriptors, for files.
constexpr int kFileDescriptors = 200;
constexpr int kMinConnectionDescriptors = 128;

}  // namespace

double MemoryMb(const Settings& settings) {
  if (settings.memory_mb > 0)
    return settings.memory_mb;
  const double bytes = static_cast<double>(::sysconf(_SC_PHYS_PAGES)) *
                       static_cast<double>(::sysconf(_SC_PAGESIZE));
  // The limit of a control group; its file has "max" for none.
  double limit = bytes;
  std::ifstream file("/sys/fs/cgroup/memory.max");
  if (!(file >> limit) || limit <= 0)
    limit = bytes;
  return std::min(bytes, limit) / kBytesPerMb;
}

int ConnectionDescriptors(const Settings& settings) {
  constexpr rlim_t kMost = 1 << 20;
  rlim_t all =
      settings.max_fds > 0 ? static_cast<rlim_t>(settings.max_fds) : kMost;
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0)
    all = std::min(all, limit.rlim_cur);
  return std::max(kMinConnectionDescriptors,
                  static_cast<int>(all) - kFileDescriptors);
}

}  // namespace coltsfootvane
