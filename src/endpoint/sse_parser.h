#ifndef COLTSFOOTVANE_ENDPOINT_SSE_PARSER_H_
#define COLTSFOOTVANE_ENDPOINT_SSE_PARSER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "endpoint/engine.h"

namespace coltsfootvane::endpoint {

/// Splits a byte stream into server-sent events, as in the HTML standard,
/// section 9.2.6. Fields other than `id` and `data` are ignored.
class SseParser {
 public:
  /// Receives each event that has data. Returns false to stop.
  using EventHandler = std::function<bool(const StreamEvent&)>;

  /// Longest line accepted, in bytes; it bounds the memory of one stream.
  static constexpr std::size_t kMaxLineBytes = 1024 * 1024;

  /// Parses `bytes`. Returns false if a handler stopped or a line is too long.
  bool Feed(std::string_view bytes, const EventHandler& on_event);

 private:
  bool FinishLine(const EventHandler& on_event);
  bool Dispatch(const EventHandler& on_event);

  std::string line;
  StreamEvent event;
  bool has_data = false;
  bool after_carriage_return = false;
};

}  // namespace coltsfootvane::endpoint

#endif  // COLTSFOOTVANE_ENDPOINT_SSE_PARSER_H_
