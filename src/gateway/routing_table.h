#ifndef COLTSFOOTVANE_GATEWAY_ROUTING_TABLE_H_
#define COLTSFOOTVANE_GATEWAY_ROUTING_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/copy_on_write.h"
#include "gateway/route_set.h"
#include "team/team.h"

namespace coltsfootvane::gateway {

/// A model that the engines of a service can load.
struct EngineModel {
  std::string name;
  double memory_mb = 0;
  double adapter_memory_mb = 0;
  int adapters = 0;
  double store_load_s = 0;   ///< From the weight store.
  double disk_load_s = 0;    ///< From the disk of the VM.
  double memory_load_s = 0;  ///< From the memory of the VM.
};

/// Capacity and models of the engines of a service.
struct EngineSpec {
  int slots = 1;
  double memory_mb = 0;
  int adapter_slots = 0;
  double store_loads_per_s = 0;  ///< Limit on all engines together.
  std::vector<EngineModel> models;
  /// Positions in `models`, by name; see IndexModels().
  std::map<std::string, std::size_t, std::less<>> positions;
};

struct Service {
  std::string name;
  int max_connections = 0;  ///< To one endpoint, for all callers.
  std::optional<EngineSpec> engine;
};

/// Limits on the size and duration of callers' input.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  Milliseconds header_timeout{3000};
  Milliseconds idle_timeout{15000};
};

/// The routing configuration. It is never modified, only replaced by a newer
/// version, which shares with it what has not changed.
struct RoutingTable {
  std::int64_t version = 0;
  bool has_version = false;  ///< The configuration states one.
  RouteSet routes;
  std::vector<CopyOnWrite<Service>> services;
  CallerLimits limits;
  CopyOnWrite<team::TeamTable> teams;
};

struct TableVersion {
  std::int64_t number = 0;
};

/// What one setting of a configuration says; nothing if it does not concern the
/// gateway.
using TablePart = std::variant<std::monostate,
                               TableVersion,
                               CallerLimits,
                               Route,
                               Service,
                               team::Team>;

/// Adds the part, or replaces the one of the same name.
void PutPart(TablePart part, RoutingTable* table);
/// Takes back what PutPart() has done with this part.
void RemovePart(const TablePart& part, RoutingTable* table);

const Service* FindService(const RoutingTable& table, std::string_view name);
/// Records the positions of the models, so that FindModel() does not have to
/// search all of them.
void IndexModels(EngineSpec* engine);
const EngineModel* FindModel(const EngineSpec& engine, std::string_view name);

/// Chooses a service by weight. `hash` must be uniformly distributed over
/// requests. Returns an empty view if no service has a weight above 0.
std::string_view ChooseService(const Route& route, std::uint64_t hash);

/// Returns whether a request may be executed more than once.
bool IsRepeatable(const Route& route);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_ROUTING_TABLE_H_
