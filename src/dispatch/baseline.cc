#include "dispatch/baseline.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/digest.h"
#include "endpoint/engine.h"

namespace coltsfootvane::dispatch {
namespace {

constexpr Milliseconds kRefreshPeriod{1000};
constexpr Milliseconds kReadTimeout{200};
constexpr Milliseconds kStopCheckPeriod{50};
constexpr int kNoCopyRetryMs = 1000;

bool IsExcluded(const SlotRequest& request, const std::string& id) {
  return std::find(request.excluded.begin(), request.excluded.end(), id) !=
         request.excluded.end();
}

}  // namespace

std::string ChooseLeastLoaded(const Routes& routes,
                              const std::map<std::string, int>& loads,
                              const SlotRequest& request,
                              std::mt19937_64& random) {
  std::vector<std::string> best;
  int least_load = 0;
  for (const PoolHolders& pool :
       FindHolders(routes, request.kind, request.item)) {
    for (const std::string& id : pool.endpoint_ids) {
      if (IsExcluded(request, id))
        continue;
      const auto found = loads.find(id);
      const int load = found == loads.end() ? 0 : found->second;
      if (!best.empty() && load > least_load)
        continue;
      if (load < least_load)
        best.clear();
      least_load = load;
      best.push_back(id);
    }
  }
  if (best.empty())
    return {};
  std::uniform_int_distribution<std::size_t> pick(0, best.size() - 1);
  return best[pick(random)];
}

BaselineDispatch::BaselineDispatch(
    std::function<std::shared_ptr<const Routes>()> routes)
    : routes(std::move(routes)), random(Hash64(RandomId())) {}

BaselineDispatch::~BaselineDispatch() {
  this->Stop();
}

void BaselineDispatch::Start() {
  this->stopping = false;
  this->thread = std::thread([this] {
    while (!this->stopping) {
      const TimePoint next = Clock::now() + kRefreshPeriod;
      this->Refresh();
      while (!this->stopping && Clock::now() < next)
        std::this_thread::sleep_for(kStopCheckPeriod);
    }
  });
}

void BaselineDispatch::Stop() {
  this->stopping = true;
  if (this->thread.joinable())
    this->thread.join();
}

void BaselineDispatch::Refresh() {
  const auto route_table = this->routes();
  for (const Endpoint& endpoint : route_table->view->configuration.endpoints) {
    if (this->stopping)
      return;
    if (endpoint.kind != EndpointKind::kEngine)
      continue;
    const auto load =
        endpoint::ReadLoad(endpoint.address, Clock::now() + kReadTimeout);
    if (!load)
      continue;
    std::lock_guard<std::mutex> lock(this->mutex);
    this->loads[endpoint.id] = load.value().running + load.value().waiting;
  }
}

SlotAnswer BaselineDispatch::Acquire(const SlotRequest& request) {
  const auto route_table = this->routes();
  std::lock_guard<std::mutex> lock(this->mutex);
  const std::string id =
      ChooseLeastLoaded(*route_table, this->loads, request, this->random);
  if (id.empty())
    return {SlotVerdict::kNoCopy, "", 0, kNoCopyRetryMs};
  return {SlotVerdict::kGranted, id, this->next_grant_id++, 0};
}

SlotClient BaselineDispatch::MakeSlotClient() {
  SlotClient client;
  client.acquire = [this](const SlotRequest& request,
                          const std::function<bool()>&) {
    return this->Acquire(request);
  };
  client.release = [](const SlotAnswer&, const SlotOutcome&) {};
  client.is_preempted = [](const SlotAnswer&) { return false; };
  return client;
}

}  // namespace coltsfootvane::dispatch
