#include "replication/item_reader.h"

#include <utility>

namespace coltsfootvane::replication {
namespace {

Error Invalid() {
  return {ErrorCode::kInvalid, "not a JSON object"};
}

std::string_view Unquoted(std::string_view text) {
  const bool is_quoted = text.size() >= 2 && text.front() == '"';
  return is_quoted ? text.substr(1, text.size() - 2) : text;
}

/// Returns a key that no other element of the array has.
std::string ElementKey(std::string_view element, ItemReader* reader) {
  const std::string name(Unquoted(FindMember(element, reader->name_member)));
  std::string key = reader->array + "/" + name;
  if (name.empty())
    return key + "#" + std::to_string(reader->index);
  const int occurrence = ++reader->names[name];
  if (occurrence > 1)
    key += "#" + std::to_string(occurrence);
  return key;
}

/// Returns the next element of the array, or nothing at its end.
Result<std::optional<ReadItem>> ReadElement(ItemReader* reader) {
  JsonScanner* const scanner = &reader->scanner;
  const bool is_first = reader->index == 0;
  if (Skip(scanner, ']')) {
    reader->array.clear();
    return std::optional<ReadItem>();
  }
  if (!is_first && !Skip(scanner, ','))
    return Invalid();
  const auto element = TakeValue(scanner);
  if (!element)
    return Invalid();
  ReadItem item{ElementKey(*element, reader), *element};
  ++reader->index;
  return std::optional<ReadItem>(std::move(item));
}

/// Returns the next member, or nothing if it is an array or the object ends.
Result<std::optional<ReadItem>> ReadMember(ItemReader* reader) {
  JsonScanner* const scanner = &reader->scanner;
  if (Skip(scanner, '}')) {
    reader->has_ended = true;
    return std::optional<ReadItem>();
  }
  if (std::exchange(reader->has_begun, true) && !Skip(scanner, ','))
    return Invalid();
  const auto name = TakeValue(scanner);
  if (!name || name->front() != '"' || !Skip(scanner, ':'))
    return Invalid();
  std::string key(Unquoted(*name));
  const bool is_left_out = key.empty() || key.find('/') != std::string::npos;
  if (!reader->members.insert(key).second)
    return Invalid();
  SkipSpace(scanner);
  if (!is_left_out && scanner->Peek() == '[') {
    ++scanner->position;
    reader->array = std::move(key);
    reader->index = 0;
    reader->names.clear();
    return std::optional<ReadItem>();
  }
  const auto value = TakeValue(scanner);
  if (!value)
    return Invalid();
  if (is_left_out)
    return std::optional<ReadItem>();
  return std::optional<ReadItem>(ReadItem{std::move(key), *value});
}

}  // namespace

ItemReader MakeItemReader(std::string_view text, std::string_view name_member) {
  ItemReader reader;
  reader.scanner.text = text;
  reader.name_member = name_member;
  return reader;
}

Result<std::optional<ReadItem>> ReadNext(ItemReader* reader) {
  if (!reader->has_begun && reader->scanner.position == 0 &&
      !Skip(&reader->scanner, '{'))
    return Invalid();
  while (!reader->has_ended) {
    Result<std::optional<ReadItem>> item =
        reader->array.empty() ? ReadMember(reader) : ReadElement(reader);
    if (!item || item.value())
      return item;
  }
  return std::optional<ReadItem>();
}

}  // namespace coltsfootvane::replication
