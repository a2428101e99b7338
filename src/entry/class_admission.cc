#include "entry/class_admission.h"

namespace coltsfootvane {

bool HasRoom(const ClassCounts& counts,
             const std::array<PriorityClass, kPriorityCount>& classes,
             std::size_t limit,
             Priority priority) {
  const auto own = static_cast<std::size_t>(priority);
  std::size_t taken = 0;
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    const auto reserved = static_cast<std::size_t>(classes.at(i).minimum_share *
                                                   static_cast<double>(limit));
    if (i == own && counts.at(i) < reserved)
      return true;
    const bool unused = i != own && counts.at(i) < reserved;
    taken += unused ? reserved : counts.at(i);
  }
  return taken < limit;
}

ClassAdmission::ClassAdmission(
    State* state,
    const std::array<PriorityClass, kPriorityCount>& classes,
    std::size_t limit,
    Priority priority)
    : state(state), index(static_cast<std::size_t>(priority)) {
  std::lock_guard<std::mutex> lock(this->state->mutex);
  this->admitted = HasRoom(this->state->counts, classes, limit, priority);
  if (this->admitted)
    ++this->state->counts.at(this->index);
}

ClassAdmission::~ClassAdmission() {
  if (!this->admitted)
    return;
  std::lock_guard<std::mutex> lock(this->state->mutex);
  --this->state->counts.at(this->index);
}

}  // namespace coltsfootvane
