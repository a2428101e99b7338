#include "replication/document.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/digest.h"

namespace coltsfootvane::replication {

std::uint64_t DigestOf(std::string_view key, std::string_view text) {
  return Hash64(text, Hash64(key));
}

const std::string* FindText(const Document& document, std::string_view key) {
  const auto found = document.items.find(key);
  return found == document.items.end() ? nullptr : &found->second.text;
}

ItemChange MakeChange(std::string key, std::optional<std::string> text) {
  const std::uint64_t digest = text ? DigestOf(key, *text) : 0;
  return {std::move(key), std::move(text), digest};
}

std::uint64_t DigestRise(const Document& document, const ItemChange& change) {
  const auto found = document.items.find(change.key);
  const std::uint64_t before =
      found == document.items.end() ? 0 : found->second.digest;
  return change.digest - before;
}

void Apply(ItemChange change, Document* document) {
  const auto found = document->items.find(change.key);
  if (found != document->items.end()) {
    document->digest -= found->second.digest;
    document->bytes -= found->second.text.size();
  }
  if (!change.text) {
    if (found != document->items.end())
      document->items.erase(found);
    return;
  }
  document->digest += change.digest;
  document->bytes += change.text->size();
  Item& item = found == document->items.end()
                   ? document->items[std::move(change.key)]
                   : found->second;
  item.text = std::move(*change.text);
  item.digest = change.digest;
}

ItemKey SplitKey(std::string_view key) {
  const std::size_t slash = key.find('/');
  if (slash == std::string_view::npos)
    return {key, false};
  return {key.substr(0, slash), true};
}

std::string FormatDocument(const Document& document) {
  std::string text = "{";
  std::string_view array;  // Whose elements are being written.
  for (const auto& [key, item] : document.items) {
    const ItemKey parts = SplitKey(key);
    if (parts.is_element && parts.member == array) {
      text += "," + item.text;
      continue;
    }
    if (!array.empty())
      text += "]";
    array = parts.is_element ? parts.member : std::string_view();
    if (text.size() > 1)
      text += ",";
    text += nlohmann::json(std::string(parts.member)).dump() + ":";
    text += (parts.is_element ? "[" : "") + item.text;
  }
  return text + (array.empty() ? "}" : "]}");
}

}  // namespace coltsfootvane::replication
