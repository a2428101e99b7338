#ifndef COLTSFOOTVANE_CONFIG_CHECK_DIFF_H_
#define COLTSFOOTVANE_CONFIG_CHECK_DIFF_H_

#include <string>
#include <vector>

#include "config_check/document.h"

namespace coltsfootvane::config_check {

/// Returns one line per added (`+`), removed (`-`) or changed (`~`) entry with
/// its effect on callers. API keys are shown as digests.
std::vector<std::string> DiffDocuments(const Document& from,
                                       const Document& to);

}  // namespace coltsfootvane::config_check

#endif  // COLTSFOOTVANE_CONFIG_CHECK_DIFF_H_
