#ifndef COLTSFOOTVANE_TOOLS_MEMBERSHIP_SIMULATION_SIMULATION_H_
#define COLTSFOOTVANE_TOOLS_MEMBERSHIP_SIMULATION_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "membership/member_table.h"

namespace coltsfootvane::tools {

struct SimulationOptions {
  int members = 320;
  double loss = 0;  ///< Part of the datagrams.
  std::uint64_t seed = 1;
};

/// What the members sent and received since the last reset.
struct Traffic {
  double mean_kb_s = 0;
  double most_kb_s = 0;           ///< Of the member with the most.
  double worst_second_kb = 0;     ///< Of any member in any second.
  std::size_t largest_bytes = 0;  ///< Of one datagram.
};

/// Member tables in 4 regions with 10 data centres, in virtual time. Datagrams
/// are encoded, take 1 ms in a region and 40 ms between regions, and may be
/// lost.
class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options);

  /// Starts a member with a new instance; replaces one that was stopped.
  void Start(int number);
  /// Ends a member without notice.
  void Kill(int number);
  /// Cuts all regions apart, or heals them.
  void SetCut(bool cut) { this->cut = cut; }

  void Run(Milliseconds time);
  /// Runs until `is_done` holds for all running members, and returns the
  /// seconds until half of them and until the last one, each counted from when
  /// it held first. Returns infinity if that takes longer than `limit`.
  std::pair<double, double> RunUntil(
      const std::function<bool(const membership::MemberTable&)>& is_done,
      Milliseconds limit);

  void ResetTraffic();
  Traffic MeasureTraffic() const;

  static int CentreOf(int number);
  static int RegionOf(int number);
  std::size_t CountRunning() const { return this->tables.size(); }

 private:
  struct Datagram {
    TimePoint at;
    std::uint64_t order = 0;
    int from = 0;
    int to = 0;
    std::string bytes;
    bool operator>(const Datagram& other) const {
      return this->at != other.at ? this->at > other.at
                                  : this->order > other.order;
    }
  };
  struct Counted {
    std::uint64_t bytes = 0;
    std::map<std::int64_t, std::uint64_t> by_second;
  };

  void Send(int from, const std::vector<membership::Outgoing>& out);
  bool Passes(int from, int to);
  void Count(int number, std::size_t bytes);
  void Deliver(const Datagram& datagram);
  /// Runs 10 ms: what arrives, then the ticks that are due.
  void Step();

  SimulationOptions options;
  std::mt19937_64 random;
  TimePoint now;
  TimePoint counted_from;
  std::map<int, membership::MemberTable> tables;  ///< By number.
  std::map<int, TimePoint> next_ticks;
  std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>>
      in_flight;
  std::uint64_t sent = 0;
  std::uint64_t instances = 0;
  std::map<int, Counted> counted;
  std::size_t largest = 0;
  bool cut = false;
};

}  // namespace coltsfootvane::tools

#endif  // COLTSFOOTVANE_TOOLS_MEMBERSHIP_SIMULATION_SIMULATION_H_
