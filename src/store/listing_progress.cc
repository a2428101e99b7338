#include "store/listing_progress.h"

namespace coltsfootvane::store {
namespace {

Error Failed(const char* reason) {
  return {ErrorCode::kUnknown, reason};
}

}  // namespace

ListingProgress BeginListing(TimePoint now) {
  ListingProgress progress;
  progress.deadline = now + kMaxListingTime;
  return progress;
}

Result<std::string> AddPage(const PageContent& page,
                            TimePoint now,
                            ListingProgress* progress) {
  PageContent& total = progress->total;
  ++progress->pages;
  total.entries += page.entries;
  total.bytes += page.bytes;
  total.kept_bytes += page.kept_bytes;
  if (page.last_name.empty())
    return Failed("page has no names");
  if (!progress->ends.insert(page.last_name).second)
    return Failed("page leads back to an earlier one");
  if (progress->pages >= kMaxListingPages)
    return Failed("too many pages");
  if (total.entries > kMaxListingEntries)
    return Failed("too many entries");
  if (total.bytes > kMaxListingBytes || total.kept_bytes > kMaxKeptBytes)
    return Failed("too many bytes");
  if (now >= progress->deadline)
    return Failed("listing takes too long");
  return page.last_name;
}

}  // namespace coltsfootvane::store
