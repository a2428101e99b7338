#ifndef COLTSFOOTVANE_TOOLS_LOADTOOL_SCENE_H_
#define COLTSFOOTVANE_TOOLS_LOADTOOL_SCENE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"
#include "config/configuration.h"

namespace coltsfootvane::loadtool {

struct ModelWeight {
  std::string name;
  double weight = 1;
};

/// The rate of a caller from `at_s` on.
struct RateStep {
  double at_s = 0;
  double rate_per_s = 0;
};

/// Requests that arrive at the same moment.
struct Burst {
  double at_s = 0;
  int requests = 0;
};

/// One source of requests with Poisson arrivals.
struct SceneCaller {
  std::string name;
  std::string api_key;
  Priority priority = Priority::kInteractive;
  std::string path;  ///< `/v1/chat/completions` or `/v1/completions`.
  std::vector<ModelWeight> models;
  double rate_per_s = 0;
  std::vector<RateStep> steps;  ///< Sorted by time.
  std::vector<Burst> bursts;
  int max_tokens = 20;
  int prompt_groups = 0;  ///< Requests of a group share a prefix; 0 for none.
  int threads = 64;       ///< Bounds requests in progress.
};

/// A load to be offered; times are in seconds from the start.
struct Scene {
  std::uint64_t seed = 1;
  double duration_s = 30;
  double warm_up_s = 0;  ///< Requests that arrive before it are not counted.
  double drain_s = 5;    ///< Requests in progress are cut this long after.
  std::vector<SceneCaller> callers;
};

/// Parses YAML `text`. Every fault is added to `findings`.
Scene ParseScene(std::string_view file_name,
                 std::string_view text,
                 Findings* findings);

}  // namespace coltsfootvane::loadtool

#endif  // COLTSFOOTVANE_TOOLS_LOADTOOL_SCENE_H_
