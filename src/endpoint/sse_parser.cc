#include "endpoint/sse_parser.h"

#include <charconv>

namespace coltsfootvane::endpoint {

bool SseParser::Feed(std::string_view bytes, const EventHandler& on_event) {
  for (const char byte : bytes) {
    const bool second_of_pair = this->after_carriage_return && byte == '\n';
    this->after_carriage_return = byte == '\r';
    if (second_of_pair)
      continue;
    if (byte == '\r' || byte == '\n') {
      if (!this->FinishLine(on_event))
        return false;
      continue;
    }
    if (this->line.size() >= kMaxLineBytes)
      return false;
    this->line.push_back(byte);
  }
  return true;
}

bool SseParser::FinishLine(const EventHandler& on_event) {
  if (this->line.empty())
    return this->Dispatch(on_event);
  const std::string_view text = this->line;
  const std::size_t colon = text.find(':');
  const std::string_view field = text.substr(0, colon);
  std::string_view value =
      colon == std::string_view::npos ? "" : text.substr(colon + 1);
  if (!value.empty() && value.front() == ' ')
    value.remove_prefix(1);
  if (field == "data") {
    if (this->has_data)
      this->event.data.push_back('\n');
    this->event.data.append(value);
    this->has_data = true;
  } else if (field == "id") {
    this->event.id = 0;
    std::from_chars(value.data(), value.data() + value.size(), this->event.id);
  }
  this->line.clear();
  return true;
}

bool SseParser::Dispatch(const EventHandler& on_event) {
  const StreamEvent finished = std::move(this->event);
  const bool complete = this->has_data;
  this->event = StreamEvent{};
  this->has_data = false;
  return !complete || on_event(finished);
}

}  // namespace coltsfootvane::endpoint
