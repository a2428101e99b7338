#include "placement/planner.h"

#include <utility>

#include "placement/planner_loop.h"

namespace coltsfootvane {
namespace detail {
namespace {

constexpr Milliseconds kTickInterval{200};

}  // namespace

PlannerLoop::PlannerLoop(PlannerOptions options,
                         objectapi::Connection connection,
                         InForceHolder* in_force,
                         PlannerHooks hooks)
    : options(std::move(options)),
      connection(std::move(connection)),
      in_force(in_force),
      hooks(std::move(hooks)),
      audit(this->connection, this->options.daemon_id),
      pool(&this->permission) {
  if (!this->hooks.has_sender_ended)
    this->hooks.has_sender_ended = [](std::string_view) { return false; };
  this->lease.self = this->options.daemon_id + "/" + this->options.incarnation;
}

PlannerLoop::~PlannerLoop() {
  this->Stop();
}

void PlannerLoop::Start() {
  this->audit.Start();
  this->pool.Start();
  this->thread = std::thread([this] { this->Run(); });
}

void PlannerLoop::Stop() {
  this->stopping = true;
  if (this->thread.joinable())
    this->thread.join();
}

void PlannerLoop::Run() {
  while (!this->stopping)
    this->Tick();
  this->pool.Stop();
  this->ProcessResults(Clock::now());
  this->planned_at = TimePoint();
  if (this->leading)
    this->FlushEndpoints();
  this->ReleaseLease();
  this->audit.Stop();
}

void PlannerLoop::Tick() {
  const TimePoint now = Clock::now();
  this->StepLease(now);
  if (this->leading) {
    this->ReadEndpoints();
    this->Plan(now);
    this->FlushEndpoints();
    this->StartIndexCalls(now);
    this->Publish(now);
    this->RefreshForeignIntents(now);
  } else {
    this->ResolveIntentsAfterLeaseLoss(now);
  }
  this->ProcessResults(now + kTickInterval);
}

}  // namespace detail

Planner::Planner(PlannerOptions options,
                 objectapi::Connection connection,
                 InForceHolder* in_force,
                 PlannerHooks hooks)
    : loop(std::make_unique<detail::PlannerLoop>(std::move(options),
                                                 std::move(connection),
                                                 in_force,
                                                 std::move(hooks))) {}

Planner::~Planner() = default;

void Planner::Start() {
  this->loop->Start();
}

void Planner::Stop() {
  this->loop->Stop();
}

}  // namespace coltsfootvane
