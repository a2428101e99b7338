#ifndef COLTSFOOTVANE_QUOTA_QUOTA_TEST_HISTORY_H_
#define COLTSFOOTVANE_QUOTA_QUOTA_TEST_HISTORY_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "quota/quota_node.h"

namespace coltsfootvane::quota {

inline constexpr double kRate = 100'000;
inline constexpr double kUnits = 1100;
inline constexpr Milliseconds kYoung{5000};

/// Daemons with callers of one team, on a network that loses, repeats and
/// delays datagrams. Time is simulated.
class History {
 public:
  struct Daemon {
    std::unique_ptr<QuotaNode> node;  ///< nullptr while it is down.
    TimePoint started;
    TimePoint frozen_until;
    bool leaving = false;
    Limit limit{kRate, kRate, 1};
    int island = 0;
    int generation = 0;  ///< Of the process and of its timer.
    std::vector<std::function<void()>> queued;  ///< While frozen.
    std::map<Address, TimePoint> heard;         ///< Reports of others.
  };

  History(int count, std::uint64_t seed)
      : random(seed),
        network(seed + 1000),
        interval(std::max(Milliseconds(250), Milliseconds(count * 11))),
        daemons(static_cast<std::size_t>(count)) {
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
      this->Start(i);
  }

  void At(Milliseconds time, std::function<void()> action) {
    this->events.emplace(this->origin + time, std::move(action));
  }

  void Start(std::size_t i) {
    Daemon& daemon = this->daemons[i];
    const int island = daemon.island;
    const int generation = daemon.generation + 1;
    daemon = Daemon();
    daemon.island = island;
    daemon.generation = generation;
    daemon.started = this->now;
    daemon.node = std::make_unique<QuotaNode>(this->random());
    daemon.node->send_request = [this, i](Address to, const Request& request) {
      this->Send(i, to - 1, [this, i, to, request] {
        const auto reply = this->daemons[to - 1].node->OnRequest(
            static_cast<Address>(i + 1), request, this->now);
        if (reply)
          this->Send(to - 1, i, [this, i, to, answer = *reply] {
            this->daemons[i].node->OnReply(to, answer, this->now);
          });
      });
    };
    this->Report(i, daemon.generation);
  }

  void Kill(std::size_t i) { this->daemons[i].node.reset(); }

  /// Returns the daemon that owns the bucket while all are up.
  std::size_t Owner() const {
    std::size_t best = 0;
    for (std::size_t i = 1; i < this->daemons.size(); ++i) {
      if (OwnerRank(1, static_cast<Address>(i + 1)) >
          OwnerRank(1, static_cast<Address>(best + 1)))
        best = i;
    }
    return best;
  }

  /// Callers use `load` of the limit, at daemons that are up, until `until`.
  void Run(Milliseconds until) {
    while (this->now < this->origin + until) {
      this->Call();
      const double mean_s = kUnits / (kRate * std::max(this->load, 1e-6));
      std::exponential_distribution<double> pause(1 / mean_s);
      const TimePoint next =
          this->now + std::chrono::duration_cast<Microseconds>(
                          std::chrono::duration<double>(pause(this->random)));
      while (!this->events.empty() && this->events.begin()->first <= next) {
        auto event = this->events.extract(this->events.begin());
        this->now = std::max(this->now, event.key());
        event.mapped()();
      }
      this->now = next;
    }
  }

  /// Returns the most units sent in a window of 8 s, as a share of the bound.
  double WorstWindow(double rate = kRate,
                     Milliseconds after = Milliseconds(0)) const {
    const double bound = (rate * 8 + rate) * 1.1 + 17'000;
    double sum = 0;
    double worst = 0;
    std::deque<std::pair<TimePoint, double>> window;
    for (const auto& [time, units] : this->sent) {
      if (time < this->origin + after)
        continue;
      window.emplace_back(time, units);
      sum += units;
      while (window.front().first + std::chrono::seconds(8) <= time) {
        sum -= window.front().second;
        window.pop_front();
      }
      worst = std::max(worst, sum / bound);
    }
    return worst;
  }

  TimePoint origin = TimePoint(std::chrono::hours(1));
  TimePoint now = origin;
  std::mt19937_64 random;
  std::mt19937_64 network;
  Milliseconds interval;
  std::vector<Daemon> daemons;
  double load = 0.3;
  int refused = 0;
  Milliseconds longest_wait{0};
  std::vector<std::pair<TimePoint, double>> sent;

