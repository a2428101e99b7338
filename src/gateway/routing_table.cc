#include "gateway/routing_table.h"

#include <algorithm>
#include <utility>

namespace coltsfootvane::gateway {
namespace {

void Put(std::monostate, RoutingTable*) {}
void Remove(std::monostate, RoutingTable*) {}

void Put(const TableVersion& version, RoutingTable* table) {
  table->version = version.number;
  table->has_version = true;
}
void Remove(const TableVersion&, RoutingTable* table) {
  table->version = 0;
  table->has_version = false;
}

void Put(const CallerLimits& limits, RoutingTable* table) {
  table->limits = limits;
}
void Remove(const CallerLimits&, RoutingTable* table) {
  table->limits = {};
}

void Put(Route route, RoutingTable* table) {
  PutRoute(std::move(route), &table->routes);
}
void Remove(const Route& route, RoutingTable* table) {
  RemoveRoute(route, &table->routes);
}

auto Find(std::string_view name, std::vector<CopyOnWrite<Service>>* services) {
  return std::find_if(services->begin(), services->end(),
                      [name](const CopyOnWrite<Service>& service) {
                        return service->name == name;
                      });
}

void Put(Service service, RoutingTable* table) {
  if (service.engine)
    IndexModels(&*service.engine);
  const auto found = Find(service.name, &table->services);
  if (found == table->services.end())
    table->services.emplace_back(std::move(service));
  else
    *found = std::move(service);
}
void Remove(const Service& service, RoutingTable* table) {
  const auto found = Find(service.name, &table->services);
  if (found != table->services.end())
    table->services.erase(found);
}

auto Find(std::string_view name, std::vector<team::Team>* teams) {
  return std::lower_bound(teams->begin(), teams->end(), name,
                          [](const team::Team& team, std::string_view wanted) {
                            return team.name < wanted;
                          });
}

/// Teams are in the order of their names, whatever the order of changes.
void Put(team::Team team, RoutingTable* table) {
  std::vector<team::Team>& teams = table->teams.Edit().teams;
  const auto found = Find(team.name, &teams);
  if (found == teams.end() || found->name != team.name)
    teams.insert(found, std::move(team));
  else
    *found = std::move(team);
}
void Remove(const team::Team& team, RoutingTable* table) {
  std::vector<team::Team>& teams = table->teams.Edit().teams;
  const auto found = Find(team.name, &teams);
  if (found != teams.end() && found->name == team.name)
    teams.erase(found);
}

}  // namespace

void PutPart(TablePart part, RoutingTable* table) {
  std::visit([table](auto& one) { Put(std::move(one), table); }, part);
}

void RemovePart(const TablePart& part, RoutingTable* table) {
  std::visit([table](const auto& one) { Remove(one, table); }, part);
}

const Service* FindService(const RoutingTable& table, std::string_view name) {
  for (const CopyOnWrite<Service>& service : table.services) {
    if (service->name == name)
      return &*service;
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
