#include "standins/platform_standin/faults.h"

#include <exception>
#include <nlohmann/json.hpp>

namespace coltsfootvane::standin {
namespace {

/// Returns whether `name` is a member of the faults; throws on a wrong type.
bool ReadMember(const std::string& name,
                const nlohmann::json& value,
                Faults* faults) {
  if (name == "outage")
    value.get_to(faults->outage);
  else if (name == "delay_ms")
    faults->delay = Milliseconds{value.get<int>()};
  else if (name == "lose_response_after_write")
    value.get_to(faults->lost_responses);
  else if (name == "delay_write_effect_ms")
    faults->effect_delay = Milliseconds{value.get<int>()};
  else if (name == "count")
    value.get_to(faults->delayed_effects);
  else if (name == "stale_reads")
    value.get_to(faults->stale_reads);
  else if (name == "match_kind")
    value.get_to(faults->match_kind);
  else
    return false;
  return true;
}

}  // namespace

Result<Faults> ParseFaults(std::string_view json) {
  Faults faults;
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

bool HasFaults(const Faults& faults, std::string_view kind) {
  return faults.match_kind.empty() || faults.match_kind == kind;
}

WriteFault TakeWriteFault(Faults* faults, std::string_view kind) {
  if (!HasFaults(*faults, kind))
    return WriteFault::kNone;
  if (faults->lost_responses > 0) {
    --faults->lost_responses;
    return WriteFault::kLoseResponse;
  }
  if (faults->delayed_effects > 0) {
    --faults->delayed_effects;
    return WriteFault::kDelayEffect;
  }
  return WriteFault::kNone;
}

}  // namespace coltsfootvane::standin
