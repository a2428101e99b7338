#include "orders/engine_orders.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "base/name_text.h"
#include "orders/events.h"
#include "orders/placement_state.h"

namespace coltsfootvane::orders {
namespace {

using BoostError = boost::system::error_code;

constexpr Milliseconds kTickInterval{100};
/// Time for all daemons to learn that a model is retiring before it is
/// unloaded.
constexpr Milliseconds kRetirementNotice{80};
/// Time until an engine that did not answer is asked for a report again.
constexpr Milliseconds kReportRetryDelay{400};
/// A report may describe a state some hundred ms old.
constexpr Milliseconds kReportLag{200};
/// Planning waits this long for the first reports of all engines.
constexpr Milliseconds kFirstReportTimeout{1500};
/// Added to the declared load time before a report is requested.
constexpr Milliseconds kLoadTimeMargin{1500};
/// Time until a report is requested after an unload order, or again after an
/// earlier report. An engine unloads a model only once the requests running on
/// it have ended.
constexpr Milliseconds kUnloadCheckDelay{3000};
constexpr int kMaxMovesPerTick = 3;
constexpr Milliseconds kPlacementLogInterval{1000};
constexpr std::size_t kMaxLoggedModels = 6;

}  // namespace

EngineOrders::EngineOrders(boost::asio::io_context* io_context,
                           gateway::Gateway* request_gateway,
                           fleet::Fleet* daemon_fleet,
                           LeaseManager* lease_keeper,
                           DecisionLog* decision_log,
                           EngineAccess engine_access,
                           const StoreLoadLimit& load_limit)
    : io(io_context),
      timer(*io_context),
      gateway(request_gateway),
      fleet(daemon_fleet),
      lease(lease_keeper),
      log(decision_log),
      access(std::move(engine_access)),
      limit(load_limit) {}

void EngineOrders::Start() {
  this->Tick();
}

void EngineOrders::Tick() {
  const TimePoint now = BootNow();
  const bool may_send_order = this->lease->MaySendOrder(now);
  if (this->is_lease_holder && this->lease->Epoch() != this->held_epoch)
    this->OnLeaseLost();
  if (may_send_order && !this->is_lease_holder)
    this->OnLeaseAcquired();
  else if (!may_send_order && this->is_lease_holder)
    this->OnLeaseLost();
  if (this->is_lease_holder) {
    this->UpdateEngines(now);
    for (auto& [id, engine] : this->engines)
      this->AdvanceEngine(&engine, now);
    this->PlanCopies(now);
    if (this->placement_changed || now >= this->next_publish_at)
      this->Publish();
  }
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](const BoostError& ec) {
    if (!ec)
      this->Tick();
  });
}

void EngineOrders::OnLeaseAcquired() {
  this->is_lease_holder = true;
  this->held_epoch = this->lease->Epoch();
  this->lease_held_since = BootNow();
  this->engines.clear();
  // The previous lease holder may have just begun as many loads from the weight
  // store as the rate limit allows.
  this->store_loads = {this->lease->IsFirstHolder() ? kMaxBurstLoads : 0,
                       this->lease_held_since};
  this->fleet->SetLease(
      this->lease->Epoch(),
      [this](const std::string& service, const std::string& model,
             const std::string& adapter, fleet::AdapterDone done) {
        this->LoadAdapter(service, model, adapter, std::move(done));
      });
}

void EngineOrders::OnLeaseLost() {
  this->is_lease_holder = false;
  this->fleet->SetLease(0, nullptr);
  for (auto& [id, engine] : this->engines)
    this->FailAdapterJobs(&engine);
  this->engines.clear();
}

void EngineOrders::UpdateEngines(TimePoint now) {
  for (const gateway::EndpointPtr& endpoint : this->gateway->endpoint_list) {
    const gateway::Service* const service =
        this->gateway->routes
            ? FindService(*this->gateway->routes, endpoint->entry.service)
            : nullptr;
    if (service == nullptr || !service->engine)
      continue;
    EngineState& engine = this->engines[endpoint->entry.id];
    if (engine.endpoint == endpoint)
      continue;
    // The engine is new or was restarted, so that no earlier state applies.
    this->FailAdapterJobs(&engine);
    engine = EngineState();
    engine.endpoint = endpoint;
    engine.next_report_at = now;
    this->placement_changed = true;
  }
  for (auto it = this->engines.begin(); it != this->engines.end();) {
    if (!it->second.endpoint->gone) {
      ++it;
      continue;
    }
    this->FailAdapterJobs(&it->second);
    it = this->engines.erase(it);
    this->placement_changed = true;
  }
}

