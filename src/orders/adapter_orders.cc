#include <algorithm>
#include <limits>
#include <utility>

#include "orders/engine_orders.h"

namespace coltsfootvane::orders {
namespace {

using BoostError = boost::system::error_code;

/// From the acceptance of a load order until the adapter is usable.
constexpr Milliseconds kAdapterLoadTime{12};
constexpr std::size_t kMaxWaitingJobs = 32;  ///< Per engine.

}  // namespace

void EngineOrders::LoadAdapter(const std::string& service,
                               const std::string& model,
                               const std::string& adapter,
                               fleet::AdapterDone done) {
  const std::string name = gateway::AdapterName(model, adapter);
  for (auto& [id, engine] : this->engines) {
    if (Serves(engine, model) && engine.adapters.count(name) > 0) {
      engine.adapter_requested_at[name] = BootNow();
      done(engine.endpoint->key);
      return;
    }
  }
  AdapterJob job{service, model, adapter, std::move(done)};
  EngineState* const engine = this->ChooseEngineForAdapter(job);
  if (engine == nullptr) {
    job.done(0);
    return;
  }
  engine->adapter_jobs.push_back(std::move(job));
  this->StartNextAdapterJob(engine);
}

/// Prefers an engine that has the same adapter queued, then one with a free
/// adapter slot, then one with an adapter that is not waited for, then the one
/// with the least work.
EngineState* EngineOrders::ChooseEngineForAdapter(const AdapterJob& job) {
  const TimePoint now = BootNow();
  EngineState* best = nullptr;
  double least_cost = std::numeric_limits<double>::max();
  for (auto& [id, engine] : this->engines) {
    const gateway::EngineSpec* const spec = this->SpecOf(engine);
    if (spec == nullptr || engine.endpoint->entry.service != job.service ||
        !Serves(engine, job.model) || !MayBeCalled(engine, now) ||
        engine.executing_order || !engine.loading.empty() ||
        engine.unload_sent || engine.adapter_jobs.size() >= kMaxWaitingJobs)
      continue;
    const bool same_adapter_queued = std::any_of(
        engine.adapter_jobs.begin(), engine.adapter_jobs.end(),
        [&job](const AdapterJob& other) {
          return other.model == job.model && other.adapter == job.adapter;
        });
    if (same_adapter_queued)
      return &engine;
    constexpr double kNoRoomCost = 1000;
    constexpr double kWaitingJobCost = 10;
    const auto& peer_work = engine.endpoint->peers;
    double room_cost = 0;
    if (!AdapterFits(engine, *spec, job.model)) {
      const std::vector<AdapterUse> uses = this->AdapterUses(engine, now);
      const AdapterUse* const victim = ChooseVictim(uses, now);
      const bool free = victim != nullptr && !IsRecent(*victim, now);
      room_cost = free ? kNoRoomCost : 2 * kNoRoomCost;
    }
    const double cost =
        room_cost +
        static_cast<double>(engine.adapter_jobs.size()) * kWaitingJobCost +
        engine.endpoint->own.running + peer_work.running;
    if (cost >= least_cost)
      continue;
    least_cost = cost;
    best = &engine;
  }
  return best;
}

void EngineOrders::StartNextAdapterJob(EngineState* engine) {
  if (engine->call_in_progress || !engine->known ||
      engine->adapter_jobs.empty())
    return;
  if (!MayBeCalled(*engine, BootNow())) {
    this->FailAdapterJobs(engine);
    return;
  }
  const AdapterJob& job = engine->adapter_jobs.front();
  const gateway::EngineSpec* const spec = this->SpecOf(*engine);
  if (spec == nullptr || !Serves(*engine, job.model)) {
    this->FinishAdapterJob(engine, false);
    return;
  }
  if (engine->adapters.count(gateway::AdapterName(job.model, job.adapter)) >
      0) {
    this->FinishAdapterJob(engine, true);
    return;
  }
  if (AdapterFits(*engine, *spec, job.model))
    this->SendAdapterLoad(engine);
  else
    this->EvictAdapter(engine);
}

std::vector<AdapterUse> EngineOrders::AdapterUses(const EngineState& engine,
                                                  TimePoint now) const {
  std::vector<AdapterUse> uses;
  for (const std::string& name : engine.adapters) {
    AdapterUse use{name, this->fleet->DemandFor(name, now), {}};
    const auto requested = engine.adapter_requested_at.find(name);
    if (requested != engine.adapter_requested_at.end())
      use.requested_at = requested->second;
    uses.push_back(std::move(use));
  }
  return uses;
}

void EngineOrders::EvictAdapter(EngineState* engine) {
  const TimePoint now = BootNow();
  const std::vector<AdapterUse> uses = this->AdapterUses(*engine, now);
  const AdapterUse* const chosen = ChooseVictim(uses, now);
  if (chosen == nullptr) {
    this->FinishAdapterJob(engine, false);
    return;
  }
  const std::string victim = chosen->name;
  engine->adapter_requested_at.erase(victim);
  engine->adapters.erase(victim);
  this->Publish();
  const std::size_t slash = victim.find('/');
  EngineOrder order;
  order.operation = Operation::kUnload;
  order.model = victim.substr(0, slash);
  order.adapter = victim.substr(slash + 1);
  this->SendOrder(engine, std::move(order),
                  [this, victim](EngineState* engine, OrderResult result) {
                    ApplyAdapterUnload(engine, victim, result);
                    const TimePoint now = BootNow();
                    // The unload is done: a report that is read now shows it.
                    if (result == OrderResult::kHoldsAlready)
                      engine->next_report_at = now;
                    this->AdvanceEngine(engine, now);
                  });
}

void EngineOrders::SendAdapterLoad(EngineState* engine) {
  EngineOrder order;
  order.operation = Operation::kLoad;
  order.model = engine->adapter_jobs.front().model;
  order.adapter = engine->adapter_jobs.front().adapter;
  this->SendOrder(engine, std::move(order),
                  [this](EngineState* engine, OrderResult result) {
                    this->OnAdapterLoad(engine, result);
                  });
}

void EngineOrders::OnAdapterLoad(EngineState* engine, OrderResult result) {
  if (engine->adapter_jobs.empty())
    return;
  AdapterJob& job = engine->adapter_jobs.front();
  if (result == OrderResult::kBusy && !job.retried) {
    job.retried = true;  // Sent again once a report gives the sequence number.
    return;
  }
  if (result != OrderResult::kAccepted &&
      result != OrderResult::kHoldsAlready) {
    this->FinishAdapterJob(engine, false);
    return;
  }
  const std::string name = gateway::AdapterName(job.model, job.adapter);
  engine->adapters.insert(name);
  engine->adapter_requested_at[name] = BootNow();
  this->placement_changed = true;
  this->FinishAdapterJob(engine, true);
  this->StartNextAdapterJob(engine);
}

void EngineOrders::FailAdapterJobs(EngineState* engine) {
  while (!engine->adapter_jobs.empty())
    this->FinishAdapterJob(engine, false);
}

/// Completes the first job in the queue and all others for the same adapter.
void EngineOrders::FinishAdapterJob(EngineState* engine, bool loaded) {
  AdapterJob job = std::move(engine->adapter_jobs.front());
  engine->adapter_jobs.pop_front();
  std::vector<fleet::AdapterDone> callbacks;
  callbacks.push_back(std::move(job.done));
  for (auto it = engine->adapter_jobs.begin();
       it != engine->adapter_jobs.end();) {
    if (it->model != job.model || it->adapter != job.adapter) {
      ++it;
      continue;
    }
    callbacks.push_back(std::move(it->done));
    it = engine->adapter_jobs.erase(it);
  }
  const std::uint32_t key = loaded ? engine->endpoint->key : 0;
  if (!loaded) {
    for (const fleet::AdapterDone& done : callbacks)
      done(0);
    return;
  }
  auto delay = std::make_shared<boost::asio::steady_timer>(*this->io);
  delay->expires_after(kAdapterLoadTime);
  delay->async_wait(
      [delay, key, callbacks = std::move(callbacks)](const BoostError& ec) {
        for (const fleet::AdapterDone& done : callbacks)
          done(ec ? 0 : key);
      });
}

}  // namespace coltsfootvane::orders
