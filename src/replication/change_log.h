#ifndef COLTSFOOTVANE_REPLICATION_CHANGE_LOG_H_
#define COLTSFOOTVANE_REPLICATION_CHANGE_LOG_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "store/place.h"

namespace coltsfootvane::replication {

/// A change from one state of a document to the next, as it is sent.
struct LoggedChange {
  store::Place base;
  store::Place place;
  std::string bytes;
};

/// The last changes, without gaps, for those who lack them.
struct ChangeLog {
  std::deque<LoggedChange> changes;  ///< In order.
  std::size_t bytes = 0;
};

/// Appends a change, and drops the oldest ones if there are too many or one is
/// missing between it and the last one.
void Append(LoggedChange change, ChangeLog* log);

/// Returns the changes that lead from `base` to the last place, one after the
/// other. Nothing if the log does not reach back so far, or they are longer
/// than `max_bytes`.
std::optional<std::string> ChangesSince(const ChangeLog& log,
                                        const store::Place& base,
                                        std::size_t max_bytes);

}  // namespace coltsfootvane::replication

#endif  // COLTSFOOTVANE_REPLICATION_CHANGE_LOG_H_
