#ifndef COLTSFOOTVANE_STORE_PLACE_H_
#define COLTSFOOTVANE_STORE_PLACE_H_

#include <cstdint>
#include <string>

namespace coltsfootvane::store {

/// A place in the history of the store. A store that comes back from an older
/// copy begins a new era, in which it gives revisions out again: a place of a
/// later era is later, whatever the revisions.
struct Place {
  constexpr Place() = default;
  constexpr explicit Place(std::int64_t its_revision, std::int64_t its_era = 0)
      : era(its_era), revision(its_revision) {}

  /// Returns whether it is one that the store has stated.
  constexpr bool IsKnown() const { return this->revision > 0; }

  std::int64_t era = 0;       ///< 0 if the store states none.
  std::int64_t revision = 0;  ///< 0 if not known.
};

constexpr bool operator==(const Place& a, const Place& b) {
  return a.era == b.era && a.revision == b.revision;
}
constexpr bool operator!=(const Place& a, const Place& b) {
  return !(a == b);
}
constexpr bool operator<(const Place& a, const Place& b) {
  return a.era != b.era ? a.era < b.era : a.revision < b.revision;
}
constexpr bool operator>(const Place& a, const Place& b) {
  return b < a;
}
constexpr bool operator<=(const Place& a, const Place& b) {
  return !(b < a);
}
constexpr bool operator>=(const Place& a, const Place& b) {
  return !(a < b);
}

/// Returns `REVISION`, with ` era=ERA` if the store states eras.
inline std::string FormatPlace(const Place& place) {
  const std::string revision = std::to_string(place.revision);
  return place.era == 0 ? revision
                        : revision + " era=" + std::to_string(place.era);
}

}  // namespace coltsfootvane::store

#endif  // COLTSFOOTVANE_STORE_PLACE_H_
