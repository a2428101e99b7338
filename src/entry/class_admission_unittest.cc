#include "entry/class_admission.h"

#include <vector>

#include <CppUTest/TestHarness.h>

namespace coltsfootvane {

TEST_GROUP(ClassAdmission){};

// Guards against one class taking every thread of an entry listener, and
// against a class that cannot use the threads reserved for it.
TEST(ClassAdmission, KeepsMinimumShares) {
  struct Row {
    ClassCounts counts;
    Priority priority;
    bool has_room;
  };
  const std::vector<Row> rows = {
      {{0, 0, 29}, Priority::kOvernight, true},
      {{0, 0, 30}, Priority::kOvernight, false},
      {{0, 0, 30}, Priority::kInteractive, true},
      {{50, 0, 30}, Priority::kInteractive, false},
      {{50, 0, 30}, Priority::kLookup, true},
      {{69, 0, 0}, Priority::kInteractive, true},
      {{70, 0, 0}, Priority::kInteractive, false},
      {{70, 0, 0}, Priority::kOvernight, true},
      {{70, 20, 9}, Priority::kOvernight, true},
      {{70, 20, 10}, Priority::kOvernight, false},
  };
  std::array<PriorityClass, kPriorityCount> classes;
  classes[0].minimum_share = 0.5;
  classes[1].minimum_share = 0.2;
  classes[2].minimum_share = 0.1;
  for (const Row& row : rows)
    CHECK_EQUAL(row.has_room, HasRoom(row.counts, classes, 100, row.priority));
}

}  // namespace coltsfootvane
