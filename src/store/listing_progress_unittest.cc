#include "store/listing_progress.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using store::AddPage;
using store::BeginListing;
using store::ListingProgress;
using store::PageContent;

namespace {

PageContent MakePage(const std::string& last_name) {
  PageContent page;
  page.entries = 1;
  page.bytes = 100;
  page.last_name = last_name;
  return page;
}

}  // namespace

TEST_GROUP(ListingProgress){};

// Guards against a listing that follows pages for ever (issue 58).
TEST(ListingProgress, EveryBoundEndsAListing) {
  const TimePoint start = Clock::now();
  struct Row {
    const char* reason;
    PageContent page;
    Milliseconds pause;  ///< Before each page.
    int max_pages;
  };
  PageContent many = MakePage("n");
  many.entries = 500;
  PageContent large = MakePage("n");
  large.bytes = 1'000'000;
  PageContent kept = MakePage("n");
  kept.kept_bytes = 1'000'000;
  const Row rows[] = {
      {"too many pages", MakePage("n"), Milliseconds(0), 1000},
      {"too many entries", many, Milliseconds(0), 41},
      {"too many bytes", large, Milliseconds(0), 34},
      {"too many bytes", kept, Milliseconds(0), 9},
      {"listing takes too long", MakePage("n"), Milliseconds(1000), 30},
  };
  for (const Row& row : rows) {
    ListingProgress progress = BeginListing(start);
    TimePoint now = start;
    for (;;) {
      now += row.pause;
      PageContent page = row.page;
      page.last_name += std::to_string(progress.pages);
      const Result<std::string> next = AddPage(page, now, &progress);
      if (!next) {
        STRCMP_EQUAL(row.reason, next.error().message.c_str());
        break;
      }
      STRCMP_EQUAL(page.last_name.c_str(), next.value().c_str());
    }
    CHECK_TEXT(progress.pages <= row.max_pages, row.reason);
  }
}

// Guards against pages that lead to each other, in whatever order a store keeps
// its names.
TEST(ListingProgress, OnlyMovesForward) {
  const TimePoint now = Clock::now();
  ListingProgress progress = BeginListing(now);
  CHECK(AddPage(MakePage("b"), now, &progress).has_value());
  CHECK(AddPage(MakePage("a"), now, &progress).has_value());
  CHECK(!AddPage(MakePage("b"), now, &progress));
  progress = BeginListing(now);
  CHECK(!AddPage(MakePage(""), now, &progress));
}
