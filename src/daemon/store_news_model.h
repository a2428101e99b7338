#ifndef COLTSFOOTVANE_DAEMON_STORE_NEWS_MODEL_H_
#define COLTSFOOTVANE_DAEMON_STORE_NEWS_MODEL_H_

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "daemon/store_news_model_types.h"
#include "fleet/spread_tree.h"

namespace coltsfootvane::daemon {

using fleet::gen::StoreBatch;

/// All daemons, the network and the store, in one queue of events.
struct Model {
  explicit Model(const Scenario& the_scenario)
      : scenario(the_scenario), limit(the_scenario.limit_ms) {
    const double bytes = kReportBytes * scenario.daemons;
    this->report_interval =
        std::max(Milliseconds(250), Milliseconds(static_cast<int>(bytes / 20)));
    for (int i = 0; i < scenario.daemons; ++i) {
      this->daemons.push_back(std::make_unique<ModelDaemon>());
      this->daemons.back()->address = static_cast<std::uint32_t>(i + 1);
      this->daemons.back()->refused = i < scenario.daemons * scenario.refused;
    }
    for (auto& one : this->daemons) {
      ModelDaemon* const daemon = one.get();
      for (const auto& other : this->daemons) {
        if (other.get() != daemon)
          this->Hear(daemon, *other, {});
      }
      daemon->log.covered_to = store::Place(1);
      daemon->check.latest_share = ViewCheck::kLargeFleetShare;
      RecordConfirmation(kStart, this->limit, &this->random, &daemon->check);
      this->After(this->Random(kTick), [=] { this->Tick(daemon); });
      this->After(this->Random(Milliseconds(40)),
                  [=] { this->Recover(daemon); });
      this->After(this->Random(this->report_interval),
                  [=] { this->Report(daemon); });
    }
  }

  Milliseconds Random(Milliseconds most) {
    return Milliseconds(static_cast<std::int64_t>(
        this->random() % static_cast<std::uint64_t>(most.count())));
  }
  void After(Milliseconds delay, std::function<void()> run) {
    this->events.push({this->now + delay, ++this->number, std::move(run)});
  }
  /// Runs something in a daemon: not if it is lost, later if it is frozen.
  void In(ModelDaemon* daemon, Milliseconds delay, std::function<void()> run) {
    this->After(delay, [daemon, run = std::move(run)] {
      if (!daemon->live)
        return;
      if (daemon->frozen)
        daemon->held.push_back(run);
      else
        run();
    });
  }
  void Send(ModelDaemon* to, std::function<void()> run) {
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(this->random) >= kLoss)
      this->In(to, kHop, std::move(run));
  }
  ModelDaemon* At(std::uint32_t address) {
    return this->daemons[address - 1].get();
  }

  // Reports.
  void Hear(ModelDaemon* to,
            const ModelDaemon& from,
            const fleet::gen::Report& report) {
    fleet::gen::Report heard = report;
    heard.incarnation = 1;
    heard.sequence = std::max<std::int64_t>(report.sequence, 1);
    heard.store_reachable = from.reachable;
    ApplyReport(&to->table, from.address, heard, this->now,
                this->report_interval);
  }
  fleet::gen::Report MakeReport(ModelDaemon* daemon) {
    fleet::gen::Report report;
    report.sequence = ++daemon->sequence + 1;
    report.endpoints_revision = daemon->departed;
    report.max_departure_revision = daemon->max_departure;
    report.confirmed_age_ms =
        static_cast<std::int32_t>(std::chrono::duration_cast<Milliseconds>(
                                      this->now - daemon->check.confirmed_at)
                                      .count());
    return report;
  }
  void SendReport(ModelDaemon* from, std::size_t most) {
    std::vector<std::uint32_t> to;
    for (const auto& [address, member] : from->table.members)
      to.push_back(address);
    std::shuffle(to.begin(), to.end(), this->random);
    to.resize(std::min(to.size(), most));
    const fleet::gen::Report report = this->MakeReport(from);
    for (const std::uint32_t address : to) {
      ModelDaemon* const receiver = this->At(address);
      this->Send(receiver, [=] { this->OnReport(receiver, from, report); });
    }
  }
  void Report(ModelDaemon* daemon) {
    this->SendReport(daemon, daemon->table.members.size());
    this->In(daemon, this->report_interval, [=] { this->Report(daemon); });
  }
  void OnReport(ModelDaemon* daemon,
                ModelDaemon* from,
                const fleet::gen::Report& report) {
    this->Hear(daemon, *from, report);
    if (report.endpoints_revision > daemon->revision)
      Want(store::Place(report.endpoints_revision), from->address,
           RecoveryKind::kChanges, this->now,
           Milliseconds(60) + this->Random(Milliseconds(80)),
           &daemon->recovery);
    if (daemon->revision < report.max_departure_revision)
      return;
    const TimePoint at = this->now - Milliseconds(report.confirmed_age_ms);
    if (at <= daemon->check.confirmed_at)
      return;
    daemon->max_departure =
        std::max(daemon->max_departure, report.max_departure_revision);
    RecordConfirmation(at, this->limit, &this->random, &daemon->check);
  }

