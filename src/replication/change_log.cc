#include "replication/change_log.h"

#include <algorithm>
#include <utility>

namespace coltsfootvane::replication {
namespace {

constexpr std::size_t kMaxBytes = 512UL * 1024;
constexpr std::size_t kMaxChanges = 256;

}  // namespace

void Append(LoggedChange change, ChangeLog* log) {
  if (!log->changes.empty() && log->changes.back().place != change.base)
    *log = {};
  log->bytes += change.bytes.size();
  log->changes.push_back(std::move(change));
  while (log->bytes > kMaxBytes || log->changes.size() > kMaxChanges) {
    log->bytes -= log->changes.front().bytes.size();
    log->changes.pop_front();
  }
}

std::optional<std::string> ChangesSince(const ChangeLog& log,
                                        const store::Place& base,
                                        std::size_t max_bytes) {
  const auto first = std::find_if(
      log.changes.begin(), log.changes.end(),
      [&base](const LoggedChange& change) { return change.base == base; });
  if (first == log.changes.end())
    return std::nullopt;
  std::string bytes;
  for (auto change = first; change != log.changes.end(); ++change) {
    if (bytes.size() + change->bytes.size() > max_bytes)
      return std::nullopt;
    bytes += change->bytes;
  }
  return bytes;
}

}  // namespace coltsfootvane::replication
