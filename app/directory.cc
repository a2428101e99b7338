#include "directory.h"

#include <filesystem>
#include <utility>

namespace coltsfootvane {

std::optional<Bundle> ReadCheckedBundle(const std::string& directory,
                                        Findings* findings) {
  Result<Bundle> bundle = ReadBundle(directory);
  if (!bundle) {
    findings->push_back({Place{directory}, bundle.error().message});
    return std::nullopt;
  }
  ParseConfiguration(bundle.value(), findings);
  for (Finding& finding : *findings)
    finding.place.file =
        (std::filesystem::path(directory) / finding.place.file).string();
  return std::move(bundle).value();
}

}  // namespace coltsfootvane
