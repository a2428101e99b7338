#include "standins/platform_standin/call_counter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace coltsfootvane::standin {

CallCounter::CallCounter(double writes_per_s, double reads_per_s) {
  this->classes[0].limit = writes_per_s;
  this->classes[1].limit = reads_per_s;
}

bool CallCounter::Count(std::string_view kind,
                        std::string_view verb,
                        CallClass call_class,
                        TimePoint now) {
  ++this->calls[std::string(kind)][std::string(verb)];
  ClassState& state = this->classes[call_class == CallClass::kWrite ? 0 : 1];
  const std::int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
          .count();
  if (second != state.second) {
    state.second = second;
    state.in_second = 0;
    state.accepted = 0;
  }
  ++state.in_second;
  state.peak = std::max(state.peak, state.in_second);
  if (static_cast<double>(state.accepted) >= state.limit) {
    ++state.refused;
    return false;
  }
  ++state.accepted;
  return true;
}

void CallCounter::StartWatch() {
  ++this->watches;
  this->peak_watches = std::max(this->peak_watches, this->watches);
}

void CallCounter::Reset() {
  this->calls.clear();
  this->peak_watches = this->watches;
  for (ClassState& state : this->classes) {
    state.peak = 0;
    state.refused = 0;
  }
}

std::string CallCounter::FormatJson() const {
  const ClassState& writes = this->classes[0];
  const ClassState& reads = this->classes[1];
  const nlohmann::json value = {
      {"calls", this->calls},
      {"peak_per_second", {{"writes", writes.peak}, {"reads", reads.peak}}},
      {"rate_limited", {{"writes", writes.refused}, {"reads", reads.refused}}},
      {"watches_waiting", this->watches},
      {"peak_watches_waiting", this->peak_watches}};
  return value.dump();
}

}  // namespace coltsfootvane::standin
