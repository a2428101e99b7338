#include "objectapi/call_budget.h"

#include <algorithm>

namespace coltsfootvane::objectapi {
namespace {

constexpr double kBurstSeconds = 2;

}  // namespace

CallBudget::CallBudget(double calls_per_s, TimePoint now)
    : calls_per_s(calls_per_s),
      capacity(std::max(1.0, calls_per_s * kBurstSeconds)),
      available(this->capacity),
      filled_at(now) {}

bool CallBudget::Take(TimePoint now) {
  std::lock_guard<std::mutex> lock(this->mutex);
  if (now > this->filled_at) {
    const std::chrono::duration<double> passed = now - this->filled_at;
    this->available = std::min(
        this->capacity, this->available + passed.count() * this->calls_per_s);
    this->filled_at = now;
  }
  if (this->available < 1)
    return false;
  this->available -= 1;
  return true;
}

}  // namespace coltsfootvane::objectapi
