#ifndef COLTSFOOTVANE_CONFIG_CHECK_CHECK_H_
#define COLTSFOOTVANE_CONFIG_CHECK_CHECK_H_

#include <string>
#include <string_view>

#include "config_check/document.h"

namespace coltsfootvane::config_check {

/// Adds entries that can never match, references to nothing and limits that
/// contradict each other.
void CheckDocument(const Document& document, Issues* issues);

/// Sorts by place.
void SortIssues(Issues* issues);

const char* LevelName(Level level);

/// Formats as `file:line:column: level: message`.
std::string FormatIssue(const Issue& issue);

/// Returns a digest to tell API keys apart without showing them.
std::string KeyDigest(std::string_view key);

}  // namespace coltsfootvane::config_check

#endif  // COLTSFOOTVANE_CONFIG_CHECK_CHECK_H_
