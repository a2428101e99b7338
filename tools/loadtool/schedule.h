#ifndef COLTSFOOTVANE_TOOLS_LOADTOOL_SCHEDULE_H_
#define COLTSFOOTVANE_TOOLS_LOADTOOL_SCHEDULE_H_

#include <string>
#include <vector>

#include "tools/loadtool/scene.h"

namespace coltsfootvane::loadtool {

/// One request to be sent.
struct Arrival {
  double at_s = 0;  ///< Intended start.
  std::string model;
  std::string prompt;
};

/// Returns the requests of `caller` in order of time. Equal seeds give equal
/// schedules.
std::vector<Arrival> MakeSchedule(const Scene& scene,
                                  const SceneCaller& caller);

}  // namespace coltsfootvane::loadtool

#endif  // COLTSFOOTVANE_TOOLS_LOADTOOL_SCHEDULE_H_
