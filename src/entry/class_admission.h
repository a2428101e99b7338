#ifndef COLTSFOOTVANE_ENTRY_CLASS_ADMISSION_H_
#define COLTSFOOTVANE_ENTRY_CLASS_ADMISSION_H_

#include <array>
#include <cstddef>
#include <mutex>

#include "config/configuration.h"

namespace coltsfootvane {

/// Requests in progress at one entry listener, by priority class.
using ClassCounts = std::array<std::size_t, kPriorityCount>;

/// Returns whether one more request of `priority` fits within `limit` requests
/// in progress. The unused part of the minimum shares of the other classes
/// stays reserved for them.
bool HasRoom(const ClassCounts& counts,
             const std::array<PriorityClass, kPriorityCount>& classes,
             std::size_t limit,
             Priority priority);

/// Admits one request if its class has room, and counts it as in progress for
/// the lifetime of this object.
class ClassAdmission {
 public:
  struct State {
    std::mutex mutex;
    ClassCounts counts{};
  };

  ClassAdmission(State* state,
                 const std::array<PriorityClass, kPriorityCount>& classes,
                 std::size_t limit,
                 Priority priority);
  ClassAdmission(const ClassAdmission&) = delete;
  ClassAdmission& operator=(const ClassAdmission&) = delete;
  ~ClassAdmission();

  bool Admitted() const { return this->admitted; }

 private:
  State* state;
  std::size_t index;
  bool admitted = false;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_CLASS_ADMISSION_H_
