#ifndef COLTSFOOTVANE_DAEMON_STORE_NEWS_H_
#define COLTSFOOTVANE_DAEMON_STORE_NEWS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/config_patch.h"
#include "daemon/news_recovery.h"
#include "fleet/fleet.h"
#include "fleet/store_batches.h"
#include "gateway/gateway.h"
#include "gateway/health_listener.h"
#include "net/http_client.h"

namespace coltsfootvane::daemon {

/// Access to the view that news are about.
struct NewsTarget {
  /// Up to which all changes of endpoints are known.
  std::function<store::Place()> endpoints_place;
  /// The batch leads from the present view to a newer one.
  std::function<void(const fleet::gen::StoreBatch&)> apply_batch;
  /// The only change of the batch is to all endpoints: others are gone.
  std::function<void(const fleet::gen::StoreBatch&)> apply_snapshot;
  std::function<fleet::gen::StoreBatch()> make_snapshot;
  std::function<void(const store::Place& place, nlohmann::json spec)>
      apply_config;
  /// Reads the changes of endpoints from the store, if it is not read anyway.
  std::function<void()> read_endpoint_changes;
  std::function<void()> list_endpoints;
  std::function<void()> list_config;
};

/// Counts of what daemons tell each other about the store.
struct NewsCounts {
  std::uint64_t pushed = 0;    ///< Batches and configurations told to all.
  std::uint64_t applied = 0;   ///< Batches and configurations from others.
  std::uint64_t gaps = 0;      ///< Times at which changes were missing.
  std::uint64_t asked = 0;     ///< Requests to others for changes.
  std::uint64_t answered = 0;  ///< Such requests of others.
  std::uint64_t fetched = 0;   ///< Snapshots and configurations from others.
};

/// Tells the other daemons of a large fleet what has changed in the store,
/// applies what they tell, and recovers what has not arrived.
class StoreNews {
 public:
  StoreNews(boost::asio::io_context* io,
            gateway::Gateway* gateway,
            fleet::Fleet* fleet,
            net::HttpClient* client,
            unsigned short peer_port,
            NewsTarget target);

  /// The view was listed for the first time, or fetched as a whole.
  void BeginLog(const store::Place& place);
  /// Records changes that this daemon has read from the store itself, and tells
  /// the others if `tells`. Urgent ones are repeated.
  void Record(const fleet::gen::StoreBatch& batch, bool tells, bool urgent);
  const store::Place& LoggedTo() const { return this->log.covered_to; }
  /// The same for a configuration.
  void RecordConfig(const store::Place& place,
                    const nlohmann::json& spec,
                    bool tells);

  /// Another daemon has seen changes of endpoints up to this place.
  void WantEndpoints(const store::Place& place, std::uint32_t source);
  /// Another daemon has seen a configuration of this place.
  void WantConfig(const store::Place& place, std::uint32_t source);

  /// Answers another daemon that fetches the configuration or all endpoints.
  gateway::HealthAnswer Answer(std::string_view path);

  NewsCounts counts;

 private:
  void OnNews(const fleet::gen::StoreNews& news, std::uint32_t from);
  void OnBatch(const fleet::gen::StoreBatch& batch, std::uint32_t from);
  void OnRequest(const store::Place& known, std::uint32_t from);
  void OnConfigNews(const fleet::gen::ConfigNews& news, std::uint32_t from);
  bool TryPatch(const fleet::gen::ConfigNews& news);
  void TakeConfig(ConfigText taken);
  void Send(const std::vector<fleet::gen::StoreBatch>& batches);
  void SendRepeats();
  void Schedule();
  void OnTimer();
  void RecoverEndpoints(TimePoint now);
  void RecoverConfig(TimePoint now);
  void FetchEndpoints(std::uint32_t from);
  void FetchConfig(std::uint32_t from);
  void LogConfigFetch(std::uint32_t from,
                      TimePoint began,
                      const std::string* body);
  void PassOnConfig();
  void Fetch(std::uint32_t from,
             const char* path,
             Milliseconds timeout,
             std::function<void(const std::string*)> done);

  boost::asio::steady_timer timer;
  gateway::Gateway* gateway;
  fleet::Fleet* fleet;
  net::HttpClient* client;
  unsigned short peer_port;
  NewsTarget target;
  fleet::BatchLog log;
  std::vector<TimePoint> repeats;  ///< When to repeat the last changes.
  NewsRecovery endpoints_recovery;
  NewsRecovery config_recovery;
  ConfigText config;
  /// What is passed on once the configuration has been fetched.
  fleet::gen::ConfigNews config_news;
  TimePoint config_news_at;  ///< When a newer configuration was last told of.
  std::vector<std::uint32_t> config_relay_to;
  TransferBudget transfers;
  bool scheduled = false;
  int config_fetches = 0;  ///< In progress.
};

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_STORE_NEWS_H_
