#include "gateway/routing_table.h"

#include "net/message.h"

namespace coltsfootvane::gateway {
namespace {

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

const Route* MatchRoute(const RoutingTable& table,
                        std::string_view host,
                        std::string_view path) {
  const Route* longest = nullptr;
  for (const Route& route : table.routes) {
    if (!StartsWith(path, route.path_prefix) ||
        !net::EqualsIgnoringCase(route.host, host))
      continue;
    if (longest == nullptr ||
        route.path_prefix.size() > longest->path_prefix.size())
      longest = &route;
  }
  return longest;
}

const Service* FindService(const RoutingTable& table, std::string_view name) {
  for (const Service& service : table.services) {
    if (service.name == name)
      return &service;
  }
  return nullptr;
}

void IndexModels(EngineSpec* engine) {
  engine->positions.clear();
  for (std::size_t i = 0; i < engine->models.size(); ++i)
    engine->positions.emplace(engine->models[i].name, i);
}

const EngineModel* FindModel(const EngineSpec& engine, std::string_view name) {
  const auto found = engine.positions.find(name);
  if (found != engine.positions.end())
    return &engine.models[found->second];
  if (!engine.positions.empty())
    return nullptr;
  for (const EngineModel& model : engine.models) {
    if (model.name == name)
      return &model;
  }
  return nullptr;
}

std::string_view ChooseService(const Route& route, std::uint64_t hash) {
  double total = 0;
  for (const WeightedService& service : route.services)
    total += service.weight;
  if (total <= 0)
    return {};
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  double point = static_cast<double>(hash) / kRange * total;
  for (const WeightedService& service : route.services) {
    if (service.weight > 0 && point < service.weight)
      return service.service;
    point -= service.weight;
  }
  return route.services.back().service;
}

bool IsRepeatable(const Route& route) {
  return route.kind == RouteKind::kSafe ||
         (route.kind == RouteKind::kStreaming && route.resumable);
}

}  // namespace coltsfootvane::gateway
