#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/codec.h"
#include "fleet/suspect_news.h"
#include "quarantine/verdict.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using quarantine::AddInvolvement;
using quarantine::AnsweredParts;
using quarantine::CrashKey;
using quarantine::Decide;
using quarantine::FindQuarantine;
using quarantine::KeyOfCrash;
using quarantine::Ledger;
using quarantine::MergeSuspect;
using quarantine::Observer;
using quarantine::PartId;
using quarantine::Quarantine;
using quarantine::RecordAnswer;
using quarantine::Suspect;

namespace {

constexpr int kStepMs = 10;
constexpr int kLengthMs = 25'000;
constexpr int kTroubleMs = 3000;  ///< Begin of the deadly requests.
constexpr int kFirstTokenMs = 150;
constexpr int kFirstEventMs = 250;
constexpr int kRunMs = 2000;
constexpr int kDownMs = 3000;
constexpr int kContactMs = 3000;
constexpr int kDatagramHeaderBytes = 28;
constexpr PartId kDeadly = 1'000'000;  ///< And the next ones.

struct Scene {
  const char* name;
  int daemons;
  int engines;
  double requests_per_s;
  double deadly_share;
  int deadly_parts;      ///< 0: engines are killed for other causes only.
  double loss;           ///< Of datagrams.
  int killed_every_ms;   ///< An engine ends for another cause; 0: none.
  int restart_every_ms;  ///< A daemon is started anew; 0: none.
  int liar;              ///< A daemon that tells of crashes; -1: none.
};

struct Request {
  int daemon = 0;
  std::vector<PartId> parts;
  int sent_ms = 0;
  bool deadly = false;
};

struct Engine {
  int starts = 0;
  int down_until_ms = 0;
  std::vector<Request> requests;
};

struct Daemon {
  Ledger ledger;
  AnsweredParts answered;
  fleet::SuspectNews news;
  std::vector<Quarantine> quarantines;
  double sent_bytes = 0;
};

struct Message {
  int at_ms;
  int from;
  int to;
  std::string bytes;
  bool operator<(const Message& other) const {
    return this->at_ms > other.at_ms;
  }
};

/// Daemons before engines that crash when they begin to answer with a deadly
/// part. Time and the network are simulated; ledgers, verdicts and messages are
/// the product's.
class Simulation {
 public:
  Simulation(const Scene& simulated, unsigned seed)
      : scene(simulated),
        random(seed),
        engines(static_cast<std::size_t>(simulated.engines)),
        daemons(static_cast<std::size_t>(simulated.daemons)) {}

  void Run() {
    for (this->now_ms = 0; this->now_ms < kLengthMs; this->now_ms += kStepMs) {
      this->Deliver();
      this->Arrive();
      this->RunEngines();
      this->Disturb();
      this->SendNews();
    }
  }

  int crashes = 0;        ///< By deadly requests.
  int late_arrivals = 0;  ///< Of deadly ones after the fifth crash and 3 s.
  std::set<PartId>
      blamed;  ///< Sound parts of quarantines without a deadly one.
  double most_bytes_per_s = 0;  ///< Of a daemon, over the whole time.

 private:
  TimePoint Now() const {
    return TimePoint() + std::chrono::hours(10) + Milliseconds(this->now_ms);
  }
  int Pick(int count) {
    return static_cast<int>(this->random() % static_cast<std::uint64_t>(count));
  }
  bool Happens(double chance) {
    return std::uniform_real_distribution<>(0, 1)(this->random) < chance;
  }
  Observer AddressOf(int daemon) const {
    return static_cast<Observer>(daemon + 1);
  }

  void Arrive() {
    const double expected = this->scene.requests_per_s * kStepMs / 1000;
    std::poisson_distribution<int> count(expected);
    for (int i = count(this->random); i > 0; --i) {
      Request request;
      request.daemon = this->Pick(this->scene.daemons);
      request.sent_ms = this->now_ms;
      request.parts = {static_cast<PartId>(this->Pick(3)),
                       static_cast<PartId>(100 + this->Pick(100))};
      if (this->now_ms >= kTroubleMs && this->scene.deadly_parts > 0 &&
          this->Happens(this->scene.deadly_share)) {
        const auto which =
            static_cast<PartId>(this->Pick(this->scene.deadly_parts));
        request.deadly = true;
        request.parts = {which, 100 + which, kDeadly + which};
      }
      this->Send(std::move(request));
    }
  }

  void Send(Request request) {
    const Daemon& daemon = this->daemons[request.daemon];
    if (FindQuarantine(daemon.quarantines, request.parts) != nullptr)
      return;
    Engine& engine = this->engines[this->Pick(this->scene.engines)];
    if (this->now_ms < engine.down_until_ms)
      return;
    if (request.deadly) {
      const auto limit = this->fifth_crash_ms.find(request.parts.back());
      if (limit != this->fifth_crash_ms.end() &&
          this->now_ms > limit->second + kContactMs)
        ++this->late_arrivals;
    }
    engine.requests.push_back(std::move(request));
  }

