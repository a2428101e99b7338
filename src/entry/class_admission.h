#ifndef COLTSFOOTVANE_ENTRY_CLASS_ADMISSION_H_
#define COLTSFOOTVANE_ENTRY_CLASS_ADMISSION_H_

#include <array>
#include <cstddef>
#include <mutex>

#include "config/configuration.h"

namespace coltsfootvane {

/// Requests in progress at one entry, by class.
using ClassCounts = std::array<std::size_t, kPriorityCount>;

/// Returns whether one more request of `priority` fits `limit` requests in
/// progress beside the places that other classes have by their minimum shares
/// and do not use now.
bool HasRoom(const ClassCounts& counts,
             const std::array<PriorityClass, kPriorityCount>& classes,
             std::size_t limit,
             Priority priority);

/// Counts one request in progress while it lives, if there is room for it.
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
