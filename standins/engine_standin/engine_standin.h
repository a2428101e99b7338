#ifndef COLTSFOOTVANE_STANDINS_ENGINE_STANDIN_ENGINE_STANDIN_H_
#define COLTSFOOTVANE_STANDINS_ENGINE_STANDIN_ENGINE_STANDIN_H_

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "http/server.h"
#include "standins/engine_standin/generator.h"
#include "standins/engine_standin/item_store.h"
#include "standins/engine_standin/options.h"

namespace coltsfootvane::standins {

/// A model engine without a model: commands, completions, load report, and
/// faults that tests inject.
class EngineStandin {
 public:
  explicit EngineStandin(const EngineOptions& options);
  ~EngineStandin();

  EngineStandin(const EngineStandin&) = delete;
  EngineStandin& operator=(const EngineStandin&) = delete;

  void Handle(const http::Request& request, http::ReplyStream& reply);

 private:
  void HandleCommand(const ItemCommand& command, http::ReplyStream& reply);
  void HandleIndex(const http::Request& request, http::ReplyStream& reply);
  void HandleFaults(const http::Request& request, http::ReplyStream& reply);
  void HandleStats(http::ReplyStream& reply);
  void HandleMetrics(http::ReplyStream& reply);
  void RunLater(const ItemCommand& command, Milliseconds delay);
  void SampleLoad();

  EngineOptions options;
  ItemStore items;
  Generator generator;
  std::mutex mutex;
  std::condition_variable stopped;
  bool stopping = false;
  int delay_command_ms = 0;
  int lose_command_response = 0;
  int lose_command = 0;       ///< Commands left that are cut and never run.
  int double_command_ms = 0;  ///< Runs each command again after this time.
  std::string load_report;
  std::vector<std::thread> delayed;
  std::thread sampler;
};

}  // namespace coltsfootvane::standins

#endif  // COLTSFOOTVANE_STANDINS_ENGINE_STANDIN_ENGINE_STANDIN_H_
