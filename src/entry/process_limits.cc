#include "entry/process_limits.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

namespace coltsfootvane {
namespace {

constexpr double kBytesPerMb = 1024.0 * 1024.0;
/// Descriptors of the process that are kept for files.
constexpr int kFileDescriptors = 200;
/// Largest `limits.max_fds`; used if neither it nor the system sets a limit.
constexpr rlim_t kMaxDescriptors = 1 << 20;
/// Used even if the limit of the process leaves fewer.
constexpr int kMinConnectionDescriptors = 128;

}  // namespace

double MemoryMb(const Settings& settings) {
  if (settings.memory_mb > 0)
    return settings.memory_mb;
  const double bytes = static_cast<double>(::sysconf(_SC_PHYS_PAGES)) *
                       static_cast<double>(::sysconf(_SC_PAGESIZE));
  // The limit of the control group. The file has "max" if there is none, which
  // cannot be read as a number.
  double limit = bytes;
  std::ifstream file("/sys/fs/cgroup/memory.max");
  if (!(file >> limit) || limit <= 0)
    limit = bytes;
  return std::min(bytes, limit) / kBytesPerMb;
}

int ConnectionDescriptors(const Settings& settings) {
  rlim_t all = settings.max_fds > 0 ? static_cast<rlim_t>(settings.max_fds)
                                    : kMaxDescriptors;
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0)
    all = std::min(all, limit.rlim_cur);
  return std::max(kMinConnectionDescriptors,
                  static_cast<int>(all) - kFileDescriptors);
}

}  // namespace coltsfootvane
