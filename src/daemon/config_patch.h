#ifndef COLTSFOOTVANE_DAEMON_CONFIG_PATCH_H_
#define COLTSFOOTVANE_DAEMON_CONFIG_PATCH_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/result.h"
#include "store/place.h"

namespace coltsfootvane::daemon {

/// A configuration as it stands in the store, for other daemons.
struct ConfigText {
  store::Place place{};  ///< Unknown if there is none.
  std::string text;
};

std::string FormatConfig(const nlohmann::json& spec);
std::int64_t DigestOf(std::string_view text);

/// Returns an RFC 6902 patch from one text to another. Errors: kInvalid if a
/// text is no JSON, or the patch is longer than `max_bytes`.
Result<std::string> MakePatch(const std::string& from,
                              const std::string& to,
                              std::size_t max_bytes);

/// Returns the patched text. Errors: kInvalid if it has another digest.
Result<std::string> ApplyPatch(const std::string& text,
                               const std::string& patch,
                               std::int64_t digest);

/// The form in which a daemon hands its configuration to others.
std::string FormatTransfer(const ConfigText& config);
/// Errors: kInvalid.
Result<ConfigText> ReadTransfer(std::string_view body);

/// Bounds what a daemon hands to others, so that its link stays free for
/// requests.
struct TransferBudget {
  double bytes = 0;  ///< Handed out and not yet paid off.
  TimePoint updated;
};

/// Records a transfer. Returns false if too many are in progress.
bool TryTransfer(std::size_t bytes, TimePoint now, TransferBudget* budget);

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_CONFIG_PATCH_H_
