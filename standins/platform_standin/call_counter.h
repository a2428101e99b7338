#ifndef COLTSFOOTVANE_STANDINS_PLATFORM_STANDIN_CALL_COUNTER_H_
#define COLTSFOOTVANE_STANDINS_PLATFORM_STANDIN_CALL_COUNTER_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace coltsfootvane::standin {

enum class CallClass { kWrite, kRead };

/// Counts calls and bounds them per second. Not safe to use from several
/// threads.
class CallCounter {
 public:
  CallCounter(double writes_per_s, double reads_per_s);

  /// Counts one call. Returns false if it is above the rate of its class.
  bool Count(std::string_view kind,
             std::string_view verb,
             CallClass call_class,
             TimePoint now);

  void StartWatch();
  void EndWatch() { --this->watches; }

  /// Forgets all counts but the watches that wait now.
  void Reset();

  std::string FormatJson() const;

 private:
  struct ClassState {
    double limit = 0;
    std::int64_t second = 0;     ///< Whole second that is counted now.
    std::int64_t in_second = 0;  ///< Calls in it, refused ones included.
    std::int64_t accepted = 0;   ///< Calls in it that were not refused.
    std::int64_t peak = 0;
    std::int64_t refused = 0;  ///< In all.
  };

  std::array<ClassState, 2> classes;
  std::map<std::string, std::map<std::string, std::int64_t>> calls;
  std::int64_t watches = 0;
  std::int64_t peak_watches = 0;
};

}  // namespace coltsfootvane::standin

#endif  // COLTSFOOTVANE_STANDINS_PLATFORM_STANDIN_CALL_COUNTER_H_
