#include "distribution/leaving_set.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace coltsfootvane {
namespace {

enum class Step { kNote, kList, kSet, kDelete };

struct Row {
  Step step;
  const char* id;  ///< Of a noted id, or the VM that changes.
  bool leaving;    ///< State of that VM; for kList, of the only VM listed.
  std::int64_t version;
  const char* expected;  ///< Leaving ids, joined.
};

// VM "vm1" runs endpoint "e1". For kList an empty id is an empty list.
using Rows = std::vector<Row>;

objectapi::Object MakeVm(const Row& row) {
  const std::string state = row.leaving ? "leaving" : "live";
  return {objectapi::kVmKind, row.id, row.version,
          R"({"state":")" + state + R"(","endpoint":"e1"})"};
}

void Apply(const Row& row, LeavingSet* set) {
  objectapi::ObjectList list;
  objectapi::ChangeBatch batch;
  list.resource_version = row.version;
  batch.resource_version = row.version;
  switch (row.step) {
    case Step::kNote:
      NoteLeavingId(set, row.id);
      return;
    case Step::kList:
      if (*row.id != '\0')
        list.items.push_back(MakeVm(row));
      ReplaceVms(set, list);
      return;
    case Step::kSet:
      batch.changes.push_back({objectapi::ChangeType::kModified, MakeVm(row)});
      ChangeVms(set, batch);
      return;
    case Step::kDelete:
      batch.changes.push_back({objectapi::ChangeType::kDeleted, MakeVm(row)});
      ChangeVms(set, batch);
      return;
  }
}

std::string Join(const std::set<std::string>& ids) {
  std::string joined;
  for (const std::string& id : ids)
    joined += id + " ";
  return joined;
}

void CheckRows(const Rows& rows) {
  LeavingSet set;
  for (const Row& row : rows) {
    Apply(row, &set);
    STRCMP_EQUAL(row.expected, Join(LeavingIds(set)).c_str());
  }
}

}  // namespace

TEST_GROUP(LeavingSet){};

// Guards against new work for a VM that the platform lists as leaving.
TEST(LeavingSet, FollowsTheList) {
  CheckRows({{Step::kList, "vm1", false, 5, ""},
             {Step::kSet, "vm1", true, 6, "e1 vm1 "},
             {Step::kSet, "vm1", false, 7, ""},
             {Step::kList, "vm1", true, 8, "e1 vm1 "},
             {Step::kDelete, "vm1", true, 9, ""}});
}

// Guards against a lagging list that makes a VM, seen as leaving by other
// means, look live again, and against a note that stays for ever.
TEST(LeavingSet, LaggingListDoesNotClearANote) {
  CheckRows({{Step::kList, "vm1", false, 5, ""},
             {Step::kNote, "e1", false, 0, "e1 "},
             {Step::kNote, "e1", false, 0, "e1 "},
             {Step::kList, "vm1", false, 5, "e1 "},
             {Step::kSet, "vm1", true, 6, "e1 vm1 "},
             {Step::kSet, "vm1", false, 7, ""}});
}

// Guards against the first list after a start in an outage, which may be
// older than what peers have told.
TEST(LeavingSet, NotedBeforeTheFirstList) {
  CheckRows({{Step::kNote, "vm1", false, 0, "vm1 "},
             {Step::kList, "vm1", false, 5, "vm1 "},
             {Step::kSet, "vm1", false, 6, ""}});
}

// Guards against ids of VMs that are gone filling the memory, and against
// forgetting one that the list does not show yet.
TEST(LeavingSet, GoneOnlyAfterItWasListed) {
  CheckRows({{Step::kNote, "vm1", false, 0, "vm1 "},
             {Step::kList, "", false, 5, "vm1 "},
             {Step::kList, "", false, 6, "vm1 "},
             {Step::kList, "vm1", true, 7, "e1 vm1 "},
             {Step::kList, "", false, 8, ""}});
}

}  // namespace coltsfootvane