EngineState* EngineOrders::FindEngine(const std::string& id,
                                      std::int64_t incarnation) {
  const auto found = this->engines.find(id);
  if (found == this->engines.end() ||
      found->second.endpoint->entry.incarnation != incarnation)
    return nullptr;
  return &found->second;
}

void EngineOrders::ReadReport(EngineState* engine) {
  engine->call_in_progress = true;
  const gateway::EndpointEntry& entry = engine->endpoint->entry;
  this->access.read_report(
      entry.id, entry.address,
      [this, id = entry.id, incarnation = entry.incarnation,
       endpoint = engine->endpoint](const ReportAnswer& answer) {
        const TimePoint now = BootNow();
        RecordNotice(this->gateway, endpoint, answer.notice, now);
        EngineState* const engine = this->FindEngine(id, incarnation);
        if (engine == nullptr)
          return;
        engine->call_in_progress = false;
        const Result<EngineReport>& report = answer.report;
        const bool other_process = report && report.value().incarnation != 0 &&
                                   report.value().incarnation != incarnation;
        if (!report || other_process) {
          engine->next_report_at = now + kReportRetryDelay;
          this->log->Write(kEngineReportMissing, "",
                           "endpoint=" + Printable(id));
          return;
        }
        engine->completion_check_at = now + kUnloadCheckDelay;
        engine->next_report_at = now + kReportRetryDelay;
        this->placement_changed = true;
        const bool current = ApplyReport(engine, report.value());
        const bool unknown_order = engine->executing_order &&
                                   engine->loading.empty() &&
                                   !engine->unload_sent;
        if (!current)
          engine->next_report_at = now + kReportLag;
        if (!current || unknown_order)
          engine->completion_check_at = now + kReportRetryDelay;
        if (current)
          this->AdvanceEngine(engine, now);
      });
}

/// Starts the next step for an engine: reads a report if the outcome of an
/// order is open, unloads the model whose retirement was published, loads the
/// model that replaces it, or starts an adapter job.
void EngineOrders::AdvanceEngine(EngineState* engine, TimePoint now) {
  if (engine->call_in_progress)
    return;
  if (!MayBeCalled(*engine, now)) {
    this->FailAdapterJobs(engine);
    return;
  }
  if (!engine->known) {
    if (now >= engine->next_report_at)
      this->ReadReport(engine);
    return;
  }
  const bool outcome_open = engine->executing_order ||
                            !engine->loading.empty() || engine->unload_sent;
  const bool announced =
      AnnouncesCompletion(*engine) && now >= engine->next_report_at;
  if (outcome_open && (announced || now >= engine->completion_check_at)) {
    engine->completion_check_at = now + kUnloadCheckDelay;
    this->ReadReport(engine);
    return;
  }
  if (!engine->unloading.empty() && !engine->unload_sent) {
    if (now >= engine->unload_at)
      this->SendModelOrder(engine, Operation::kUnload, engine->unloading);
    return;
  }
  if (!outcome_open && !engine->next_load.empty() &&
      this->TryBeginLoad(*engine, engine->next_load)) {
    const std::string model = std::exchange(engine->next_load, std::string());
    this->SendModelOrder(engine, Operation::kLoad, model);
    return;
  }
  this->StartNextAdapterJob(engine);
}

/// Counts the loads from the weight store that wait for an unload or for the
/// rate limit.
int EngineOrders::CountPlannedStoreLoads() const {
  int planned = 0;
  for (const auto& [id, engine] : this->engines) {
    if (!engine.next_load.empty() &&
        !gateway::HasCachedWeights(engine.endpoint->entry, engine.next_load))
      ++planned;
  }
  return planned;
}

