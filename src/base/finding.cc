#include "base/finding.h"

namespace coltsfootvane {

std::string FormatFinding(const Finding& finding) {
  return finding.place.file + ":" + std::to_string(finding.place.line) + ":" +
         std::to_string(finding.place.column) + ": " + finding.message;
}

}  // namespace coltsfootvane
