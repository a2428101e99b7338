#include <nlohmann/json.hpp>

#include "config/bundle.h"

namespace coltsfootvane {
namespace {

ConfigurationHead HeadFromJson(const nlohmann::json& json) {
  ConfigurationHead head;
  head.version = json.at("version").get<std::int64_t>();
  head.digest = json.at("digest").get<std::string>();
  for (const nlohmann::json& part : json.at("parts"))
    head.parts.push_back({part.at("name").get<std::string>(),
                          part.at("digest").get<std::string>()});
  head.changed_by = json.at("changed_by").get<std::string>();
  head.based_on = json.at("based_on").get<std::int64_t>();
  return head;
}

}  // namespace

std::string FormatHead(const ConfigurationHead& head) {
  nlohmann::json parts = nlohmann::json::array();
  for (const PartReference& part : head.parts)
    parts.push_back({{"name", part.name}, {"digest", part.digest}});
  const nlohmann::json json = {{"version", head.version},
                               {"digest", head.digest},
                               {"parts", parts},
                               {"changed_by", head.changed_by},
                               {"based_on", head.based_on}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<ConfigurationHead> ParseHead(std::string_view json) {
  try {
    ConfigurationHead head = HeadFromJson(nlohmann::json::parse(json));
    if (head.version < 1)
      return Error{ErrorCode::kInvalid, "a head's version must be above 0"};
    return head;
  } catch (const nlohmann::json::exception& error) {
    return Error{ErrorCode::kInvalid,
                 std::string("malformed head: ") + error.what()};
  }
}

}  // namespace coltsfootvane