/// Returns whether the load may begin. A load from the weight store is charged
/// to the rate limit.
bool EngineOrders::TryBeginLoad(const EngineState& engine,
                                const std::string& model) {
  return gateway::HasCachedWeights(engine.endpoint->entry, model) ||
         TryTakeLoad(&this->store_loads);
}

void EngineOrders::PlanCopies(TimePoint now) {
  if (!this->gateway->routes)
    return;
  for (const auto& listed : this->gateway->routes->services) {
    const gateway::Service& service = *listed;
    if (!service.engine)
      continue;
    Refill(&this->store_loads, service.engine->store_loads_per_s, now);
    CopyPlanInput input;
    for (const gateway::EngineModel& model : service.engine->models) {
      constexpr double kMsPerS = 1000;
      input.models.push_back({model.name, model.memory_mb,
                              this->fleet->DemandFor(model.name, now) / kMsPerS,
                              model.store_load_s, model.disk_load_s,
                              model.memory_load_s});
    }
    bool all_known = true;
    for (const auto& [id, engine] : this->engines) {
      if (engine.endpoint->entry.service != service.name)
        continue;
      all_known = all_known && engine.known;
      input.engines.push_back(ToPlannedEngine(engine, *service.engine, now));
    }
    if (!all_known && now < this->lease_held_since + kFirstReportTimeout)
      continue;
    this->LogPlacement(service.name, input, now);
    for (int i = 0; i < kMaxMovesPerTick; ++i) {
      input.store_load_allowed =
          MayPlanLoad(this->store_loads, this->CountPlannedStoreLoads());
      const auto move = NextMove(input);
      if (!move || !this->BeginMove(*move, input, service.name, now))
        break;
      PlannedEngine& planned = input.engines[move->engine];
      planned.models.push_back(move->load);
      planned.pending.push_back(move->load);
      planned.retiring = move->unload;
      planned.busy = true;
    }
  }
}

void EngineOrders::LogPlacement(const std::string& service,
                                const CopyPlanInput& input,
                                TimePoint now) {
  TimePoint& next_log_at = this->next_placement_log_at[service];
  if (now < next_log_at)
    return;
  next_log_at = now + kPlacementLogInterval;
  char loads[32];
  std::snprintf(loads, sizeof(loads), " store_loads=%.1f ",
                this->store_loads.available);
  this->log->Write(
      kPlacementState, "",
      "service=" + Printable(service) + loads +
          FormatPlacementState(DescribePlacement(input, kMaxLoggedModels)));
}

/// Begins a planned move. Returns false if it cannot begin.
bool EngineOrders::BeginMove(const CopyMove& move,
                             const CopyPlanInput& input,
                             const std::string& service,
                             TimePoint now) {
  const auto found = this->engines.find(input.engines[move.engine].id);
  if (found == this->engines.end())
    return false;
  EngineState* const engine = &found->second;
  const std::string& model = input.models[move.load].name;
  if (move.unload.empty() && !this->TryBeginLoad(*engine, model))
    return false;
  this->log->Write(
      kCopyPlanned, "",
      "service=" + Printable(service) + " endpoint=" + Printable(found->first) +
          " load=" + model + " unload=" +
          (move.unload.empty() ? std::string("-")
                               : input.models[move.unload.front()].name) +
          " source=" + std::to_string(static_cast<int>(move.source)) +
          " demand=" + std::to_string(input.models[move.load].demand));
  if (move.unload.empty()) {
    this->SendModelOrder(engine, Operation::kLoad, model);
    return true;
  }
  engine->unloading = input.models[move.unload.front()].name;
  engine->unload_sent = false;
  engine->unload_at = now + kRetirementNotice;
  engine->next_load = model;
  this->placement_changed = true;
  return true;
}

const gateway::EngineSpec* EngineOrders::SpecOf(
    const EngineState& engine) const {
  if (!this->gateway->routes)
    return nullptr;
  const gateway::Service* const service =
      FindService(*this->gateway->routes, engine.endpoint->entry.service);
  return service == nullptr || !service->engine ? nullptr : &*service->engine;
}

