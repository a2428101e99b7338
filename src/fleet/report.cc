#include "fleet/report.h"

#include <algorithm>
#include <cmath>

namespace coltsfootvane::fleet {
namespace {

/// These keep a report within one packet.
constexpr std::size_t kMaxWorkInReport = 72;
constexpr std::size_t kMaxDemandInReport = 36;

std::int16_t RoundedCount(double count) {
  return static_cast<std::int16_t>(std::lround(std::min(count, 30000.0)));
}

gen::EndpointWork IdleWork(std::int32_t endpoint) {
  gen::EndpointWork work;
  work.endpoint = endpoint;
  work.running = 0;
  return work;
}

/// Successes are left out of the comparison: they change with every answer.
bool HasChanged(const gen::EndpointWork& work, const gen::EndpointWork& sent) {
  return work.running != sent.running ||
         work.prompt_tokens != sent.prompt_tokens ||
         work.yielding != sent.yielding || work.bad != sent.bad ||
         (work.good == 0) != (sent.good == 0);
}

std::int32_t Rounded(double ms_per_s) {
  return static_cast<std::int32_t>(std::lround(ms_per_s));
}

bool HasChanged(const gateway::ModelDemand& demand,
                const gateway::ModelDemand& sent) {
  constexpr double kRoundingMs = 1.5;
  const gateway::ModelDemand expected = gateway::DemandAt(sent, demand.updated);
  return std::abs(demand.ms_per_s - expected.ms_per_s) > kRoundingMs;
}

gen::ModelDemand ToWire(std::int32_t model,
                        const gateway::ModelDemand& demand) {
  gen::ModelDemand wire;
  wire.model = model;
  wire.ms_per_s = Rounded(demand.ms_per_s);
  return wire;
}

void AddWork(const gen::EndpointWork& work,
             SentReports* sent,
             gen::Report* report) {
  if (report->work.size() >= kMaxWorkInReport)
    return;
  report->work.push_back(work);
  if (IsIdle(work))
    sent->work.erase(work.endpoint);
  else
    sent->work[work.endpoint] = work;
}

void AddWorkChanges(const WorkByEndpoint& work,
                    SentReports* sent,
                    gen::Report* report) {
  std::vector<gen::EndpointWork> changed;
  for (const auto& [endpoint, item] : work) {
    const auto known = sent->work.find(endpoint);
    if (known == sent->work.end() || HasChanged(item, known->second))
      changed.push_back(item);
  }
  for (const auto& [endpoint, item] : sent->work) {
    if (work.count(endpoint) == 0)
      changed.push_back(IdleWork(endpoint));
  }
  for (const gen::EndpointWork& item : changed)
    AddWork(item, sent, report);
}

void AddDemandChanges(const DemandByModel& demand,
                      SentReports* sent,
                      gen::Report* report) {
  for (const auto& [model, item] : demand) {
    const auto known = sent->demand.find(model);
    const bool changed =
        known == sent->demand.end() || HasChanged(item, known->second);
    if (!changed || report->demand.size() >= kMaxDemandInReport)
      continue;
    report->demand.push_back(ToWire(model, item));
    sent->demand[model] = item;
  }
  for (auto it = sent->demand.begin(); it != sent->demand.end();)
    it = demand.count(it->first) == 0 ? sent->demand.erase(it) : std::next(it);
}

}  // namespace

bool IsIdle(const gen::EndpointWork& work) {
  return work.running == 0 && work.prompt_tokens == 0 && work.good == 0 &&
         work.bad == 0;
}

WorkByEndpoint CollectWork(gsl::span<const gateway::EndpointPtr> endpoints,
                           TimePoint now) {
  WorkByEndpoint collected;
  for (const gateway::EndpointPtr& endpoint : endpoints) {
    gen::EndpointWork work;
    work.endpoint = static_cast<std::int32_t>(endpoint->key);
    work.running = endpoint->own.running;
    const double factor = gateway::OutcomeDecay(*endpoint, now);
    const std::int16_t good =
        RoundedCount(endpoint->outcomes.successes * factor);
    const std::int16_t bad = RoundedCount(endpoint->outcomes.failures * factor);
    if (endpoint->own.prompt_tokens != 0)
      work.__set_prompt_tokens(endpoint->own.prompt_tokens);
    if (endpoint->own.yielding != 0) {
      work.__set_yielding(RoundedCount(endpoint->own.yielding));
      work.__set_yielding_tokens(endpoint->own.yielding_tokens);
    }
    // Good results matter only beside bad ones.
    if (good != 0 && (bad != 0 || endpoint->peer_failures > 0))
      work.__set_good(good);
    if (bad != 0)
      work.__set_bad(bad);
    if (!IsIdle(work))
      collected[work.endpoint] = work;
  }
  return collected;
}

DemandByModel CollectDemand(const gateway::Traffic& traffic, TimePoint now) {
  DemandByModel collected;
  for (const auto& [model, demand] : traffic.demand) {
    const gateway::ModelDemand current = gateway::DemandAt(demand, now);
    if (Rounded(current.ms_per_s) > 0)
      collected[static_cast<std::int32_t>(gateway::KeyOf(model))] = current;
  }
  return collected;
}

void AddAll(const WorkByEndpoint& work,
            const DemandByModel& demand,
            gen::Report* report) {
  for (const auto& [endpoint, item] : work) {
    if (report->work.size() < kMaxWorkInReport)
      report->work.push_back(item);
  }
  for (const auto& [model, item] : demand) {
    if (report->demand.size() < kMaxDemandInReport)
      report->demand.push_back(ToWire(model, item));
  }
  report->__set_lists_all_work(report->work.size() == work.size());
}

void AddChanges(const WorkByEndpoint& work,
                const DemandByModel& demand,
                SentReports* sent,
                gen::Report* report) {
  const bool whole =
      sent->until_whole_list == 0 && work.size() <= kMaxWorkInReport;
  if (whole) {
    sent->work.clear();
    report->__set_lists_all_work(true);
  }
  sent->until_whole_list = whole ? kReportsPerWholeList - 1
                                 : std::max(0, sent->until_whole_list - 1);
  AddWorkChanges(work, sent, report);
  AddDemandChanges(demand, sent, report);
}

}  // namespace coltsfootvane::fleet
