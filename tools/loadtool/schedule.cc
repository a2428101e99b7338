#include "tools/loadtool/schedule.h"

#include <algorithm>
#include <limits>
#include <random>

#include "base/digest.h"

namespace coltsfootvane::loadtool {
namespace {

using Random = std::mt19937_64;

/// Longer than the part of a prompt that decides its prefix digest.
constexpr std::size_t kSharedPrefixBytes = 300;

/// The rate at `at_s` and when it ends.
struct Segment {
  double rate_per_s = 0;
  double end_s = std::numeric_limits<double>::infinity();
};

Segment SegmentAt(const SceneCaller& caller, double at_s) {
  Segment segment{caller.rate_per_s};
  for (const RateStep& step : caller.steps) {
    if (step.at_s > at_s) {
      segment.end_s = step.at_s;
      return segment;
    }
    segment.rate_per_s = step.rate_per_s;
  }
  return segment;
}

std::vector<double> PoissonTimes(const Scene& scene,
                                 const SceneCaller& caller,
                                 Random& random) {
  std::vector<double> times;
  double at_s = 0;
  while (at_s < scene.duration_s) {
    const Segment segment = SegmentAt(caller, at_s);
    double next_s = segment.end_s;
    if (segment.rate_per_s > 0) {
      std::exponential_distribution<double> wait(segment.rate_per_s);
      next_s = at_s + wait(random);
    }
    // The process has no memory, so it starts anew where the rate changes.
    at_s = std::min(next_s, segment.end_s);
    if (at_s == next_s && next_s != segment.end_s && at_s < scene.duration_s)
      times.push_back(at_s);
  }
  return times;
}

std::string MakePrompt(const SceneCaller& caller, Random& random) {
  const std::string question = " question " + std::to_string(random());
  if (caller.prompt_groups == 0)
    return caller.name + question;
  std::uniform_int_distribution<int> any(0, caller.prompt_groups - 1);
  std::string prefix = caller.name + " group " + std::to_string(any(random));
  prefix.resize(kSharedPrefixBytes, '.');
  return prefix + question;
}

}  // namespace

std::vector<Arrival> MakeSchedule(const Scene& scene,
                                  const SceneCaller& caller) {
  Random random(Hash64(caller.name, scene.seed));
  std::vector<double> times = PoissonTimes(scene, caller, random);
  for (const Burst& burst : caller.bursts)
    times.insert(times.end(), static_cast<std::size_t>(burst.requests),
                 burst.at_s);
  std::sort(times.begin(), times.end());
  std::vector<double> weights;
  for (const ModelWeight& model : caller.models)
    weights.push_back(model.weight);
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  std::vector<Arrival> arrivals;
  arrivals.reserve(times.size());
  for (const double at_s : times)
    arrivals.push_back(
        {at_s, caller.models[pick(random)].name, MakePrompt(caller, random)});
  return arrivals;
}

}  // namespace coltsfootvane::loadtool