  void RunEngines() {
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      Engine& engine = this->engines[i];
      const auto deadly = std::find_if(
          engine.requests.begin(), engine.requests.end(),
          [this](const Request& one) {
            return one.deadly && this->now_ms >= one.sent_ms + kFirstTokenMs;
          });
      if (deadly != engine.requests.end()) {
        const PartId part = deadly->parts.back();
        ++this->crashes;
        if (++this->crashes_of[part] == 5)
          this->fifth_crash_ms[part] = this->now_ms;
        this->Crash(i);
        continue;
      }
      for (const Request& request : engine.requests) {
        if (this->now_ms - request.sent_ms == kFirstEventMs)
          this->OnAnswer(request);
      }
      const auto ended =
          std::remove_if(engine.requests.begin(), engine.requests.end(),
                         [this](const Request& one) {
                           return this->now_ms >= one.sent_ms + kRunMs;
                         });
      engine.requests.erase(ended, engine.requests.end());
    }
  }

  void OnAnswer(const Request& request) {
    Daemon& daemon = this->daemons[request.daemon];
    for (const PartId part : request.parts)
      daemon.answered.Add(part);
    const std::vector<PartId> changed =
        RecordAnswer(&daemon.ledger, request.parts);
    TellAnswered(&daemon.news, daemon.ledger, changed, this->Now(),
                 &this->random);
    if (!changed.empty())
      this->Update(request.daemon);
  }

  void Crash(std::size_t index) {
    Engine& engine = this->engines[index];
    const CrashKey key = KeyOfCrash(std::to_string(index), ++engine.starts);
    for (const Request& request : engine.requests) {
      const int age = this->now_ms - request.sent_ms;
      if (age >= kFirstEventMs)
        continue;
      Daemon& daemon = this->daemons[request.daemon];
      Suspect suspect;
      suspect.involvements = {{key,
                               this->Now(),
                               age >= kFirstTokenMs,
                               false,
                               {this->AddressOf(request.daemon)}}};
      for (const PartId part : request.parts) {
        suspect.answered_before = daemon.answered.Contains(part);
        MergeSuspect(&daemon.ledger, part, suspect);
      }
      TellSeen(&daemon.news, request.parts, this->Now());
      this->Update(request.daemon);
    }
    engine.requests.clear();
    engine.down_until_ms = this->now_ms + kDownMs;
  }

  void Update(int index) {
    Daemon& daemon = this->daemons[index];
    daemon.quarantines = Decide(daemon.ledger, this->AddressOf(index));
    for (const Quarantine& one : daemon.quarantines) {
      if (one.parts.back() < kDeadly)
        this->blamed.insert(one.parts.begin(), one.parts.end());
    }
    for (Engine& engine : this->engines) {
      const auto ended = std::remove_if(
          engine.requests.begin(), engine.requests.end(),
          [&](const Request& one) {
            return one.daemon == index &&
                   this->now_ms - one.sent_ms < kFirstEventMs &&
                   FindQuarantine(daemon.quarantines, one.parts) != nullptr;
          });
      engine.requests.erase(ended, engine.requests.end());
    }
  }

  void Disturb() {
    const int killed = this->scene.killed_every_ms;
    if (killed > 0 && this->now_ms > 0 && this->now_ms % killed == 0)
      this->Crash(static_cast<std::size_t>(this->Pick(this->scene.engines)));
    const int restarted = this->scene.restart_every_ms;
    if (restarted > 0 && this->now_ms > 0 && this->now_ms % restarted == 0)
      this->Restart(this->Pick(this->scene.daemons));
    if (this->scene.liar >= 0 && this->now_ms % 500 == 0)
      this->Lie();
  }

  /// The others tell a daemon that starts what they know.
  void Restart(int index) {
    const double bytes = this->daemons[index].sent_bytes;
    this->daemons[index] = Daemon();
    this->daemons[index].sent_bytes = bytes;
    for (int i = 0; i < this->scene.daemons; ++i) {
      const Daemon& other = this->daemons[i];
      if (i != index)
        this->Post(i, index,
                   fleet::AllSuspects(other.ledger, other.quarantines,
                                      this->AddressOf(i), this->Now()));
    }
  }

  /// Tells of a crash that never was, with parts that all others serve.
  void Lie() {
    Daemon& daemon = this->daemons[this->scene.liar];
    for (PartId part = 0; part < 3; ++part)
      AddInvolvement(&daemon.ledger, part,
                     {static_cast<CrashKey>(this->now_ms),
                      this->Now(),
                      true,
                      false,
                      {this->AddressOf(this->scene.liar)}});
    const std::vector<PartId> parts = {0, 1, 2};
    TellSeen(&daemon.news, parts, this->Now());
  }

