#ifndef COLTSFOOTVANE_REPLICATION_DOCUMENT_H_
#define COLTSFOOTVANE_REPLICATION_DOCUMENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "store/place.h"

/// Copies of an object of the store that change item by item. What a change
/// costs follows the items that change, not all that the object has.
namespace coltsfootvane::replication {

/// One setting of an object, as JSON text.
struct Item {
  std::string text;
  std::uint64_t digest = 0;  ///< Of the key and the text.
  /// The last comparison that has met the item.
  std::uint32_t met_in = 0;
};

/// An object as it stood at a place in the history of the store. The members of
/// the object are its items, by name. A member that is an array has an item for
/// each element: the key is `MEMBER/NAME`.
struct Document {
  store::Place place;  ///< Unknown before the first state.
  std::map<std::string, Item, std::less<>> items;
  std::uint64_t digest = 0;  ///< Sum of those of the items.
  std::size_t bytes = 0;     ///< Of the texts of the items.
};

/// What becomes of one item.
struct ItemChange {
  std::string key;
  std::optional<std::string> text;  ///< Without one, the item is removed.
  std::uint64_t digest = 0;         ///< Of the item; 0 if it is removed.
};

std::uint64_t DigestOf(std::string_view key, std::string_view text);
ItemChange MakeChange(std::string key, std::optional<std::string> text);

/// Returns the text of the item, or nullptr.
const std::string* FindText(const Document& document, std::string_view key);

/// Returns how the digest of the document rises by the change, modulo 2^64.
std::uint64_t DigestRise(const Document& document, const ItemChange& change);

void Apply(ItemChange change, Document* document);

/// The parts of the key of an item.
struct ItemKey {
  std::string_view member;
  bool is_element = false;  ///< Of the array that the member holds.
};
ItemKey SplitKey(std::string_view key);

/// Returns the whole object as JSON text.
std::string FormatDocument(const Document& document);

}  // namespace coltsfootvane::replication

#endif  // COLTSFOOTVANE_REPLICATION_DOCUMENT_H_
