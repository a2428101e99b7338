#include "standins/platform_standin/object_store.h"

#include <algorithm>
#include <utility>

namespace coltsfootvane::standin {

using objectapi::Change;
using objectapi::ChangeBatch;
using objectapi::ChangeType;
using objectapi::Object;
using objectapi::ObjectList;

namespace {

Error NotFound() {
  return {ErrorCode::kNotFound, "object does not exist"};
}

}  // namespace

const ObjectStore::KindState* ObjectStore::FindKind(
    std::string_view kind) const {
  const auto found = this->kinds.find(kind);
  return found == this->kinds.end() ? nullptr : &found->second;
}

const ObjectStore::Entry* ObjectStore::FindEntry(std::string_view kind,
                                                 std::string_view name) const {
  const KindState* const state = this->FindKind(kind);
  if (state == nullptr)
    return nullptr;
  const auto found = state->entries.find(name);
  return found == state->entries.end() ? nullptr : &found->second;
}

ObjectStore::Entry* ObjectStore::FindAtVersion(const Object& object,
                                               Error* error) {
  const auto state = this->kinds.find(object.kind);
  *error = NotFound();
  if (state == this->kinds.end())
    return nullptr;
  const auto found = state->second.entries.find(object.name);
  if (found == state->second.entries.end())
    return nullptr;
  if (found->second.current.resource_version == object.resource_version)
    return &found->second;
  *error = {ErrorCode::kConflict, "object has another version"};
  return nullptr;
}

void ObjectStore::AppendToLog(ChangeType type, const Object& object) {
  KindState& state = this->kinds[object.kind];
  state.log.push_back({type, object});
  if (state.log.size() <= this->log_size)
    return;
  state.last_dropped = state.log.front().object.resource_version;
  state.log.pop_front();
}

Result<Object> ObjectStore::Read(std::string_view kind,
                                 std::string_view name) const {
  const Entry* const entry = this->FindEntry(kind, name);
  if (entry == nullptr)
    return NotFound();
  return entry->current;
}

Result<Object> ObjectStore::ReadOldest(std::string_view kind,
                                       std::string_view name) const {
  const Entry* const entry = this->FindEntry(kind, name);
  if (entry == nullptr)
    return NotFound();
  return entry->oldest;
}

ObjectList ObjectStore::List(std::string_view kind) const {
  ObjectList list;
  list.resource_version = this->version;
  const KindState* const state = this->FindKind(kind);
  if (state == nullptr)
    return list;
  for (const auto& [name, entry] : state->entries)
    list.items.push_back(entry.current);
  return list;
}

ObjectList ObjectStore::ListOldest(std::string_view kind) const {
  ObjectList list;
  const KindState* const state = this->FindKind(kind);
  if (state == nullptr)
    return list;
  for (const auto& [name, entry] : state->entries) {
    list.items.push_back(entry.oldest);
    list.resource_version =
        std::max(list.resource_version, entry.oldest.resource_version);
  }
  return list;
}

Result<Object> ObjectStore::Create(const Object& object) {
  if (this->FindEntry(object.kind, object.name) != nullptr)
    return Error{ErrorCode::kConflict, "object exists"};
  Object created = object;
  created.resource_version = ++this->version;
  this->kinds[object.kind].entries[object.name] = {created, created};
  this->AppendToLog(ChangeType::kAdded, created);
  return created;
}

Result<Object> ObjectStore::Update(const Object& object) {
  Error error;
  Entry* const entry = this->FindAtVersion(object, &error);
  if (entry == nullptr)
    return error;
  entry->current.spec = object.spec;
  entry->current.resource_version = ++this->version;
  Object updated = entry->current;
  this->AppendToLog(ChangeType::kModified, updated);
  return updated;
}

Result<Object> ObjectStore::Delete(const Object& object) {
  Error error;
  const Entry* const entry = this->FindAtVersion(object, &error);
  if (entry == nullptr)
    return error;
  Object deleted = entry->current;
  deleted.resource_version = ++this->version;
  this->kinds[object.kind].entries.erase(object.name);
  this->AppendToLog(ChangeType::kDeleted, deleted);
  return deleted;
}

Result<ChangeBatch> ObjectStore::ChangesAfter(std::string_view kind,
                                              std::int64_t version) const {
  ChangeBatch batch;
  batch.resource_version = version;
  const KindState* const state = this->FindKind(kind);
  if (state == nullptr)
    return batch;
  if (version < state->last_dropped)
    return Error{ErrorCode::kGone, "version is too old"};
  const auto first = std::partition_point(
      state->log.begin(), state->log.end(), [version](const Change& change) {
        return change.object.resource_version <= version;
      });
  batch.changes.assign(first, state->log.end());
  if (!batch.changes.empty())
    batch.resource_version = batch.changes.back().object.resource_version;
  return batch;
}

}  // namespace coltsfootvane::standin
