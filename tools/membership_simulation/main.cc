#include <easylogging++.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <string>
#include <vector>

#include "tools/membership_simulation/simulation.h"

INITIALIZE_EASYLOGGINGPP

namespace {

using coltsfootvane::Milliseconds;
using coltsfootvane::membership::MemberState;
using coltsfootvane::membership::MemberTable;
using coltsfootvane::tools::Simulation;
using coltsfootvane::tools::SimulationOptions;
using coltsfootvane::tools::Traffic;

constexpr Milliseconds kLimit{600000};
constexpr Milliseconds kQuiet{60000};
constexpr int kLostCentre = 5;
constexpr int kLostRegion = 4;

std::size_t CountUsable(const MemberTable& table) {
  std::size_t count = 1;
  for (const auto& [id, record] : table.members)
    count += coltsfootvane::membership::IsUsable(record.member) ? 1 : 0;
  return count;
}

/// Runs until every member sees exactly `usable(table)` members and prints it.
template <class Usable>
void Phase(Simulation& simulation, const char* name, Usable usable) {
  simulation.ResetTraffic();
  const auto [half, last] = simulation.RunUntil(
      [&usable](const MemberTable& table) {
        return CountUsable(table) == usable(table);
      },
      kLimit);
  const Traffic traffic = simulation.MeasureTraffic();
  std::printf(
      "%-22s median_s=%.1f last_s=%.1f kb_s=%.1f kb_s_max=%.1f "
      "worst_second_kb=%.1f largest_bytes=%zu\n",
      name, half, last, traffic.mean_kb_s, traffic.most_kb_s,
      traffic.worst_second_kb, traffic.largest_bytes);
  std::fflush(stdout);
}

void Settle(Simulation& simulation) {
  simulation.Run(kQuiet);
  simulation.ResetTraffic();
  simulation.Run(kQuiet);
  const Traffic traffic = simulation.MeasureTraffic();
  std::printf("%-22s kb_s=%.2f kb_s_max=%.2f worst_second_kb=%.1f\n", "settled",
              traffic.mean_kb_s, traffic.most_kb_s, traffic.worst_second_kb);
  std::fflush(stdout);
}

std::vector<int> Numbers(int members, bool (*wanted)(int)) {
  std::vector<int> numbers;
  for (int n = 0; n < members; ++n) {
    if (wanted(n))
      numbers.push_back(n);
  }
  return numbers;
}

void LoseAndRestart(Simulation& simulation,
                    const std::string& what,
                    const std::vector<int>& lost,
                    std::size_t members) {
  for (const int number : lost)
    simulation.Kill(number);
  const std::size_t left = members - lost.size();
  Phase(simulation, (what + " lost").c_str(),
        [left](const MemberTable&) { return left; });
  for (const int number : lost)
    simulation.Start(number);
  Phase(simulation, (what + " restarted").c_str(),
        [members](const MemberTable&) { return members; });
}

void CutAndHeal(Simulation& simulation, int members, int cut_s) {
  std::map<std::string, std::size_t> sizes;
  for (int n = 0; n < members; ++n)
    ++sizes["r" + std::to_string(Simulation::RegionOf(n))];
  simulation.SetCut(true);
  Phase(simulation, "cut", [&sizes](const MemberTable& table) {
    return sizes[table.self.region];
  });
  simulation.Run(Milliseconds{cut_s * 1000});
  simulation.SetCut(false);
  Phase(simulation, "healed", [members](const MemberTable&) {
    return static_cast<std::size_t>(members);
  });
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Simulates the membership of a fleet in virtual time");
  SimulationOptions options;
  int cut_s = 600;
  app.add_option("--members", options.members);
  app.add_option("--loss", options.loss, "Part of the datagrams");
  app.add_option("--seed", options.seed);
  app.add_option("--cut-s", cut_s, "Time that regions are cut apart");
  CLI11_PARSE(app, argc, argv);
  std::printf("members=%d loss=%.2f seed=%llu\n", options.members, options.loss,
              static_cast<unsigned long long>(options.seed));
  Simulation simulation(options);
  for (int n = 0; n < options.members; ++n)
    simulation.Start(n);
  const auto members = static_cast<std::size_t>(options.members);
  Phase(simulation, "start", [members](const MemberTable&) { return members; });
  Settle(simulation);
  LoseAndRestart(simulation, "member", {options.members - 1}, members);
  Settle(simulation);
  LoseAndRestart(
      simulation, "data centre",
      Numbers(options.members,
              [](int n) { return Simulation::CentreOf(n) == kLostCentre; }),
      members);
  Settle(simulation);
  LoseAndRestart(
      simulation, "region",
      Numbers(options.members,
              [](int n) { return Simulation::RegionOf(n) == kLostRegion; }),
      members);
  CutAndHeal(simulation, options.members, cut_s);
  Settle(simulation);
  return 0;
}
