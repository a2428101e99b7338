#include "placement/placement_view.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootvane {
namespace {

using Json = nlohmann::json;

bool HasSmallerId(const EndpointPlacement& placement, std::string_view id) {
  return placement.endpoint_id < id;
}

bool ReadItems(const Json& value, std::vector<std::string>* items) {
  if (!value.is_array())
    return false;
  for (const Json& item : value) {
    if (!item.is_string())
      return false;
    items->push_back(item.get<std::string>());
  }
  std::sort(items->begin(), items->end());
  return true;
}

bool ReadEndpoint(const Json& value, EndpointPlacement* placement) {
  if (!value.is_object())
    return false;
  const auto id = value.find("id");
  const auto leaving = value.find("leaving");
  const auto ready = value.find("ready");
  if (id == value.end() || !id->is_string() || ready == value.end())
    return false;
  if (leaving != value.end() && !leaving->is_boolean())
    return false;
  placement->endpoint_id = id->get<std::string>();
  placement->leaving = leaving != value.end() && leaving->get<bool>();
  return ReadItems(*ready, &placement->ready);
}

}  // namespace

const EndpointPlacement* FindPlacement(const PlacementView& view,
                                       std::string_view endpoint_id) {
  const auto found = std::lower_bound(
      view.endpoints.begin(), view.endpoints.end(), endpoint_id, HasSmallerId);
  if (found == view.endpoints.end() || found->endpoint_id != endpoint_id)
    return nullptr;
  return &*found;
}

bool IsReady(const EndpointPlacement& placement, std::string_view item) {
  return std::binary_search(placement.ready.begin(), placement.ready.end(),
                            item);
}

std::string FormatPlacement(const PlacementView& view) {
  Json endpoints = Json::array();
  for (const EndpointPlacement& placement : view.endpoints) {
    endpoints.push_back({{"id", placement.endpoint_id},
                         {"leaving", placement.leaving},
                         {"ready", placement.ready}});
  }
  const Json value = {{"endpoints", std::move(endpoints)}};
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<PlacementView> ParsePlacement(std::string_view json) {
  const Error malformed{ErrorCode::kInvalid, "malformed placement"};
  const Json value = Json::parse(json, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object())
    return malformed;
  const auto endpoints = value.find("endpoints");
  if (endpoints == value.end() || !endpoints->is_array())
    return malformed;
  PlacementView view;
  for (const Json& item : *endpoints) {
    EndpointPlacement placement;
    if (!ReadEndpoint(item, &placement))
      return malformed;
    view.endpoints.push_back(std::move(placement));
  }
  std::sort(view.endpoints.begin(), view.endpoints.end(),
            [](const EndpointPlacement& a, const EndpointPlacement& b) {
              return a.endpoint_id < b.endpoint_id;
            });
  return view;
}

}  // namespace coltsfootvane
