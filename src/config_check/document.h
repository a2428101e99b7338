#ifndef COLTSFOOTVANE_CONFIG_CHECK_DOCUMENT_H_
#define COLTSFOOTVANE_CONFIG_CHECK_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/finding.h"
#include "gateway/routing_table.h"
#include "team/team.h"

namespace coltsfootvane::config_check {

enum class Level {
  kError,    ///< The daemons reject or ignore it, or it fails all requests.
  kWarning,  ///< It takes effect, but probably not as intended.
};

/// One finding in a configuration.
struct Issue {
  Place place;
  Level level = Level::kError;
  std::string message;
};
using Issues = std::vector<Issue>;

struct RouteEntry {
  gateway::Route route;
  Place place;  ///< Of the entry.
  Place path;
  Place timeout;
  Place attempts;
  Place resumable;
  Place services;
};

struct ServiceEntry {
  gateway::Service service;
  Place place;
  std::vector<Place> models;  ///< In the order of the engine's models.
};

struct TeamEntry {
  team::Team team;
  Place place;
  Place burst;
  std::vector<Place> keys;  ///< In the order of the team's keys.
};

/// A configuration as the daemons read it, with the places of its entries. A
/// member that is not stated has the place of its entry.
struct Document {
  std::int64_t version = 0;
  Place place;
  std::vector<RouteEntry> routes;
  std::vector<ServiceEntry> services;
  std::vector<TeamEntry> teams;
  gateway::CallerLimits limits;
  Place limits_place;
};

}  // namespace coltsfootvane::config_check

#endif  // COLTSFOOTVANE_CONFIG_CHECK_DOCUMENT_H_
