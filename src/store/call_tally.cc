#include "store/call_tally.h"

#include <numeric>

#include "store/object_store.h"

namespace coltsfootvane::store {
namespace {

constexpr std::array<const char*, kCallCauses> kNames = {
    "start", "watch",    "gap",    "check", "retry",
    "lease", "registry", "record", "era"};

}  // namespace

const char* CauseName(CallCause cause) {
  return kNames.at(static_cast<std::size_t>(cause));
}

void CountCall(const ObjectStore& store, CallCause cause, Freshness freshness) {
  if (!store.tally)
    return;
  auto& calls =
      freshness == Freshness::kStale ? store.tally->stale : store.tally->latest;
  ++calls.at(static_cast<std::size_t>(cause));
}

std::uint64_t TotalCalls(const CallTally& tally) {
  const std::uint64_t latest =
      std::accumulate(tally.latest.begin(), tally.latest.end(), 0ULL);
  return std::accumulate(tally.stale.begin(), tally.stale.end(), latest);
}

std::string FormatTally(const CallTally& tally) {
  std::string text;
  for (std::size_t i = 0; i < kCallCauses; ++i) {
    if (tally.latest.at(i) + tally.stale.at(i) == 0)
      continue;
    text += (text.empty() ? "" : " ") + std::string(kNames.at(i)) + "=" +
            std::to_string(tally.latest.at(i)) + "+" +
            std::to_string(tally.stale.at(i));
  }
  return text;
}

}  // namespace coltsfootvane::store