 private:
  bool Reaches(std::size_t from, std::size_t to) const {
    return this->daemons[to].node &&
           this->daemons[from].island == this->daemons[to].island;
  }

  void Send(std::size_t from, std::size_t to, std::function<void()> deliver) {
    std::uniform_real_distribution<double> chance(0, 1);
    const double draw = chance(this->network);
    const int copies = draw < 0.03 ? 0 : draw < 0.04 ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const Microseconds delay(200 + this->network() % 2500);
      this->events.emplace(this->now + delay, [this, from, to, deliver] {
        Daemon& target = this->daemons[to];
        if (!this->Reaches(from, to))
          return;
        if (this->now < target.frozen_until) {
          target.queued.push_back(deliver);
          return;
        }
        this->Refresh(to);
        deliver();
        if (target.node)
          this->Tick(to);
      });
    }
  }

  void Report(std::size_t i, int generation) {
    Daemon& daemon = this->daemons[i];
    if (!daemon.node || daemon.generation != generation)
      return;
    for (std::size_t to = 0; to < this->daemons.size(); ++to) {
      if (to != i && this->Reaches(i, to) && this->now >= daemon.frozen_until &&
          this->random() % 100 >= 3)
        this->daemons[to].heard[static_cast<Address>(i + 1)] = this->now;
    }
    this->events.emplace(this->now + this->interval, [this, i, generation] {
      this->Report(i, generation);
    });
  }

  void Refresh(std::size_t i) {
    Daemon& daemon = this->daemons[i];
    Members members;
    members.self = static_cast<Address>(i + 1);
    members.leaving = daemon.leaving;
    const auto silence = std::max(Milliseconds(2500), this->interval * 5);
    const bool young = this->now < daemon.started + kYoung;
    members.settled = this->now >= daemon.started + Milliseconds(50);
    for (std::size_t k = 0; k < this->daemons.size(); ++k) {
      const auto address = static_cast<Address>(k + 1);
      const auto found = daemon.heard.find(address);
      const bool heard = found != daemon.heard.end() &&
                         this->now < found->second + std::chrono::minutes(1);
      if (k == i || (!heard && !young) || this->daemons[k].leaving)
        continue;
      members.known.push_back(address);
      if (!heard || this->now < found->second + silence)
        members.live.push_back(address);
    }
    daemon.node->SetMembers(std::move(members));
  }

  void Tick(std::size_t i) {
    Daemon& daemon = this->daemons[i];
    if (!daemon.node)
      return;
    if (this->now < daemon.frozen_until) {
      this->TickAt(i, daemon.frozen_until);
      return;
    }
    const auto queued = std::exchange(daemon.queued, {});
    for (const auto& deliver : queued)
      deliver();
    this->TickAt(i, daemon.node->Tick(this->now));
  }

  void TickAt(std::size_t i, TimePoint next) {
    if (next == TimePoint::max())
      return;
    // Ticks that were superseded do no harm, but cost time.
    TimePoint& planned = this->ticks[i];
    next = std::max(next, this->now + Milliseconds(1));
    if (planned > this->now && planned <= next)
      return;
    planned = next;
    this->events.emplace(next, [this, i, next] {
      if (this->ticks[i] != next)
        return;
      if (this->daemons[i].node)
        this->Refresh(i);
      this->Tick(i);
    });
  }

  void Call() {
    const std::size_t i = this->random() % this->daemons.size();
    Daemon& daemon = this->daemons[i];
    if (this->load <= 0 || !daemon.node || this->now < daemon.frozen_until ||
        this->now < daemon.started + Milliseconds(60))
      return;
    this->Refresh(i);
    const TimePoint began = this->now;
    const auto rank = static_cast<int>(this->random() % 3);
    const int generation = daemon.generation;
    const auto decided = [this, i, generation,
                          began](const Decision& decision) {
      const Daemon& caller_daemon = this->daemons[i];
      if (caller_daemon.generation == generation &&
          caller_daemon.frozen_until < began)
        this->longest_wait = std::max(this->longest_wait, decision.waited);
      if (decision.granted)
        this->sent.emplace_back(this->now, kUnits);
      else
        ++this->refused;
    };
    daemon.node->Want({1, daemon.limit, kUnits, rank}, decided, this->now);
    this->Tick(i);
  }

  std::multimap<TimePoint, std::function<void()>> events;
  std::map<std::size_t, TimePoint> ticks;
};

}  // namespace coltsfootvane::quota

#endif  // COLTSFOOTVANE_QUOTA_QUOTA_TEST_HISTORY_H_
