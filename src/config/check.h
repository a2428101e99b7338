#ifndef COLTSFOOTVANE_CONFIG_CHECK_H_
#define COLTSFOOTVANE_CONFIG_CHECK_H_

#include "base/finding.h"
#include "config/sections.h"

namespace coltsfootvane {

/// Adds the faults between items: duplicate names, addresses and keys,
/// references to nothing, shares that sum up to more than 0.9, and models and
/// adapters that cannot fit the engines.
void CheckSections(const ParsedSections& sections, Findings* findings);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_CONFIG_CHECK_H_
