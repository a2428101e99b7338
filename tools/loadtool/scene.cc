#include "tools/loadtool/scene.h"

#include <algorithm>
#include <array>
#include <limits>

#include "config/yaml_reader.h"

namespace coltsfootvane::loadtool {
namespace {

constexpr Range<double> kSeconds{0, 3600};
constexpr Range<double> kRate{0, 100000};
constexpr Range<double> kWeight{0, 1e6};
constexpr Range<std::int64_t> kCounts{0, 100000};
constexpr Range<std::int64_t> kThreads{1, 1000};
constexpr Range<std::int64_t> kSeeds{0,
                                     std::numeric_limits<std::int64_t>::max()};
constexpr std::array<Choice<Priority>, kPriorityCount> kPriorities = {
    {{"interactive", Priority::kInteractive},
     {"lookup", Priority::kLookup},
     {"overnight", Priority::kOvernight}}};

ModelWeight ReadModel(const YamlSource& source, const YAML::Node& node) {
  MapReader map(source, node);
  ModelWeight model;
  ReadName(&map, "name", Presence::kRequired, &model.name);
  ReadNumber(&map, "weight", Presence::kOptional, kWeight, &model.weight);
  map.ReportUnknownKeys();
  return model;
}

RateStep ReadStep(const YamlSource& source, const YAML::Node& node) {
  MapReader map(source, node);
  RateStep step;
  ReadNumber(&map, "at_s", Presence::kRequired, kSeconds, &step.at_s);
  ReadNumber(&map, "rate_per_s", Presence::kRequired, kRate, &step.rate_per_s);
  map.ReportUnknownKeys();
  return step;
}

Burst ReadBurst(const YamlSource& source, const YAML::Node& node) {
  MapReader map(source, node);
  Burst burst;
  ReadNumber(&map, "at_s", Presence::kRequired, kSeconds, &burst.at_s);
  ReadInteger(&map, "requests", Presence::kRequired, kCounts, &burst.requests);
  map.ReportUnknownKeys();
  return burst;
}

void ReadLoad(const YamlSource& source, MapReader* map, SceneCaller* caller) {
  ReadNumber(map, "rate_per_s", Presence::kRequired, kRate,
             &caller->rate_per_s);
  ReadList(map, "steps", [&](const YAML::Node& item) {
    caller->steps.push_back(ReadStep(source, item));
  });
  ReadList(map, "bursts", [&](const YAML::Node& item) {
    caller->bursts.push_back(ReadBurst(source, item));
  });
  std::sort(
      caller->steps.begin(), caller->steps.end(),
      [](const RateStep& a, const RateStep& b) { return a.at_s < b.at_s; });
}

SceneCaller ReadCaller(const YamlSource& source, const YAML::Node& node) {
  MapReader map(source, node);
  SceneCaller caller;
  ReadName(&map, "name", Presence::kRequired, &caller.name);
  ReadText(&map, "api_key", Presence::kRequired, &caller.api_key);
  ReadChoice<Priority>(&map, "priority", Presence::kRequired, kPriorities,
                       &caller.priority);
  ReadText(&map, "path", Presence::kRequired, &caller.path);
  ReadList(&map, "models", [&](const YAML::Node& item) {
    caller.models.push_back(ReadModel(source, item));
  });
  ReadLoad(source, &map, &caller);
  ReadInteger(&map, "max_tokens", Presence::kOptional, kCounts,
              &caller.max_tokens);
  ReadInteger(&map, "prompt_groups", Presence::kOptional, kCounts,
              &caller.prompt_groups);
  ReadInteger(&map, "threads", Presence::kOptional, kThreads, &caller.threads);
  map.ReportUnknownKeys();
  if (caller.models.empty())
    map.Report(node, "`models` is empty");
  return caller;
}

}  // namespace

Scene ParseScene(std::string_view file_name,
                 std::string_view text,
                 Findings* findings) {
  const YamlSource source{std::string(file_name), findings};
  Scene scene;
  const std::optional<YAML::Node> node = LoadYaml(source, text);
  if (!node)
    return scene;
  MapReader map(source, *node);
  ReadInteger(&map, "seed", Presence::kOptional, kSeeds, &scene.seed);
  ReadNumber(&map, "duration_s", Presence::kRequired, kSeconds,
             &scene.duration_s);
  ReadNumber(&map, "warm_up_s", Presence::kOptional, kSeconds,
             &scene.warm_up_s);
  ReadNumber(&map, "drain_s", Presence::kOptional, kSeconds, &scene.drain_s);
  ReadList(&map, "callers", [&](const YAML::Node& item) {
    scene.callers.push_back(ReadCaller(source, item));
  });
  map.ReportUnknownKeys();
  return scene;
}

}  // namespace coltsfootvane::loadtool
