#ifndef COLTSFOOTVANE_DAEMON_STORE_NEWS_H_
#define COLTSFOOTVANE_DAEMON_STORE_NEWS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/news_counts.h"
#include "daemon/news_recovery.h"
#include "daemon/transfer_budget.h"
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
  /// Reads the changes of endpoints from the store, if it is not read anyway.
  std::function<void()> read_endpoint_changes;
  std::function<void()> list_endpoints;
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
            NewsCounts* counts,
            NewsTarget target);

  /// The view was listed for the first time, or fetched as a whole.
  void BeginLog(const store::Place& place);
  /// Records changes that this daemon has read from the store itself, and tells
  /// the others if `tells`. Urgent ones are repeated.
  void Record(const fleet::gen::StoreBatch& batch, bool tells, bool urgent);
  const store::Place& LoggedTo() const { return this->log.covered_to; }

  /// Another daemon has seen changes of endpoints up to this place.
  void WantEndpoints(const store::Place& place, std::uint32_t source);

  /// Answers another daemon that fetches all endpoints.
  gateway::HealthAnswer Answer(std::string_view path);

 private:
  void OnNews(const fleet::gen::StoreNews& news, std::uint32_t from);
  void OnBatch(const fleet::gen::StoreBatch& batch, std::uint32_t from);
  void OnRequest(const store::Place& known, std::uint32_t from);
  void Send(const std::vector<fleet::gen::StoreBatch>& batches);
  void SendRepeats();
  void Schedule();
  void OnTimer();
  void RecoverEndpoints(TimePoint now);
  void FetchEndpoints(std::uint32_t from);

  boost::asio::steady_timer timer;
  gateway::Gateway* gateway;
  fleet::Fleet* fleet;
  net::HttpClient* client;
  unsigned short peer_port;
  NewsCounts* counts;
  NewsTarget target;
  fleet::BatchLog log;
  std::vector<TimePoint> repeats;  ///< When to repeat the last changes.
  NewsRecovery endpoints_recovery;
  TransferBudget transfers;
  bool scheduled = false;
};

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_STORE_NEWS_H_
