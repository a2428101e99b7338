#include "distribution/leaving_set.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace coltsfootvane {
namespace {

std::string StringMember(const nlohmann::json& value, const char* name) {
  if (!value.is_object())
    return {};
  const auto found = value.find(name);
  if (found == value.end() || !found->is_string())
    return {};
  return found->get<std::string>();
}

ListedVm ReadVm(const objectapi::Object& object) {
  const nlohmann::json spec =
      nlohmann::json::parse(object.spec, nullptr, /*allow_exceptions=*/false);
  ListedVm vm;
  vm.leaving = StringMember(spec, "state") == "leaving";
  vm.endpoint_id = StringMember(spec, "endpoint");
  vm.resource_version = object.resource_version;
  return vm;
}

const ListedVm* FindVm(const LeavingSet& set, std::string_view id) {
  const auto by_name = set.vms.find(id);
  if (by_name != set.vms.end())
    return &by_name->second;
  const auto by_endpoint = std::find_if(
      set.vms.begin(), set.vms.end(),
      [id](const auto& entry) { return entry.second.endpoint_id == id; });
  return by_endpoint == set.vms.end() ? nullptr : &by_endpoint->second;
}

/// Forgets the noted ids that the list has overtaken.
void ReviewNoted(LeavingSet* set) {
  for (auto it = set->noted.begin(); it != set->noted.end();) {
    NotedLeaving& noted = it->second;
    const ListedVm* const vm = FindVm(*set, it->first);
    // What the first list shows may be older than the note.
    if (noted.list_version == 0)
      noted.list_version = set->list_version;
    const bool gone = vm == nullptr && noted.listed;
    const bool returned = vm != nullptr && !vm->leaving &&
                          vm->resource_version > noted.list_version;
    noted.listed = noted.listed || vm != nullptr;
    it = gone || returned ? set->noted.erase(it) : std::next(it);
  }
}

}  // namespace

bool NoteLeavingId(LeavingSet* set, std::string_view id) {
  NotedLeaving noted;
  noted.list_version = set->list_version;
  noted.listed = FindVm(*set, id) != nullptr;
  return set->noted.try_emplace(std::string(id), noted).second;
}

void ReplaceVms(LeavingSet* set, const objectapi::ObjectList& list) {
  set->vms.clear();
  for (const objectapi::Object& object : list.items)
    set->vms[object.name] = ReadVm(object);
  set->list_version = list.resource_version;
  ReviewNoted(set);
}

void ChangeVms(LeavingSet* set, const objectapi::ChangeBatch& batch) {
  for (const objectapi::Change& change : batch.changes) {
    if (change.type == objectapi::ChangeType::kDeleted)
      set->vms.erase(change.object.name);
    else
      set->vms[change.object.name] = ReadVm(change.object);
  }
  set->list_version = std::max(set->list_version, batch.resource_version);
  ReviewNoted(set);
}

std::set<std::string> LeavingIds(const LeavingSet& set) {
  std::set<std::string> ids;
  for (const auto& [name, vm] : set.vms) {
    if (!vm.leaving)
      continue;
    ids.insert(name);
    if (!vm.endpoint_id.empty())
      ids.insert(vm.endpoint_id);
  }
  for (const auto& [id, noted] : set.noted)
    ids.insert(id);
  return ids;
}

}  // namespace coltsfootvane
