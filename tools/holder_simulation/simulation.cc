#include "tools/holder_simulation/simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "fleet/placement_news.h"
#include "orders/adapter_choice.h"

namespace coltsfootvane::tools {
namespace {

constexpr double kTickS = 0.1;
/// Processor time of a holder for each of these.
constexpr double kRequestS = 40e-6;
constexpr double kOrderS = 250e-6;
constexpr double kDatagramS = 6e-6;
constexpr double kDatagramHeaderBytes = 28;
constexpr double kItemBytes = 4;
constexpr std::size_t kItemsPerDatagram = 200;
/// An order and its answer, and the load of an adapter.
constexpr double kOrderRoundTripS = 0.004;
constexpr double kLoadS = 0.010;
/// A caller's objective for its first token.
constexpr double kObjectiveS = 0.4;
constexpr double kRenewalsPerS = 1 / 1.5;
constexpr double kDemandSkew = 0.7;

/// A resource that does one thing after the other.
struct Server {
  double free_at_s = 0;
  double busy_s = 0;

  /// Returns when work that arrives at `now_s` is done.
  double Do(double now_s, double work_s) {
    this->free_at_s = std::max(this->free_at_s, now_s) + work_s;
    this->busy_s += work_s;
    return this->free_at_s;
  }
};

struct Engine {
  std::vector<orders::AdapterUse> adapters;
  double free_at_s = 0;  ///< From its present order.
};

struct Holder {
  Server processor;
  Server link;
  fleet::PlacementNews news;
  std::vector<std::uint32_t> engines;
  bool changed = false;
};

TimePoint At(double seconds) {
  return TimePoint(std::chrono::hours(1)) +
         std::chrono::duration_cast<TimePoint::duration>(
             std::chrono::duration<double>(seconds));
}

class Simulation {
 public:
  explicit Simulation(const HolderScene& played)
      : scene(played), random(played.seed), engines(played.engines) {
    const bool parts = this->scene.design == HolderDesign::kParts;
    const std::uint32_t count =
        parts ? (this->scene.engines + this->scene.engines_per_part - 1) /
                    this->scene.engines_per_part
              : 1;
    this->holders.resize(count);
    for (std::uint32_t i = 0; i < this->scene.engines; ++i)
      this->holders[i % count].engines.push_back(i);
  }

  HolderResult Run() {
    const double length_s =
        std::chrono::duration<double>(this->scene.length).count();
    std::exponential_distribution<double> gap(this->scene.requests_per_s);
    std::vector<double> weights;
    for (std::size_t i = 0; i < this->scene.adapters; ++i)
      weights.push_back(std::pow(static_cast<double>(i + 1), -kDemandSkew));
    std::discrete_distribution<std::size_t> adapter(weights.begin(),
                                                    weights.end());
    double next_tick_s = 0;
    for (double now_s = gap(this->random); now_s < length_s;
         now_s += gap(this->random)) {
      for (; next_tick_s <= now_s; next_tick_s += kTickS)
        this->Tick(next_tick_s);
      this->Request(now_s, adapter(this->random));
    }
    return this->Finish(length_s);
  }

 private:
  /// The holder that has an engine with the adapter, or may load it.
  Holder& HolderOf(std::size_t adapter) {
    return this->holders[adapter % this->holders.size()];
  }

  void Request(double now_s, std::size_t adapter) {
    ++this->result.requests;
    this->asked_for.insert(adapter);
    Holder& holder = this->HolderOf(adapter);
    double done_s = this->Work(&holder, now_s, kRequestS);
    const std::string name = std::to_string(adapter);
    Engine* engine = this->Find(holder, name, now_s);
    if (engine == nullptr) {
      engine = this->Load(&holder, name, now_s, &done_s);
      done_s += kLoadS;
    }
    const double answered_s = std::max(done_s, holder.link.free_at_s);
    if (answered_s - now_s > kObjectiveS)
      return;
    ++this->result.in_time;
    this->served.insert(adapter);
  }

  Engine* Find(const Holder& holder, const std::string& name, double now_s) {
    for (const std::uint32_t number : holder.engines) {
      for (orders::AdapterUse& use : this->engines[number].adapters) {
        if (use.name != name)
          continue;
        use.requested_at = At(now_s);
        return &this->engines[number];
      }
    }
    return nullptr;
  }

