#ifndef COLTSFOOTVANE_DAEMON_CONFIG_SYNC_H_
#define COLTSFOOTVANE_DAEMON_CONFIG_SYNC_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/config_job.h"
#include "daemon/deployment.h"
#include "daemon/news_counts.h"
#include "daemon/news_recovery.h"
#include "daemon/transfer_budget.h"
#include "fleet/fleet.h"
#include "gateway/gateway.h"
#include "gateway/health_listener.h"
#include "net/http_client.h"
#include "net/timer.h"
#include "replication/change_log.h"
#include "replication/document.h"

namespace coltsfootvane::daemon {

/// Access to the view that the configuration belongs to.
struct ConfigTarget {
  /// Whether this daemon tells the others what it reads.
  std::function<bool()> tells;
  /// Lists the configuration in the store.
  std::function<void()> list;
  /// The configuration of that place is known, and in force if it is valid.
  std::function<void(const store::Place& place)> on_known;
};

/// Takes configurations of the store and of other daemons over into the
/// gateway, and hands on what others lack. Daemons of a large fleet send each
/// other the items that have changed. The event loop is never held for longer
/// than a slice by a configuration, whatever its size.
class ConfigSync {
 public:
  ConfigSync(boost::asio::io_context* io,
             const Deployment* deployment,
             gateway::Gateway* gateway,
             fleet::Fleet* fleet,
             net::HttpClient* client,
             unsigned short peer_port,
             NewsCounts* counts,
             ConfigTarget target);

  /// Takes the text over that the store has shown.
  void OnStoreText(const store::Place& place, std::string text);
  /// Another daemon has seen a configuration of this place.
  void Want(const store::Place& place, std::uint32_t source);
  /// Answers another daemon that fetches the configuration or its changes.
  gateway::HealthAnswer Answer(std::string_view path);

  /// Up to which the configuration is known.
  const store::Place& At() const { return this->document.place; }

 private:
  /// A state that is being made ready for daemons that lack too much.
  struct Whole {
    store::Place place;
    std::string next_key;
    std::string frames;
    bool is_complete = false;
    TimePoint used_until;
  };

  void OnNews(const fleet::gen::ConfigNews& news, std::uint32_t from);
  void Relay(const fleet::gen::ConfigNews& told,
             const std::vector<std::uint32_t>& relays,
             bool has_it);
  bool IsNext(const fleet::gen::ConfigNews& told) const;
  void FetchNow(const store::Place& place, std::uint32_t from);
  void StartNext();
  bool TakeNext();
  void Resume();
  void RunSlice();
  void StepJob();
  void OnStage();
  void Announce();
  void TellOthers();
  void PassOn();
  void PutInForce();
  void OnFailure();
  void EndJob();
  void LogApplied() const;
  store::Place Heading() const;
  void UpdateDoubt();

  void Schedule();
  void OnTimer();
  void Recover();
  void FetchFrom(std::uint32_t from);
  void OnFetched(std::uint32_t from,
                 TimePoint began,
                 const Result<net::WholeResponse>& response);
  gateway::HealthAnswer AnswerChanges(const store::Place& since);
  void PrepareWhole();
  void StepWhole();
  bool IsWholeDue() const;

  boost::asio::io_context* io;
  const Deployment* deployment;
  gateway::Gateway* gateway;
  fleet::Fleet* fleet;
  net::HttpClient* client;
  unsigned short peer_port;
  NewsCounts* counts;
  ConfigTarget target;
  net::Timer timer;
  replication::Document document;
  bool table_matches = true;  ///< The table in force is that of the document.
  std::uint32_t jobs = 0;
  std::optional<ConfigJob> job;
  bool running = false;                   ///< A slice is due.
  std::optional<ConfigJob> waiting_text;  ///< The newest, for after the job.
  std::deque<std::string> waiting_frames;
  /// Up to which the changes are known and can be handed on.
  store::Place announced;
  replication::ChangeLog log;
  Whole whole;
  TransferBudget transfers;
  NewsRecovery recovery;
  bool lacks_whole = false;  ///< The last changes did not fit.
  bool scheduled = false;
  int fetches = 0;  ///< In progress.
  /// What is passed on once the configuration is known.
  fleet::gen::ConfigNews news;
  std::vector<std::uint32_t> relay_to;
  TimePoint news_at;  ///< When a newer configuration was first told of.
};

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_CONFIG_SYNC_H_
