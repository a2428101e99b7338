#include "standins/fault_proxy/faults.h"

#include <algorithm>
#include <exception>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootvane::standin {
namespace {

HoldRule ReadHold(const nlohmann::json& value) {
  HoldRule rule;
  value.at("match").get_to(rule.match);
  rule.cut = value.value("cut", rule.cut);
  rule.count = value.value("count", rule.count);
  return rule;
}

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
  else if (name == "hold")
    std::transform(value.begin(), value.end(),
                   std::back_inserter(faults->holds), ReadHold);
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
