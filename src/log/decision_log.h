#ifndef COLTSFOOTVANE_LOG_DECISION_LOG_H_
#define COLTSFOOTVANE_LOG_DECISION_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "log/event.h"

namespace coltsfootvane {

/// Writes one structured line for each decision to a file descriptor that may
/// be slow or full. Lines that do not fit into the buffer or the rate are left
/// out and counted. Requests are sampled as a whole, by a hash of their id, so
/// that a sampled request has its lines on every daemon.
class DecisionLog {
 public:
  DecisionLog(int descriptor, std::string_view process_name);

  /// Writes `event` about the request `request_id`, or about the process if
  /// that is empty. `detail` is a list of `key=value` pairs. Warnings and
  /// errors have a budget of their own, which comes first.
  void Write(const Event& event,
             std::string_view request_id,
             std::string_view detail);

  /// Returns whether an informational line about the request would be written.
  /// Spares the caller the formatting.
  bool Samples(std::string_view request_id) const;

  /// Hands to the descriptor what it takes without blocking.
  void Flush();

  std::uint64_t left_out_by_rate = 0;    ///< Lines beyond the budget.
  std::uint64_t left_out_by_buffer = 0;  ///< Lines that nobody has read.

 private:
  bool TakeBudget(Severity severity);

  int descriptor;
  std::string process_name;
  std::string buffer;
  TimePoint window_end;
  int infos = 0;     ///< In this window.
  int warnings = 0;  ///< In this window.
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_LOG_DECISION_LOG_H_