void EngineOrders::SendModelOrder(EngineState* engine,
                                  Operation operation,
                                  const std::string& model) {
  const gateway::EngineSpec* const spec = this->SpecOf(*engine);
  const gateway::EngineModel* const declared =
      spec == nullptr ? nullptr : FindModel(*spec, model);
  Milliseconds check_delay = kUnloadCheckDelay;
  if (operation == Operation::kLoad) {
    engine->loading = model;
    if (declared != nullptr)
      check_delay = kLoadTimeMargin + Milliseconds(static_cast<std::int64_t>(
                                          declared->store_load_s * 1000));
  } else {
    engine->unload_sent = true;
  }
  engine->completion_check_at = BootNow() + check_delay;
  EngineOrder order;
  order.operation = operation;
  order.model = model;
  this->SendOrder(engine, std::move(order), nullptr);
}

void EngineOrders::SendOrder(EngineState* engine,
                             EngineOrder order,
                             OrderDone done) {
  const TimePoint now = BootNow();
  if (!this->lease->MaySendOrder(now)) {
    if (done)
      done(engine, OrderResult::kNotSent);
    return;
  }
  const gateway::EndpointEntry& entry = engine->endpoint->entry;
  order.endpoint_id = entry.id;
  order.address = entry.address;
  order.expected_sequence = engine->sequence;
  order.holder = this->lease->Holder();
  order.fencing_number = this->lease->Epoch();
  engine->call_in_progress = true;
  this->log->Write(kOrderGiven, "",
                   "endpoint=" + Printable(entry.id) +
                       " operation=" + OperationName(order.operation) +
                       " model=" + Printable(order.model) +
                       " adapter=" + Printable(order.adapter) +
                       " expected=" + std::to_string(order.expected_sequence) +
                       " epoch=" + std::to_string(order.fencing_number));
  this->access.send_order(
      order, [this, order, incarnation = entry.incarnation,
              endpoint = engine->endpoint,
              done = std::move(done)](const OrderAnswer& answer) {
        const OrderResult result = answer.result;
        RecordNotice(this->gateway, endpoint, answer.notice, BootNow());
        this->log->Write(kOrderAnswered, "",
                         "endpoint=" + Printable(order.endpoint_id) +
                             " model=" + Printable(order.model) +
                             " adapter=" + Printable(order.adapter) +
                             " result=" + OrderResultName(result));
        EngineState* const engine =
            this->FindEngine(order.endpoint_id, incarnation);
        if (engine != nullptr) {
          engine->call_in_progress = false;
          this->OnOrderResult(engine, order, result);
        }
        if (result == OrderResult::kFenced)
          this->lease->OnFenced();
        if (done && engine != nullptr)
          done(engine, result);
      });
}

void EngineOrders::OnOrderResult(EngineState* engine,
                                 const EngineOrder& order,
                                 OrderResult result) {
  if (result == OrderResult::kAccepted) {
    engine->sequence = order.expected_sequence + 1;
    // An earlier report may not show the order yet.
    engine->next_report_at = BootNow() + kReportLag;
    return;
  }
  // A report has to be read before the next order is sent.
  engine->known = false;
  engine->next_report_at =
      BootNow() +
      (result == OrderResult::kUnknown ? kReportRetryDelay : kReportLag);
  if (order.adapter.empty()) {
    engine->loading.clear();
    engine->unloading.clear();
    engine->unload_sent = false;
    engine->next_load.clear();
  }
  this->placement_changed = true;
}

void EngineOrders::Publish() {
  this->placement_changed = false;
  this->next_publish_at = BootNow() + fleet::kHolderInterval;
  std::vector<fleet::EnginePlacement> placements;
  for (const auto& [id, engine] : this->engines) {
    fleet::EnginePlacement placement;
    placement.endpoint = engine.endpoint->key;
    if (!engine.unloading.empty())
      placement.retiring.push_back(gateway::KeyOf(engine.unloading));
    for (const std::string& adapter : engine.adapters)
      placement.adapters.push_back(gateway::KeyOf(adapter));
    placements.push_back(std::move(placement));
  }
  this->fleet->Publish(placements);
}

}  // namespace coltsfootvane::orders
