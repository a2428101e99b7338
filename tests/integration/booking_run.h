#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_BOOKING_RUN_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_BOOKING_RUN_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "booking_calls.h"
#include "site.h"

namespace coltsfootvane::testing {

using Json = nlohmann::json;

inline constexpr std::uint64_t kBookingSeed = 20261204;
inline constexpr int kBookingKeys = 1000;
inline constexpr int kRepeatPauseMs = 100;

/// Returns a deployment with short completion times.
SiteOptions BookingSite();

std::string BodyOf(const std::string& key);

/// Returns the state of the key's record at the platform, or an empty string.
std::string RecordStateOf(const Site& site, const std::string& key);

/// Calls the keys `prefix`0 to `prefix`<count - 1>, 16 at once, over all
/// daemons.
std::vector<Answer> CallKeys(const Site& site,
                             const std::string& prefix,
                             int count);

/// Everything that the callers of one key were told.
struct KeyHistory {
  std::string key;
  std::vector<Answer> answers;
  bool refused_replica = false;  ///< A replica refused connections meanwhile.
  Answer last;

  bool HasCut() const {
    for (const Answer& answer : this->answers) {
      if (answer.status == 0)
        return true;
    }
    return false;
  }
};

/// Keys are called by workers while Disturb() injects faults one after another.
class BookingRun {
 public:
  explicit BookingRun(Site* site)
      : site(site), random(kBookingSeed), histories(kBookingKeys) {}

  void Run();
  void RepeatUntilFinal();
  void Check();

 private:
  void Work(int worker);
  /// Returns whether a key of this worker has no final answer yet.
  bool RepeatOpenKeys(int worker, std::size_t pass);
  void CallKey(KeyHistory* history, std::mt19937_64* worker_random);
  void Disturb();
  void Inject(int kind);
  /// Counts the states of the records when a daemon is stopped.
  void CountStates();
  void CountFault(const char* name) { ++this->faults[name]; }
  void SetPlatform(Json faults_of_records, int for_ms);
  void PauseDaemon();
  void KillDaemon();
  void RefuseAtReplica();
  void CheckAnswer(const KeyHistory& history, const Answer& answer);
  void CheckKey(const KeyHistory& history);
  void Settle();
  std::size_t Pick(std::size_t count) { return this->random() % count; }
  void Sleep(int ms) { std::this_thread::sleep_for(Milliseconds{ms}); }

  Site* site;
  std::mt19937_64 random;
  std::vector<KeyHistory> histories;
  std::atomic<int> working{0};
  std::atomic<int> refusing{0};  ///< Odd while a replica refuses connections.
  std::map<std::string, int> faults;
  std::map<std::string, int> states_at_stop;
  Json effects;
  Json requests;
  int not_run = 0;
  int calls = 0;
  int replays = 0;
  int unknown_with_effect = 0;
  int unknown_without_effect = 0;
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_BOOKING_RUN_H_
