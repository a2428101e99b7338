#include "standins/fault_proxy/faults.h"

#include <exception>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootvane::standin {
namespace {

/// Returns whether `name` is a member of the faults; throws on a wrong type.
bool ReadMember(const std::string& name,
                const nlohmann::json& value,
                ProxyFaults* faults) {
  if (name == "delay_ms")
    faults->delay = Milliseconds{value.get<int>()};
  else if (name == "cut_after_response_bytes")
    value.get_to(faults->cut_after_bytes);
  else if (name == "drop_response")
    value.get_to(faults->dropped_responses);
  else if (name == "refuse")
    value.get_to(faults->refuse);
  else if (name == "blackhole")
    value.get_to(faults->blackhole);
  else
    return false;
  return true;
}

}  // namespace

Result<ProxyFaults> ParseProxyFaults(std::string_view json) {
  ProxyFaults faults;
  try {
    const nlohmann::json value = nlohmann::json::parse(json);
    for (const auto& [name, member] : value.items()) {
      if (!ReadMember(name, member, &faults))
        return Error{ErrorCode::kInvalid, "unknown member " + name};
    }
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInvalid, error.what()};
  }
  return faults;
}

}  // namespace coltsfootvane::standin
