#ifndef COLTSFOOTVANE_BASE_FINDING_H_
#define COLTSFOOTVANE_BASE_FINDING_H_

#include <string>
#include <vector>

namespace coltsfootvane {

/// A place in an input file. Line and column count from 1; 0 means the file
/// as a whole.
struct Place {
  std::string file;
  int line = 0;
  int column = 0;
};

/// One fault in an input, with its place.
struct Finding {
  Place place;
  std::string message;
};

using Findings = std::vector<Finding>;

/// Formats as `file:line:column: message`.
std::string FormatFinding(const Finding& finding);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_BASE_FINDING_H_
