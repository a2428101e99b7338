#include "distribution/in_force.h"

#include <utility>

namespace coltsfootvane {

std::shared_ptr<const InForce> InForceHolder::Get() const {
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->current;
}

void InForceHolder::Set(std::shared_ptr<const InForce> next) {
  std::lock_guard<std::mutex> lock(this->mutex);
  this->current = std::move(next);
}

}  // namespace coltsfootvane