  Engine* Load(Holder* holder,
               const std::string& name,
               double now_s,
               double* done_s) {
    const std::vector<std::uint32_t>& own = holder->engines;
    Engine* engine = &this->engines[own[this->random() % own.size()]];
    int orders = 1;
    if (engine->adapters.size() >= this->scene.adapter_slots) {
      const orders::AdapterUse* const victim =
          orders::ChooseVictim(engine->adapters, At(now_s));
      engine->adapters.erase(engine->adapters.begin() +
                             (victim - engine->adapters.data()));
      ++orders;
      // Told at once, before the unload.
      if (this->scene.design == HolderDesign::kAllPlacements)
        this->Publish(holder, now_s);
    }
    engine->adapters.push_back({name, 0, At(now_s)});
    for (int i = 0; i < orders; ++i) {
      *done_s =
          std::max(this->Work(holder, *done_s, kOrderS), engine->free_at_s) +
          kOrderRoundTripS;
      engine->free_at_s = *done_s;
    }
    this->orders += orders;
    holder->changed = true;
    return engine;
  }

  double Work(Holder* holder, double now_s, double core_s) {
    return holder->processor.Do(now_s, core_s / this->scene.processor_share);
  }

  void Tick(double now_s) {
    for (Holder& holder : this->holders) {
      const bool bounded = this->scene.design != HolderDesign::kAllPlacements;
      if (holder.changed || bounded)
        this->Publish(&holder, now_s);
      holder.changed = false;
    }
  }

  std::vector<fleet::EnginePlacement> Placements(const Holder& holder) const {
    std::vector<fleet::EnginePlacement> placements;
    for (const std::uint32_t number : holder.engines) {
      fleet::EnginePlacement placement;
      placement.endpoint = number + 1;
      for (const orders::AdapterUse& use : this->engines[number].adapters)
        placement.adapters.push_back(
            static_cast<std::uint32_t>(std::stoul(use.name)));
      placements.push_back(std::move(placement));
    }
    return placements;
  }

  void Publish(Holder* holder, double now_s) {
    std::vector<fleet::EnginePlacement> sent = this->Placements(*holder);
    if (this->scene.design != HolderDesign::kAllPlacements) {
      fleet::AddRoom(this->scene.daemons, At(now_s), &holder->news);
      sent = fleet::TakeNews(sent, &holder->news);
      if (sent.empty())
        return;
    }
    std::size_t items = 0;
    for (const fleet::EnginePlacement& placement : sent)
      items += fleet::CountItems(placement);
    const std::size_t each = items / kItemsPerDatagram + 1;
    const auto datagrams = static_cast<double>(each * this->scene.daemons);
    const double bytes =
        datagrams * kDatagramHeaderBytes +
        static_cast<double>(items * this->scene.daemons) * kItemBytes;
    this->Work(holder, now_s, datagrams * kDatagramS);
    holder->link.Do(now_s, bytes / this->scene.link_bytes_per_s);
  }

  HolderResult Finish(double length_s) {
    this->result.asked_for = this->asked_for.size();
    this->result.never_served = this->asked_for.size() - this->served.size();
    this->result.orders_per_s = static_cast<double>(this->orders) / length_s;
    for (const Holder& holder : this->holders) {
      this->result.processor_share = std::max(
          this->result.processor_share,
          holder.processor.busy_s * this->scene.processor_share / length_s);
      this->result.link_share =
          std::max(this->result.link_share, holder.link.busy_s / length_s);
    }
    this->result.store_writes_per_s =
        kRenewalsPerS * static_cast<double>(this->holders.size());
    return this->result;
  }

  const HolderScene scene;
  std::mt19937_64 random;
  std::vector<Engine> engines;
  std::vector<Holder> holders;
  std::set<std::size_t> asked_for;
  std::set<std::size_t> served;
  std::size_t orders = 0;
  HolderResult result;
};

}  // namespace

const char* DesignName(HolderDesign design) {
  switch (design) {
    case HolderDesign::kAllPlacements:
      return "all placements";
    case HolderDesign::kBoundedNews:
      return "bounded news";
    case HolderDesign::kParts:
      return "parts";
  }
  return "";
}

HolderResult Simulate(const HolderScene& scene) {
  return Simulation(scene).Run();
}

}  // namespace coltsfootvane::tools