  void SendNews() {
    std::vector<std::uint32_t> members;
    members.reserve(this->daemons.size());
    for (int i = 0; i < this->scene.daemons; ++i)
      members.push_back(this->AddressOf(i));
    for (int i = 0; i < this->scene.daemons; ++i) {
      Daemon& daemon = this->daemons[i];
      if (!HasNews(daemon.news) || this->now_ms % 20 != 0)
        continue;
      for (const auto& one :
           TakeDue(&daemon.news, daemon.ledger, this->AddressOf(i), members,
                   this->Now(), &this->random))
        this->Post(i, static_cast<int>(one.to) - 1, one.suspects);
    }
  }

  void Post(int from, int to, const fleet::gen::Suspects& suspects) {
    if (to == from || suspects.parts.empty())
      return;
    fleet::gen::Datagram datagram;
    datagram.__set_suspects(suspects);
    const std::string bytes = fleet::Encode(datagram);
    CHECK(bytes.size() < 1400);
    double& sent = this->daemons[from].sent_bytes;
    sent += static_cast<double>(bytes.size()) + kDatagramHeaderBytes;
    this->most_bytes_per_s =
        std::max(this->most_bytes_per_s, sent * 1000 / kLengthMs);
    if (!this->Happens(this->scene.loss))
      this->messages.push({this->now_ms + 1 + this->Pick(8), from, to, bytes});
  }

  void Deliver() {
    while (!this->messages.empty() &&
           this->messages.top().at_ms <= this->now_ms) {
      const Message message = this->messages.top();
      this->messages.pop();
      const Result<fleet::gen::Datagram> datagram =
          fleet::Decode(message.bytes);
      CHECK(datagram.has_value());
      Daemon& daemon = this->daemons[message.to];
      const auto told =
          fleet::ReadSuspects(datagram.value().suspects,
                              this->AddressOf(message.from), this->Now());
      PlanReplies(&daemon.news, daemon.ledger, daemon.answered, told,
                  this->Now(), &this->random);
      bool changed = false;
      for (const auto& [part, suspect] : told) {
        Suspect merged = suspect;
        merged.answered_before =
            merged.answered_before || daemon.answered.Contains(part);
        changed = MergeSuspect(&daemon.ledger, part, merged) || changed;
      }
      if (changed)
        this->Update(message.to);
    }
  }

  Scene scene;
  std::mt19937_64 random;
  std::vector<Engine> engines;
  std::vector<Daemon> daemons;
  std::priority_queue<Message> messages;
  std::map<PartId, int> crashes_of;
  std::map<PartId, int> fifth_crash_ms;
  int now_ms = 0;
};

}  // namespace

TEST_GROUP(SuspectModel){};

/// Guards against daemons that each see a few crashes and never learn what they
/// have in common, and against sound parts that are shut out meanwhile.
TEST(SuspectModel, DaemonsFindDeadlyPartsTogether) {
  constexpr int kMaxLateArrivals = 3;
  constexpr double kMaxBytesPerS = 24'000;
  const std::vector<Scene> scenes = {
      {"today", 19, 9, 70, 0.05, 1, 0.01, 0, 0, -1},
      {"few of them", 19, 9, 70, 0.01, 1, 0.01, 0, 0, -1},
      {"many of them", 19, 9, 70, 0.3, 1, 0.01, 0, 0, -1},
      {"three parts", 19, 9, 70, 0.15, 3, 0.01, 0, 0, -1},
      {"a fifth of the datagrams lost", 19, 9, 70, 0.05, 1, 0.2, 0, 0, -1},
      {"beside killed engines", 19, 9, 70, 0.05, 1, 0.05, 700, 0, -1},
      {"killed engines alone", 19, 9, 200, 0, 0, 0.05, 300, 0, -1},
      {"daemons start anew", 19, 9, 70, 0.05, 1, 0.05, 0, 400, -1},
      {"a daemon tells of crashes that never were", 19, 9, 70, 0, 0, 0.05, 900,
       0, 4},
      {"93 daemons", 93, 60, 330, 0.05, 1, 0.02, 0, 1000, -1},
      {"320 daemons", 320, 300, 1200, 0.05, 2, 0.02, 0, 0, -1},
  };
  for (const Scene& scene : scenes) {
    const unsigned seeds = scene.daemons > 50 ? 1 : 5;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
      Simulation simulation(scene, seed);
      simulation.Run();
      const std::string text =
          std::string(scene.name) + " seed " + std::to_string(seed) + ": " +
          std::to_string(simulation.crashes) + " crashes, " +
          std::to_string(simulation.late_arrivals) + " late, " +
          std::to_string(simulation.blamed.size()) + " blamed, " +
          std::to_string(static_cast<int>(simulation.most_bytes_per_s)) +
          " B/s";
      if (std::getenv("SHOW_MODEL") != nullptr)
        std::printf("%s\n", text.c_str());
      CHECK_TEXT(simulation.late_arrivals <= kMaxLateArrivals, text.c_str());
      CHECK_TEXT(simulation.blamed.empty(), text.c_str());
      CHECK_TEXT(simulation.most_bytes_per_s < kMaxBytesPerS, text.c_str());
    }
  }
}
