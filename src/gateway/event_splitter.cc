#include "gateway/event_splitter.h"

#include <charconv>

namespace coltsfootvane::gateway {
namespace {

/// Returns the length of the first event including its empty line, or npos.
std::size_t FindEventEnd(std::string_view text) {
  std::size_t line_start = 0;
  while (line_start < text.size()) {
    const std::size_t line_end = text.find('\n', line_start);
    if (line_end == std::string_view::npos)
      return std::string_view::npos;
    const std::string_view line =
        text.substr(line_start, line_end - line_start);
    if (line.empty() || line == "\r")
      return line_end + 1;
    line_start = line_end + 1;
  }
  return std::string_view::npos;
}

std::optional<std::int64_t> ReadId(std::string_view event) {
  while (!event.empty()) {
    const std::size_t line_end = event.find('\n');
    std::string_view line = event.substr(0, line_end);
    event.remove_prefix(line_end == std::string_view::npos ? event.size()
                                                           : line_end + 1);
    if (line.substr(0, 3) != "id:")
      continue;
    line.remove_prefix(3);
    while (!line.empty() && line.front() == ' ')
      line.remove_prefix(1);
    std::int64_t id = 0;
    const auto result =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (result.ec == std::errc())
      return id;
  }
  return std::nullopt;
}

}  // namespace

std::optional<StreamEvent> EventSplitter::Next() {
  const std::size_t length = FindEventEnd(this->pending);
  if (length == std::string_view::npos)
    return std::nullopt;
  StreamEvent event;
  event.bytes = this->pending.substr(0, length);
  event.id = ReadId(event.bytes);
  this->pending.erase(0, length);
  return event;
}

}  // namespace coltsfootvane::gateway
