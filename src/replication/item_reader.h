#ifndef COLTSFOOTVANE_REPLICATION_ITEM_READER_H_
#define COLTSFOOTVANE_REPLICATION_ITEM_READER_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/json_scanner.h"
#include "base/result.h"

namespace coltsfootvane::replication {

/// An item as it stands in the text of an object.
struct ReadItem {
  std::string key;
  std::string_view text;
};

/// A position in the text of an object, which is read item by item, so that
/// nothing has to wait until a long one has been read. The text outlives it.
struct ItemReader {
  JsonScanner scanner;
  /// The member of an element by which it is known.
  std::string_view name_member;
  bool has_begun = false;
  bool has_ended = false;
  std::set<std::string> members;  ///< That have been met.
  std::string array;      ///< Whose elements are read; empty between members.
  std::size_t index = 0;  ///< Of the next element.
  /// How often each name has occurred in the array.
  std::unordered_map<std::string, int> names;
};

ItemReader MakeItemReader(std::string_view text, std::string_view name_member);

/// Returns the next item, or nothing after the last one. Members whose name has
/// a slash are left out. Errors: kInvalid if the text is no JSON object, or has
/// a member twice.
Result<std::optional<ReadItem>> ReadNext(ItemReader* reader);

}  // namespace coltsfootvane::replication

#endif  // COLTSFOOTVANE_REPLICATION_ITEM_READER_H_