  // News.
  void Spread(ModelDaemon* from,
              const std::vector<StoreBatch>& batches,
              const std::vector<std::uint32_t>& to) {
    const auto heard_at = [=](std::uint32_t address) {
      const auto found = from->table.members.find(address);
      return found == from->table.members.end() ? TimePoint()
                                                : found->second.last_heard_at;
    };
    for (const auto& group :
         fleet::SplitForSpread(to, fleet::FanOut(to.size()), heard_at)) {
      ModelDaemon* const relay = this->At(group.relay);
      this->Send(relay, [=, others = group.others] {
        this->Spread(relay, batches, others);
        this->OnNews(relay, from, batches);
      });
    }
  }
  void Push(ModelDaemon* from) {
    std::vector<std::uint32_t> to;
    for (const auto& [address, member] : from->table.members) {
      if (IsLive(member, this->now))
        to.push_back(address);
    }
    std::shuffle(to.begin(), to.end(), this->random);
    this->Spread(from, fleet::LastBatches(from->log, 900), to);
  }
  void OnNews(ModelDaemon* daemon,
              ModelDaemon* from,
              const std::vector<StoreBatch>& batches) {
    for (StoreBatch batch : batches) {
      const fleet::BatchFit fit =
          fleet::Fit(batch, store::Place(daemon->revision));
      if (fit == fleet::BatchFit::kGap)
        Want(store::Place(batch.to_revision), from->address,
             RecoveryKind::kChanges, this->now, this->Random(Milliseconds(30)),
             &daemon->recovery);
      if (fit != fleet::BatchFit::kApplies)
        continue;
      for (const auto& change : batch.changes) {
        if (change.deleted)
          this->Depart(daemon, batch.to_revision);
      }
      daemon->revision = batch.to_revision;
      batch.from_revision =
          std::min(batch.from_revision, daemon->log.covered_to.revision);
      fleet::Append(batch, &daemon->log);
    }
  }
  static void Depart(ModelDaemon* daemon, std::int64_t revision) {
    daemon->departed = std::max(daemon->departed, revision);
    daemon->max_departure = std::max(daemon->max_departure, revision);
  }
  void Recover(ModelDaemon* daemon) {
    const RecoveryStep step =
        NextStep(store::Place(daemon->revision), this->now, &this->random,
                 &daemon->recovery);
    if (step == RecoveryStep::kAsk || step == RecoveryStep::kFetch) {
      auto member = daemon->table.members.begin();
      std::advance(member, static_cast<std::ptrdiff_t>(
                               this->random() % daemon->table.members.size()));
      ModelDaemon* const source =
          this->At(daemon->recovery.source != 0
                       ? std::exchange(daemon->recovery.source, 0)
                       : member->first);
      const std::int64_t known = daemon->revision;
      this->Send(source, [=] {
        const auto since =
            fleet::BatchesSince(source->log, store::Place(known));
        if (since)
          this->Send(daemon,
                     [=] { this->OnNews(daemon, source, since.value()); });
      });
    } else if (step == RecoveryStep::kList) {
      this->Call(daemon, "gap", true);
    }
    this->In(daemon, Milliseconds(40), [=] { this->Recover(daemon); });
  }

