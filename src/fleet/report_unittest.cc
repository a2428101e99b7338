#include "fleet/report.h"

#include <random>

#include "fleet/codec.h"
#include "fleet/member_table.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

namespace {

constexpr TimePoint kNow{Milliseconds(5'000'000)};
constexpr Milliseconds kInterval{700};
constexpr int kEndpoints = 40;
constexpr std::uint32_t kSender = 7;

/// A daemon whose work changes, and one that hears its reports.
struct Pair {
  std::vector<gateway::EndpointPtr> endpoints;
  gateway::Traffic traffic;
  fleet::SentReports sent;
  std::int64_t sequence = 0;
  fleet::MemberTable heard;
  std::mt19937 random{20261204};

  Pair() {
    for (std::uint32_t key = 1; key <= kEndpoints; ++key) {
      this->endpoints.push_back(std::make_shared<gateway::Endpoint>());
      this->endpoints.back()->key = key;
    }
  }

  void ChangeSomeWork() {
    for (int i = 0; i < 5; ++i) {
      gateway::Endpoint& endpoint =
          *this->endpoints[this->random() % kEndpoints];
      endpoint.own.running = static_cast<int>(this->random() % 3);
      endpoint.own.prompt_tokens = endpoint.own.running * 100;
    }
  }

  void RequestModel(int model, TimePoint now) {
    gateway::RequestInfo request;
    request.model = "m" + std::to_string(model);
    request.prompt_tokens = 600;
    request.output_tokens = 300;
    RecordDemand(&this->traffic, request, 0.15, now);
  }

  /// Makes the next report and, unless it is lost, lets it be heard.
  std::size_t Report(bool lost, TimePoint now) {
    fleet::gen::Report report;
    report.incarnation = 1;
    report.sequence = ++this->sequence;
    AddChanges(fleet::CollectWork(this->endpoints, now),
               fleet::CollectDemand(this->traffic, now), &this->sent, &report);
    fleet::gen::Datagram datagram;
    datagram.__set_report(report);
    const std::string bytes = fleet::Encode(datagram);
    if (!lost)
      ApplyReport(&this->heard, kSender, fleet::Decode(bytes).value().report,
                  now, kInterval);
    return bytes.size();
  }

  /// Counts the endpoints whose work was heard otherwise than it is.
  int CountDifferences(TimePoint now) {
    const auto work = fleet::CollectWork(this->endpoints, now);
    const auto& heard_work = this->heard.members[kSender].work;
    int differences = 0;
    for (std::int32_t key = 1; key <= kEndpoints; ++key) {
      const auto here = work.find(key);
      const auto there = heard_work.find(key);
      const int running = here == work.end() ? 0 : here->second.running;
      const int heard_running =
          there == heard_work.end() ? 0 : there->second.running;
      differences += running == heard_running ? 0 : 1;
    }
    return differences;
  }
};

}  // namespace

TEST_GROUP(Report){};

/// Guards against reports that list all work each time: in a large fleet their
/// bytes make them seconds old.
TEST(Report, ListsWhatHasChanged) {
  Pair pair;
  for (const gateway::EndpointPtr& endpoint : pair.endpoints)
    endpoint->own.running = 2;
  const std::size_t first = pair.Report(false, kNow);
  std::size_t later = 0;
  constexpr int kReports = 3 * fleet::kReportsPerWholeList;
  for (int i = 0; i < kReports; ++i) {
    pair.ChangeSomeWork();
    later += pair.Report(false, kNow);
    LONGS_EQUAL(0, pair.CountDifferences(kNow));
  }
  CHECK(later * 2 < first * kReports);
}

/// Guards against requests that count as running for good because the report of
/// their end was lost.
TEST(Report, WholeListsMendLosses) {
  Pair pair;
  for (int i = 0; i < 50; ++i) {
    pair.ChangeSomeWork();
    pair.Report(pair.random() % 4 == 0, kNow);
  }
  CHECK(pair.CountDifferences(kNow) > 0);
  for (int i = 0; i < fleet::kReportsPerWholeList; ++i)
    pair.Report(false, kNow);
  LONGS_EQUAL(0, pair.CountDifferences(kNow));
}

/// Demand decays with sender and receiver alike, so that it is reported again
/// only after further requests.
TEST(Report, DemandIsHeardAsItIs) {
  Pair pair;
  TimePoint now = kNow;
  for (int i = 0; i < 30; ++i) {
    now += Milliseconds(250);
    if (i < 15)
      pair.RequestModel(i % 6, now);
    pair.Report(false, now);
    const auto sums = SumDemand(pair.heard, now);
    for (const auto& [model, demand] : pair.traffic.demand) {
      const auto heard = sums.find(gateway::KeyOf(model));
      CHECK(heard != sums.end());
      DOUBLES_EQUAL(DemandAt(demand, now).ms_per_s, heard->second, 3);
    }
  }
}

/// Guards against members that keep an item for each model ever asked for.
TEST(Report, PastDemandIsForgotten) {
  Pair pair;
  for (int model = 0; model < 30; ++model)
    pair.RequestModel(model, kNow);
  pair.Report(false, kNow);
  LONGS_EQUAL(30, pair.heard.members[kSender].demand.size());
  for (int i = 0; i < fleet::kReportsPerWholeList; ++i)
    pair.Report(false, kNow + Milliseconds(60'000));
  LONGS_EQUAL(0, pair.heard.members[kSender].demand.size());
}
