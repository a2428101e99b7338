#include "platform_config.h"

#include <algorithm>
#include <iostream>

#include "config_check/check.h"

namespace coltsfootvane {

bool HasErrors(const config_check::Issues& issues) {
  return std::any_of(issues.begin(), issues.end(), [](const auto& issue) {
    return issue.level == config_check::Level::kError;
  });
}

nlohmann::json IssuesToJson(const config_check::Issues& issues) {
  nlohmann::json list = nlohmann::json::array();
  for (const config_check::Issue& issue : issues)
    list.push_back({{"file", issue.place.file},
                    {"line", issue.place.line},
                    {"column", issue.place.column},
                    {"severity", config_check::LevelName(issue.level)},
                    {"message", issue.message}});
  return list;
}

void PrintIssues(const config_check::Issues& issues) {
  for (const config_check::Issue& issue : issues)
    std::cerr << config_check::FormatIssue(issue) << '\n';
}

}  // namespace coltsfootvane