  // The store.
  void Call(ModelDaemon* daemon, const char* cause, bool at_once) {
    if (daemon->calling)
      return;
    daemon->calling = true;
    this->calls[cause] += 1;
    const Milliseconds wait =
        at_once ? Milliseconds(1) : Milliseconds(this->limit / 10);
    const TimePoint start = this->now;
    if (daemon->refused || daemon->cut) {
      this->In(daemon, daemon->refused ? kHop : Milliseconds(1500), [=] {
        daemon->calling = daemon->reachable = false;
        const bool reads = daemon->rank < 3;
        const int doublings =
            std::min(daemon->failures++ + (reads ? 0 : 2), reads ? 2 : 5);
        const Milliseconds backoff = Milliseconds(150) * (1 << doublings);
        daemon->retry_at = this->now + backoff + this->Random(backoff * 2);
        if (daemon->rank == 0)
          this->SendReport(daemon, 24);
      });
      return;
    }
    this->Poll(daemon, start, start + wait);
  }
  void Poll(ModelDaemon* daemon, TimePoint start, TimePoint until) {
    const bool has_news = !this->history.empty() &&
                          this->history.back().revision > daemon->revision;
    if (!has_news && this->now < until) {
      this->After(Milliseconds(5), [=] { this->Poll(daemon, start, until); });
      return;
    }
    const std::int64_t to = this->revision;
    std::vector<StoreEvent> found;
    for (const StoreEvent& event : this->history) {
      if (event.revision > daemon->revision)
        found.push_back(event);
    }
    this->In(daemon, Milliseconds(3), [=, shown = this->now] {
      this->OnAnswer(daemon, found, to, found.empty() ? shown : start);
    });
  }
  void OnAnswer(ModelDaemon* daemon,
                const std::vector<StoreEvent>& found,
                std::int64_t to,
                TimePoint confirmed) {
    daemon->calling = false;
    daemon->reachable = true;
    daemon->failures = 0;
    if (to > daemon->revision) {
      StoreBatch batch;
      batch.from_revision = daemon->log.covered_to.revision;
      batch.base_until = batch.to_revision = to;
      bool departures = false;
      for (const StoreEvent& event : found) {
        fleet::gen::EndpointNews change;
        change.id = "endpoint-" + std::to_string(event.revision % 60);
        change.revision = event.revision;
        change.deleted = event.departure;
        departures |= event.departure;
        batch.changes.push_back(change);
      }
      daemon->revision = to;
      if (departures)
        Depart(daemon, to);
      if (!found.empty()) {
        fleet::Append(batch, &daemon->log);
        this->Push(daemon);
        for (const int again : {100, 260}) {
          if (departures)
            this->In(daemon, Milliseconds(again), [=] { this->Push(daemon); });
        }
      }
    }
    const bool is_news = confirmed > daemon->check.confirmed_at;
    RecordConfirmation(confirmed, this->limit, &this->random, &daemon->check);
    daemon->checking = false;
    if (is_news)
      this->SendReport(daemon, 24);
    if (daemon->rank == 0 || this->now < daemon->reads_until)
      this->In(daemon, this->limit / 10,
               [=] { this->Call(daemon, "watch", false); });
  }

  void Tick(ModelDaemon* daemon) {
    const auto readers = ReaderOrder(daemon->table, daemon->address,
                                     daemon->reachable, false, 3, this->now);
    daemon->rank = static_cast<int>(
        std::find(readers.begin(), readers.end(), daemon->address) -
        readers.begin());
    const auto age = this->now - daemon->check.confirmed_at;
    const bool standby = daemon->rank > 0 && daemon->rank < 3 &&
                         age > this->limit * (42 + 4 * daemon->rank) / 100;
    if (standby)
      daemon->reads_until = this->now + this->limit * 3;
    if (this->now >= daemon->retry_at) {
      if (daemon->failures > 0 && daemon->rank == 0)
        this->Call(daemon, "retry", true);
      else if (daemon->rank == 0 || this->now < daemon->reads_until)
        this->Call(daemon, "watch", false);
      else if (IsCheckDue(daemon->check, this->now))
        this->Call(daemon, daemon->failures > 0 ? "retry" : "check", true);
    }
    this->oldest = std::max(this->oldest, age);
    this->In(daemon, kTick, [=] { this->Tick(daemon); });
  }

  /// A change in the store; returns its revision.
  std::int64_t Change(bool departure) {
    this->history.push_back({++this->revision, departure, this->now});
    return this->revision;
  }
  void RunUntil(TimePoint end) {
    while (!this->events.empty() && this->events.top().at <= end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
    this->now = end;
  }
  void Disturb() {
    const auto readers =
        ReaderOrder(this->daemons[5]->table, 6, true, false, 3, this->now);
    for (int i = 0; i < this->scenario.lost_readers; ++i) {
      ModelDaemon* const reader =
          this->At(readers[static_cast<std::size_t>(i)]);
      reader->live = this->scenario.how != Scenario::kKilled;
      reader->frozen = this->scenario.how == Scenario::kFrozen;
      reader->cut = this->scenario.how == Scenario::kCut;
    }
    for (int i = 0; i < this->scenario.daemons * this->scenario.killed; ++i)
      this->daemons[static_cast<std::size_t>(i)]->live = false;
  }
  bool KnownToAll(std::int64_t wanted) const {
    return std::all_of(this->daemons.begin(), this->daemons.end(),
                       [wanted](const std::unique_ptr<ModelDaemon>& daemon) {
                         return !daemon->live || daemon->frozen ||
                                daemon->revision >= wanted;
                       });
  }
  int TotalCalls() const {
    int total = 0;
    for (const auto& [cause, count] : this->calls)
      total += count;
    return total;
  }

  Scenario scenario;
  Milliseconds limit;
  Milliseconds report_interval{0};
  TimePoint now = kStart;
  std::uint64_t number = 0;
  std::mt19937_64 random{20261206};
  std::priority_queue<Event> events;
  std::vector<std::unique_ptr<ModelDaemon>> daemons;
  std::int64_t revision = 1;
  std::vector<StoreEvent> history;
  std::map<std::string, int> calls;
  TimePoint::duration oldest{0};  ///< View of a live daemon.
};

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_STORE_NEWS_MODEL_H_
