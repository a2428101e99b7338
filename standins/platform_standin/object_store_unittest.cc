#include "standins/platform_standin/object_store.h"

#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::standin {
namespace {

enum class Verb { kCreate, kUpdate, kDelete };

struct WriteRow {
  Verb verb;
  const char* name;
  std::int64_t version;
  std::optional<ErrorCode> error;  ///< Nothing if the write succeeds.
  std::int64_t stored_version;
};

// The rows act on one store, one after the other.
const WriteRow kWriteRows[] = {
    {Verb::kCreate, "a", 0, {}, 1},
    {Verb::kCreate, "a", 0, ErrorCode::kConflict, 0},
    {Verb::kUpdate, "a", 2, ErrorCode::kConflict, 0},
    {Verb::kUpdate, "a", 1, {}, 2},
    {Verb::kUpdate, "a", 1, ErrorCode::kConflict, 0},
    {Verb::kCreate, "b", 0, {}, 3},
    {Verb::kUpdate, "c", 3, ErrorCode::kNotFound, 0},
    {Verb::kDelete, "a", 1, ErrorCode::kConflict, 0},
    {Verb::kDelete, "a", 2, {}, 4},
    {Verb::kDelete, "a", 2, ErrorCode::kNotFound, 0},
    {Verb::kCreate, "a", 0, {}, 5},
};

objectapi::Object MakeObject(const char* name, std::int64_t version) {
  return {"things", name, version,
          "{\"from\":" + std::to_string(version) + "}"};
}

Result<objectapi::Object> Write(ObjectStore* store, const WriteRow& row) {
  const objectapi::Object object = MakeObject(row.name, row.version);
  switch (row.verb) {
    case Verb::kCreate:
      return store->Create(object);
    case Verb::kUpdate:
      return store->Update(object);
    case Verb::kDelete:
      return store->Delete(object);
  }
  return Error{};
}

}  // namespace

TEST_GROUP(ObjectStore){};

// Guards against a stand-in that lets two conditional writes of one version
// win: every test of "at most once" rests on it.
TEST(ObjectStore, ConditionalWrites) {
  ObjectStore store(100);
  for (const WriteRow& row : kWriteRows) {
    const Result<objectapi::Object> stored = Write(&store, row);
    CHECK_EQUAL(!row.error.has_value(), stored.has_value());
    if (stored)
      CHECK_EQUAL(row.stored_version, stored.value().resource_version);
    else
      CHECK(*row.error == stored.error().code);
  }
  CHECK_EQUAL(2U, store.List("things").items.size());
  CHECK_EQUAL(5, store.List("things").resource_version);
}

// Guards against watches that skip a change instead of asking to list again.
TEST(ObjectStore, ChangesLeaveTheLogInOrder) {
  ObjectStore store(2);
  for (const char* name : {"a", "b", "c", "d"})
    CHECK(store.Create(MakeObject(name, 0)).has_value());
  for (std::int64_t version : {0, 1}) {
    const Result<objectapi::ChangeBatch> changes =
        store.ChangesAfter("things", version);
    CHECK(!changes && changes.error().code == ErrorCode::kGone);
  }
  for (std::int64_t version : {2, 3, 4}) {
    const Result<objectapi::ChangeBatch> changes =
        store.ChangesAfter("things", version);
    CHECK(changes.has_value());
    CHECK_EQUAL(static_cast<std::size_t>(4 - version),
                changes.value().changes.size());
    CHECK_EQUAL(4, changes.value().resource_version);
  }
  CHECK(store.ChangesAfter("others", 0).value().changes.empty());
}

// Guards against stale reads that return the newest version after all.
TEST(ObjectStore, KeepsTheOldestVersion) {
  ObjectStore store(2);
  CHECK(store.Create(MakeObject("a", 0)).has_value());
  CHECK(store.Update(MakeObject("a", 1)).has_value());
  CHECK(store.Update(MakeObject("a", 2)).has_value());
  CHECK_EQUAL(3, store.Read("things", "a").value().resource_version);
  CHECK_EQUAL(1, store.ReadOldest("things", "a").value().resource_version);
  CHECK_EQUAL(1, store.ListOldest("things").resource_version);
}

}  // namespace coltsfootvane::standin
