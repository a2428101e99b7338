#include "daemon/config_patch.h"

#include <algorithm>
#include <charconv>

#include "base/digest.h"

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
  return std::to_string(config.revision) + "\n" + config.text;
}

Result<ConfigText> ReadTransfer(std::string_view body) {
  const std::size_t end = body.find('\n');
  ConfigText config;
  const std::string_view number = body.substr(0, end);
  const auto read = std::from_chars(
      number.data(), number.data() + number.size(), config.revision);
  if (end == std::string_view::npos || read.ec != std::errc() ||
      config.revision <= 0)
    return Error{ErrorCode::kInvalid, "no configuration"};
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
