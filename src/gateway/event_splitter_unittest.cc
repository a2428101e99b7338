#include "gateway/event_splitter.h"

#include <string>

#include <CppUTest/TestHarness.h>

using coltsfootvane::gateway::EventSplitter;

TEST_GROUP(EventSplitter){};

/// Only complete events are returned, whatever the sizes of the reads.
TEST(EventSplitter, SplitsAtEmptyLines) {
  struct Row {
    const char* name;
    std::string bytes;
    int events;
    long last_id;
    std::size_t pending;
  };
  const Row rows[] = {
      {"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, 2, 0},
      {"carriage returns", "id: 7\r\ndata: a\r\n\r\n", 1, 7, 0},
      {"a part of the second", "id: 1\n\nid: 2\nda", 1, 1, 8},
      {"no space after the colon", "id:12\n\n", 1, 12, 0},
      {"a line before the id", "weight-versions: 3\nid: 4\ndata: x\n\n", 1, 4,
       0},
      {"no id", "data: x\n\n", 1, -1, 0},
      {"incomplete event", "id: 1", 0, -1, 5},
  };
  for (const Row& row : rows) {
    for (const std::size_t piece : {1UL, 3UL, 100UL}) {
      EventSplitter splitter;
      int events = 0;
      long last_id = -1;
      for (std::size_t at = 0; at < row.bytes.size(); at += piece) {
        splitter.Append(std::string_view(row.bytes).substr(at, piece));
        while (const auto event = splitter.Next()) {
          ++events;
          last_id = event->id ? static_cast<long>(*event->id) : last_id;
        }
      }
      LONGS_EQUAL_TEXT(row.events, events, row.name);
      LONGS_EQUAL_TEXT(row.last_id, last_id, row.name);
      LONGS_EQUAL_TEXT(row.pending, splitter.PendingBytes(), row.name);
    }
  }
}
