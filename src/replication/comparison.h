#ifndef COLTSFOOTVANE_REPLICATION_COMPARISON_H_
#define COLTSFOOTVANE_REPLICATION_COMPARISON_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "replication/document.h"

namespace coltsfootvane::replication {

/// Finds what has changed between a document and a newer state whose items are
/// met one by one. The document stays as it is meanwhile.
struct Comparison {
  std::uint32_t number = 0;  ///< Differs from that of earlier ones.
  std::vector<ItemChange> changes;
  std::size_t met = 0;       ///< Items that the document has as well.
  std::uint64_t digest = 0;  ///< Of the newer state, as far as it was met.
  std::string removal_from;  ///< Items before this key have been looked at.
};

/// Records an item of the newer state.
void Meet(std::string key,
          std::string_view text,
          Document* document,
          Comparison* comparison);

/// After all items were met: looks at the next items of the document, and
/// records those that the newer state lacks. Returns whether all are done.
bool FindRemovals(const Document& document, Comparison* comparison);

}  // namespace coltsfootvane::replication

#endif  // COLTSFOOTVANE_REPLICATION_COMPARISON_H_
