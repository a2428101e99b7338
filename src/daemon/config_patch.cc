#include "daemon/config_patch.h"

#include <algorithm>
#include <charconv>

#include "base/digest.h"
#include "store/era_tracker.h"

namespace coltsfootvane::daemon {
namespace {

using nlohmann::json;

/// Half of a link of 10 Mbit/s.
constexpr double kTransferBytesPerS = 600'000;
/// What may be on its way at once. A single transfer may be longer.
constexpr double kMaxTransferBacklog = 300'000;

}  // namespace

std::string FormatConfig(const json& spec) {
  return spec.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::int64_t DigestOf(std::string_view text) {
  return static_cast<std::int64_t>(Hash64(text, 0));
}

Result<std::string> MakePatch(const std::string& from,
                              const std::string& to,
                              std::size_t max_bytes) {
  const json old_spec = json::parse(from, nullptr, false);
  const json new_spec = json::parse(to, nullptr, false);
  if (old_spec.is_discarded() || new_spec.is_discarded())
    return Error{ErrorCode::kInvalid, "configuration is no JSON"};
  std::string patch = FormatConfig(json::diff(old_spec, new_spec));
  if (patch.size() > max_bytes)
    return Error{ErrorCode::kInvalid, "patch is too long"};
  return patch;
}

Result<std::string> ApplyPatch(const std::string& text,
                               const std::string& patch,
                               std::int64_t digest) {
  const json spec = json::parse(text, nullptr, false);
  const json changes = json::parse(patch, nullptr, false);
  if (spec.is_discarded() || changes.is_discarded())
    return Error{ErrorCode::kInvalid, "configuration or patch is no JSON"};
  try {
    std::string patched = FormatConfig(spec.patch(changes));
    if (DigestOf(patched) != digest)
      return Error{ErrorCode::kInvalid, "patched configuration differs"};
    return patched;
  } catch (const json::exception& error) {
    return Error{ErrorCode::kInvalid, error.what()};
  }
}

std::string FormatTransfer(const ConfigText& config) {
  std::string head = std::to_string(config.place.revision);
  if (config.place.era != 0)
    head += " " + std::to_string(config.place.era);
  return head + "\n" + config.text;
}

Result<ConfigText> ReadTransfer(std::string_view body) {
  const Error invalid{ErrorCode::kInvalid, "no configuration"};
  const std::size_t end = body.find('\n');
  if (end == std::string_view::npos)
    return invalid;
  const char* const line_end = body.data() + end;
  ConfigText config;
  auto read = std::from_chars(body.data(), line_end, config.place.revision);
  if (read.ec == std::errc() && read.ptr != line_end && *read.ptr == ' ')
    read = std::from_chars(read.ptr + 1, line_end, config.place.era);
  if (read.ec != std::errc() || read.ptr != line_end ||
      !config.place.IsKnown() || config.place.era < 0 ||
      config.place.era > store::kMaxEra)
    return invalid;
  config.text = body.substr(end + 1);
  return config;
}

bool TryTransfer(std::size_t bytes, TimePoint now, TransferBudget* budget) {
  const std::chrono::duration<double> passed = now - budget->updated;
  budget->bytes =
      std::max(0.0, budget->bytes - passed.count() * kTransferBytesPerS);
  budget->updated = now;
  if (budget->bytes > kMaxTransferBacklog)
    return false;
  budget->bytes += static_cast<double>(bytes);
  return true;
}

}  // namespace coltsfootvane::daemon
