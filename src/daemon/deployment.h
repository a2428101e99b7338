#ifndef COLTSFOOTVANE_DAEMON_DEPLOYMENT_H_
#define COLTSFOOTVANE_DAEMON_DEPLOYMENT_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/finding.h"
#include "base/result.h"
#include "daemon/daemon_settings.h"
#include "gateway/endpoint.h"
#include "gateway/routing_table.h"
#include "gateway/wire_format.h"
#include "orders/order.h"
#include "store/object_store.h"

namespace coltsfootvane::net {
class HttpClient;
}

namespace coltsfootvane::daemon {

/// How the daemons of a deployment reach its store and engines, and read its
/// messages, objects and settings.
struct Deployment {
  store::ObjectStore store;
  orders::EngineAccess engines;
  const gateway::WireFormat* wire = nullptr;
  /// Kind and name of the object that holds the operators' configuration.
  std::string config_kind;
  std::string config_name;
  /// Kind of the objects by which endpoints announce themselves.
  std::string endpoint_kind;
  /// The member by which an element of an array of the configuration is known.
  std::string config_item_name;
  /// Reads a member of the configuration, or an element of the array that it
  /// holds. Errors: kInvalid.
  std::function<Result<gateway::TablePart>(std::string_view member,
                                           bool is_element,
                                           const nlohmann::json& json)>
      read_config_part;
  /// Errors: kInvalid if the object names no endpoint that could be used,
  /// kNotFound if it lacks what identifies a start of the endpoint.
  std::function<Result<gateway::EndpointEntry>(const std::string& id,
                                               const nlohmann::json& spec)>
      read_endpoint;
  std::string settings_path;
  /// Reads the settings file again. The result is valid only if there are no
  /// findings.
  std::function<DaemonSettings(Findings* findings)> read_settings;
};

/// Returns the access of one daemon. The client outlives it.
using DeploymentMaker = std::function<Deployment(net::HttpClient* client)>;

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_DEPLOYMENT_H_
