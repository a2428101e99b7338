#include "distribution/placement_union.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace coltsfootvane {
namespace {

void SetPlacement(RegionPlacements* regions,
                  const objectapi::Object& object,
                  Findings* findings) {
  Result<PlacementView> view = ParsePlacement(object.spec);
  if (view)
    (*regions)[object.name] = std::move(view).value();
  else
    findings->push_back({{object.name, 0, 0}, view.error().message});
}

void AddPlacement(const EndpointPlacement& from, EndpointPlacement* to) {
  std::vector<std::string> ready;
  std::set_union(to->ready.begin(), to->ready.end(), from.ready.begin(),
                 from.ready.end(), std::back_inserter(ready));
  to->endpoint_id = from.endpoint_id;
  to->leaving = to->leaving || from.leaving;
  to->ready = std::move(ready);
}

}  // namespace

void ReplacePlacements(RegionPlacements* regions,
                       const objectapi::ObjectList& list,
                       Findings* findings) {
  RegionPlacements listed;
  for (const objectapi::Object& object : list.items) {
    const auto known = regions->find(object.name);
    if (known != regions->end())
      listed[object.name] = std::move(known->second);
    SetPlacement(&listed, object, findings);
  }
  *regions = std::move(listed);
}

void ChangePlacements(RegionPlacements* regions,
                      const objectapi::ChangeBatch& batch,
                      Findings* findings) {
  for (const objectapi::Change& change : batch.changes) {
    if (change.type == objectapi::ChangeType::kDeleted)
      regions->erase(change.object.name);
    else
      SetPlacement(regions, change.object, findings);
  }
}

PlacementView UnitePlacements(const RegionPlacements& regions) {
  std::map<std::string, EndpointPlacement> by_id;
  for (const auto& [region, view] : regions) {
    for (const EndpointPlacement& placement : view.endpoints)
      AddPlacement(placement, &by_id[placement.endpoint_id]);
  }
  PlacementView united;
  for (auto& [id, placement] : by_id)
    united.endpoints.push_back(std::move(placement));
  return united;
}

}  // namespace coltsfootvane
