#ifndef COLTSFOOTVANE_GATEWAY_EVENT_SPLITTER_H_
#define COLTSFOOTVANE_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootvane::gateway {

/// One event of an event stream, including its terminating empty line.
struct StreamEvent {
  std::string bytes;
  std::optional<std::int64_t> id;
};

/// Splits the bytes of an event stream into complete events, so that partial
/// events are not forwarded.
class EventSplitter {
 public:
  void Append(std::string_view bytes) { this->pending.append(bytes); }
  /// Returns the next complete event, if there is one.
  std::optional<StreamEvent> Next();
  /// Returns the number of bytes of the incomplete event.
  std::size_t PendingBytes() const { return this->pending.size(); }
  void Clear() { this->pending.clear(); }

 private:
  std::string pending;
};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_EVENT_SPLITTER_H_
