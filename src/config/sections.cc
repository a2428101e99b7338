#include "config/sections.h"

#include <algorithm>
#include <utility>

namespace coltsfootvane {
namespace {

constexpr auto kRequired = Presence::kRequired;
constexpr auto kOptional = Presence::kOptional;

// 64 TiB: above any accelerator, and sums of many stay far from overflow.
constexpr std::int64_t kMaxMemoryMb = 64LL * 1024 * 1024;
constexpr std::int64_t kMaxCopies = 1000;
constexpr std::int64_t kMaxSlots = 10000;
constexpr std::int64_t kMaxDurationMs = 24LL * 3600 * 1000;
constexpr std::int64_t kMaxQueueLength = 1000000;

constexpr Choice<Priority> kPriorities[] = {
    {"interactive", Priority::kInteractive},
    {"lookup", Priority::kLookup},
    {"overnight", Priority::kOvernight}};
constexpr Choice<EndpointKind> kEndpointKinds[] = {
    {"engine", EndpointKind::kEngine},
    {"service", EndpointKind::kService}};
constexpr Choice<SurvivalGoal> kSurvivalGoals[] = {
    {"vm", SurvivalGoal::kVm},
    {"data_centre", SurvivalGoal::kDataCentre},
    {"region", SurvivalGoal::kRegion}};
constexpr Choice<bool> kMethods[] = {{"POST", true},
                                     {"PUT", true},
                                     {"PATCH", true},
                                     {"DELETE", true},
                                     {"GET", true}};

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

/// Adds a finding if `key` is present although its item must not have it.
void ForbidKey(MapReader* map, std::string_view key, const char* reason) {
  const YAML::Node* node = map->Find(key, kOptional);
  if (node != nullptr)
    map->Report(*node, "'" + std::string(key) + "' " + reason);
}

void ReadDataCentre(MapReader* map, DataCentre* data_centre) {
  ReadName(map, "name", kRequired, &data_centre->name);
  ReadName(map, "region", kRequired, &data_centre->region);
}

void ReadModel(MapReader* map, Model* model) {
  ReadName(map, "name", kRequired, &model->name);
  ReadName(map, "version", kRequired, &model->version);
  ReadInteger(map, "memory_mb", kRequired, {1, kMaxMemoryMb},
              &model->memory_mb);
  ReadInteger(map, "min_copies", kOptional, {1, kMaxCopies},
              &model->min_copies);
}

void ReadAdapter(MapReader* map, Adapter* adapter) {
  ReadName(map, "name", kRequired, &adapter->name);
  ReadName(map, "model", kRequired, &adapter->model);
  ReadName(map, "version", kRequired, &adapter->version);
  ReadInteger(map, "memory_mb", kRequired, {1, kMaxMemoryMb},
              &adapter->memory_mb);
}

void ReadEndpoint(MapReader* map, Endpoint* endpoint) {
  ReadName(map, "id", kRequired, &endpoint->id);
  ReadName(map, "data_centre", kRequired, &endpoint->data_centre);
  ReadAddress(map, "address", kRequired, &endpoint->address);
  ReadInteger(map, "slots", kOptional, {1, kMaxSlots}, &endpoint->slots);
  const bool has_kind = ReadChoice<EndpointKind>(
      map, "kind", kRequired, kEndpointKinds, &endpoint->kind);
  if (has_kind && endpoint->kind == EndpointKind::kService) {
    ReadName(map, "service", kRequired, &endpoint->service);
    ReadBool(map, "refuses_when_leaving", kOptional,
             &endpoint->refuses_when_leaving);
    ForbidKey(map, "memory_mb", "is allowed for engines only");
    ForbidKey(map, "checks_fencing", "is allowed for engines only");
    return;
  }
  ReadInteger(map, "memory_mb", has_kind ? kRequired : kOptional,
              {1, kMaxMemoryMb}, &endpoint->memory_mb);
  ReadBool(map, "checks_fencing", kOptional, &endpoint->checks_fencing);
  for (const char* key : {"service", "refuses_when_leaving"}) {
    if (has_kind)
      ForbidKey(map, key, "is allowed for services only");
    else
      map->Find(key, kOptional);
  }
}

/// Reads an absolute path without query, fragment or spaces.
void ReadPathPrefix(MapReader* map, std::string* out) {
  std::string text;
  if (!ReadText(map, "path_prefix", kRequired, &text))
    return;
  if (text.front() != '/' || text.find_first_of("?# \t") != std::string::npos) {
    map->Report(*map->Find("path_prefix", kRequired),
                "'path_prefix' must start with '/' and have no '?', '#' or "
                "space");
    return;
  }
  *out = std::move(text);
}

void ReadIrreversible(MapReader* map,
                      const Route& route,
                      IrreversibleCall* call) {
  bool known = false;
  if (ReadChoice<bool>(map, "method", kRequired, kMethods, &known))
    call->method = map->Find("method", kRequired)->Scalar();
  ReadPathPrefix(map, &call->path_prefix);
  if (!call->path_prefix.empty() &&
      !StartsWith(call->path_prefix, route.path_prefix))
    AddFinding(map->Source().findings, map->PlaceOfKey("path_prefix"),
               "'" + call->path_prefix + "' is outside the route '" +
                   route.path_prefix + "'");
}

void ReadIrreversibleCalls(MapReader* map, Route* route) {
  ReadList(map, "irreversible", [map, route](const YAML::Node& node) {
    MapReader item(map->Source(), node);
    IrreversibleCall call;
    call.place = item.MapPlace();
    ReadIrreversible(&item, *route, &call);
    item.ReportUnknownKeys();
    route->irreversible.push_back(std::move(call));
  });
}

void ReadRoute(MapReader* map, Route* route) {
  ReadPathPrefix(map, &route->path_prefix);
  ReadChoice<Priority>(map, "priority", kOptional, kPriorities,
                       &route->priority);
  const bool has_kind = ReadChoice<EndpointKind>(map, "kind", kRequired,
                                                 kEndpointKinds, &route->kind);
  if (has_kind && route->kind == EndpointKind::kEngine) {
    ForbidKey(map, "service", "is allowed for services only");
    ForbidKey(map, "irreversible", "is allowed for services only");
    return;
  }
  ReadName(map, "service", has_kind ? kRequired : kOptional, &route->service);
  ReadIrreversibleCalls(map, route);
}

void ReadCaller(MapReader* map, Caller* caller) {
  ReadName(map, "name", kRequired, &caller->name);
  ReadName(map, "api_key", kRequired, &caller->api_key);
  ReadChoice<Priority>(map, "priority", kRequired, kPriorities,
                       &caller->priority);
}

/// Reads the list `key`; each item is a mapping read by `read`.
template <class T>
void ReadItems(MapReader* root,
               std::string_view key,
               void (*read)(MapReader*, T*),
               std::vector<T>* out) {
  ReadList(root, key, [root, read, out](const YAML::Node& node) {
    MapReader map(root->Source(), node);
    T item;
    item.place = map.MapPlace();
    read(&map, &item);
    map.ReportUnknownKeys();
    out->push_back(std::move(item));
  });
}

/// Records where something that may be declared once is declared. Returns false
/// and adds a finding if it was declared before.
bool DeclareOnce(const MapReader& map,
                 std::string_view key,
                 std::optional<Place>* place) {
  const Place here = map.PlaceOfKey(key);
  if (*place) {
    AddFinding(map.Source().findings, here,
               "'" + std::string(key) + "' is declared already at " +
                   (*place)->file + ":" + std::to_string((*place)->line));
    return false;
  }
  *place = here;
  return true;
}

void ReadClass(MapReader* map, PriorityClass* priority_class) {
  ReadNumber(map, "value", kOptional, {0.001, 1e6}, &priority_class->value);
  ReadNumber(map, "minimum_share", kOptional, {0, 1},
             &priority_class->minimum_share);
  ReadInteger(map, "first_token_ms", kOptional, {1, kMaxDurationMs},
              &priority_class->first_token_ms);
  ReadInteger(map, "token_gap_ms", kOptional, {1, kMaxDurationMs},
              &priority_class->token_gap_ms);
  ReadInteger(map, "completion_ms", kOptional, {1, kMaxDurationMs},
              &priority_class->completion_ms);
  ReadInteger(map, "queue_length", kOptional, {1, kMaxQueueLength},
              &priority_class->queue_length);
}

void ReadClasses(MapReader* root, ParsedSections* sections) {
  const YAML::Node* node = root->Find("classes", kOptional);
  if (node == nullptr)
    return;
  MapReader classes(root->Source(), *node);
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    const std::string_view name = PriorityName(static_cast<Priority>(i));
    const YAML::Node* entry = classes.Find(name, kOptional);
    if (entry == nullptr ||
        !DeclareOnce(classes, name, &sections->class_places.at(i)))
      continue;
    MapReader map(root->Source(), *entry);
    ReadClass(&map, &sections->configuration.classes.at(i));
    map.ReportUnknownKeys();
  }
  classes.ReportUnknownKeys();
}

void ReadWeightStore(MapReader* root, ParsedSections* sections) {
  const YAML::Node* node = root->Find("weight_store", kOptional);
  if (node == nullptr ||
      !DeclareOnce(*root, "weight_store", &sections->weight_store_place))
    return;
  MapReader map(root->Source(), *node);
  WeightStore& store = sections->configuration.weight_store;
  ReadNumber(&map, "loads_per_s", kOptional, {0.001, 10000},
             &store.loads_per_s);
  ReadInteger(&map, "loads_at_once", kOptional, {1, 10000},
              &store.loads_at_once);
  ReadInteger(&map, "adapter_load_ms", kOptional, {1, kMaxDurationMs},
              &store.adapter_load_ms);
  ReadInteger(&map, "adapter_loads_in_flight", kOptional, {1, 100000},
              &store.adapter_loads_in_flight);
  map.ReportUnknownKeys();
}

void ReadSurvivalGoal(MapReader* root, ParsedSections* sections) {
  if (root->Find("survival_goal", kOptional) == nullptr ||
      !DeclareOnce(*root, "survival_goal", &sections->survival_goal_place))
    return;
  ReadChoice<SurvivalGoal>(root, "survival_goal", kOptional, kSurvivalGoals,
                           &sections->configuration.survival_goal);
}

}  // namespace

void ReadPartSections(const YamlSource& source,
                      const YAML::Node& document,
                      ParsedSections* sections) {
  MapReader root(source, document);
  Configuration& configuration = sections->configuration;
  ReadItems(&root, "data_centres", ReadDataCentre, &configuration.data_centres);
  ReadItems(&root, "models", ReadModel, &configuration.models);
  ReadItems(&root, "adapters", ReadAdapter, &configuration.adapters);
  ReadItems(&root, "endpoints", ReadEndpoint, &configuration.endpoints);
  ReadItems(&root, "routes", ReadRoute, &configuration.routes);
  ReadItems(&root, "callers", ReadCaller, &configuration.callers);
  ReadClasses(&root, sections);
  ReadWeightStore(&root, sections);
  ReadSurvivalGoal(&root, sections);
  root.ReportUnknownKeys();
}

}  // namespace coltsfootvane
