#ifndef COLTSFOOTVANE_LOG_EVENT_H_
#define COLTSFOOTVANE_LOG_EVENT_H_

#include <string_view>

namespace coltsfootvane {

enum class Severity { kInfo, kWarning, kError };

/// A kind of log entry. Each duty declares its events in its events.h; the
/// numbers are stable and listed in docs/EVENTS.md.
struct Event {
  int number;
  Severity severity;
  const char* name;
};

/// Writes `E<number> <name> <detail>` to the log. `detail` is a list of
/// `key=value` pairs.
void LogEvent(const Event& event, std::string_view detail);

/// Sends the log to standard error, one line per event, each naming
/// `process_name`.
void ConfigureLog(std::string_view process_name);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_LOG_EVENT_H_
