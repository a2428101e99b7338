#ifndef COLTSFOOTVANE_STANDINS_ENGINE_STANDIN_GENERATOR_H_
#define COLTSFOOTVANE_STANDINS_ENGINE_STANDIN_GENERATOR_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "base/clock.h"
#include "http/server.h"
#include "standins/engine_standin/item_store.h"
#include "standins/engine_standin/options.h"

namespace coltsfootvane::standins {

/// Serves completions in a bounded number of slots; requests wait for a slot in
/// order of the body's `priority` (lowest first), then of arrival.
class Generator {
 public:
  Generator(const EngineOptions& options, ItemStore* items);

  void Serve(const http::Request& request, http::ReplyStream& reply);

  /// Takes the members `leaving`, `fail_requests`, `cut_streams_after` (events)
  /// and `cut_streams` (number of streams, 1 by default).
  void SetFaults(const nlohmann::json& faults);

  bool Leaving() const;
  int Running() const;
  int Waiting() const;
  void AddStats(nlohmann::json* stats) const;

 private:
  struct Job {
    std::string path;
    std::string request_id;
    std::string model;
    std::string text_key;
    std::int64_t first = 1;  ///< First event to send.
    std::int64_t last = 0;
    std::int64_t cut_after = 0;  ///< Events sent before a cut; 0 for none.
    bool stream = false;
    int priority = 0;
  };

  bool TakeFailure();
  void TakeCut(Job* job);
  void Start(const std::string& request_id);
  bool WaitForSlot(const Job& job, const http::ReplyStream& reply);
  void LeaveSlot();
  void Generate(const Job& job, http::ReplyStream& reply);
  bool SleepUntil(TimePoint time, const http::ReplyStream& reply);
  Milliseconds TokenTime() const;
  std::vector<http::Header> ReplyHeaders(const std::string& request_id,
                                         const char* content_type) const;
  void Refuse(int status,
              const std::string& request_id,
              const char* message,
              http::ReplyStream& reply) const;

  EngineOptions options;
  ItemStore* items;
  mutable std::mutex mutex;
  std::condition_variable freed;
  std::set<std::pair<int, std::int64_t>> queue;
  std::int64_t arrivals = 0;
  int running = 0;
  int fail_requests = 0;
  int cut_streams = 0;
  std::int64_t cut_streams_after = 0;
  bool leaving = false;
  TimePoint leaving_since;
  std::int64_t last_start_after_leaving_ms = -1;
  std::map<std::string, int> started;
  int cancelled = 0;
  std::int64_t tokens_sent = 0;
};

}  // namespace coltsfootvane::standins

#endif  // COLTSFOOTVANE_STANDINS_ENGINE_STANDIN_GENERATOR_H_
