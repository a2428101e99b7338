#ifndef COLTSFOOTVANE_APP_DIRECTORY_H_
#define COLTSFOOTVANE_APP_DIRECTORY_H_

#include <optional>
#include <string>

#include "base/finding.h"
#include "config/bundle.h"

namespace coltsfootvane {

/// Reads and checks the configuration in `directory`. Findings name files with
/// the directory. Returns nothing if the directory could not be read, which is
/// a finding too. The bundle is valid only if there are no findings.
std::optional<Bundle> ReadCheckedBundle(const std::string& directory,
                                        Findings* findings);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_APP_DIRECTORY_H_
