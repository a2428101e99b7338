#ifndef COLTSFOOTVANE_APP_PLATFORM_CONFIG_H_
#define COLTSFOOTVANE_APP_PLATFORM_CONFIG_H_

#include <nlohmann/json.hpp>

#include "config_check/document.h"

namespace coltsfootvane {

bool HasErrors(const config_check::Issues& issues);

nlohmann::json IssuesToJson(const config_check::Issues& issues);

/// Writes each issue as one line to standard error.
void PrintIssues(const config_check::Issues& issues);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_APP_PLATFORM_CONFIG_H_
