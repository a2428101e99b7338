#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <thread>

#include "config/bundle.h"
#include "tools/loadtool/sender.h"

namespace {

using coltsfootvane::Bundle;
using coltsfootvane::Clock;
using coltsfootvane::Configuration;
using coltsfootvane::Finding;
using coltsfootvane::Findings;
using coltsfootvane::Milliseconds;
namespace http = coltsfootvane::http;
namespace loadtool = coltsfootvane::loadtool;

/// Time to start the threads before the first request.
constexpr Milliseconds kStartTime{500};

struct Options {
  std::string scene_file;
  std::string configuration;
  std::vector<std::string> entries;
  std::optional<std::uint64_t> seed;
};

void AddOptions(CLI::App* app, Options* options) {
  app->add_option("scene", options->scene_file, "scene file (YAML)")
      ->required()
      ->check(CLI::ExistingFile);
  app->add_option("--config", options->configuration,
                  "configuration directory; has the targets of the classes")
      ->required()
      ->check(CLI::ExistingDirectory);
  app->add_option("--entry", options->entries,
                  "host:port of an entry; repeated")
      ->required();
  app->add_option("--seed", options->seed, "instead of the scene's");
}

std::string ReadText(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

Configuration ReadTargets(const std::string& directory, Findings* findings) {
  const coltsfootvane::Result<Bundle> bundle =
      coltsfootvane::ReadBundle(directory);
  if (!bundle) {
    findings->push_back({{directory}, bundle.error().message});
    return {};
  }
  return coltsfootvane::ParseConfiguration(bundle.value(), findings);
}

std::chrono::nanoseconds ToDuration(double seconds) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(seconds));
}

nlohmann::json Run(const loadtool::Scene& scene,
                   const Configuration& configuration,
                   const Options& options) {
  loadtool::Target target;
  for (const std::string& entry : options.entries)
    target.entries.push_back(http::ParseAddress(entry));
  target.start = Clock::now() + kStartTime;
  target.end = target.start + ToDuration(scene.duration_s + scene.drain_s);
  loadtool::Results results(configuration);
  std::vector<std::thread> threads;
  threads.reserve(scene.callers.size());
  for (const loadtool::SceneCaller& caller : scene.callers)
    threads.emplace_back(
        [&] { loadtool::RunCaller(scene, caller, &target, &results); });
  for (std::thread& thread : threads)
    thread.join();
  nlohmann::json json = results.ToJson(scene.duration_s - scene.warm_up_s);
  json["seed"] = scene.seed;
  return json;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Offers an open-loop load to entries and prints the results");
  Options options;
  AddOptions(&app, &options);
  CLI11_PARSE(app, argc, argv);
  Findings findings;
  loadtool::Scene scene = loadtool::ParseScene(
      options.scene_file, ReadText(options.scene_file), &findings);
  const Configuration configuration =
      ReadTargets(options.configuration, &findings);
  if (!findings.empty()) {
    for (const Finding& finding : findings)
      std::cerr << coltsfootvane::FormatFinding(finding) << '\n';
    return 1;
  }
  if (options.seed)
    scene.seed = *options.seed;
  std::cout << Run(scene, configuration, options).dump(2) << '\n';
  return 0;
}
