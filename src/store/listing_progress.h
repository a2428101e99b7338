#ifndef COLTSFOOTVANE_STORE_LISTING_PROGRESS_H_
#define COLTSFOOTVANE_STORE_LISTING_PROGRESS_H_

#include <cstddef>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/result.h"

namespace coltsfootvane::store {

// Bounds of a listing that is read page by page, whatever the store answers.

inline constexpr int kMaxListingPages = 1000;
inline constexpr std::size_t kMaxListingEntries = 20'000;
/// Of all pages as received.
inline constexpr std::size_t kMaxListingBytes = 32UL * 1024 * 1024;
/// Of the specs that are kept; as parsed values they take several times that.
inline constexpr std::size_t kMaxKeptBytes = 8UL * 1024 * 1024;
/// From the first call to the last one. A page of a slow store takes a second.
inline constexpr Milliseconds kMaxListingTime{30'000};
/// Of one spec that is parsed. A longer one is listed as unreadable.
inline constexpr std::size_t kMaxParsedSpecBytes = 256UL * 1024;

/// What a page adds to its listing.
struct PageContent {
  std::size_t entries = 0;
  std::size_t bytes = 0;       ///< As received.
  std::size_t kept_bytes = 0;  ///< Of specs.
  std::string last_name;       ///< Empty if no entry has a name.
};

/// How far a listing has come.
struct ListingProgress {
  TimePoint deadline;
  int pages = 0;
  PageContent total;           ///< Of all pages so far.
  std::set<std::string> ends;  ///< The names that ended them.
};

ListingProgress BeginListing(TimePoint now);

/// Adds a page after which more are due. Returns the name behind which the next
/// one begins. Errors: kUnknown if the page does not lead on, or if the listing
/// goes beyond a bound.
Result<std::string> AddPage(const PageContent& page,
                            TimePoint now,
                            ListingProgress* progress);

}  // namespace coltsfootvane::store

#endif  // COLTSFOOTVANE_STORE_LISTING_PROGRESS_H_
