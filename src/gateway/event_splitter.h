#ifndef COLTSFOOTVANE_GATEWAY_EVENT_SPLITTER_H_
#define COLTSFOOTVANE_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootvane::gateway {

/// One event of an event stream with its final empty line.
struct StreamEvent {
  std::string bytes;
  std::optional<std::int64_t> id;
};

/// Cuts the bytes of an event stream into whole events, so that only these are
/// forwarded.
class EventSplitter {
 public:
  void Append(std::string_view bytes) { this->pending.append(bytes); }
  /// Returns the next whole event, if there is one.
  std::optional<StreamEvent> Next();
  /// Bytes of an event that is not whole yet.
  std::size_t PendingBytes() const { return this->pending.size(); }
  void Clear() { this->pending.clear(); }

 private:
  std::string pending;
};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_EVENT_SPLITTER_H_
