#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_DELAYED_LOAD_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_DELAYED_LOAD_H_

#include <string>
#include <vector>

#include "placement_probe.h"
#include "site.h"

namespace coltsfootvane::testing {

/// When the engine restarts, without its memory and its highest number.
enum class EngineRestart { kNone, kUnnoticed, kNoticed };

/// How one load command that the network delays reaches an engine that checks
/// numbers.
struct DelayedLoadRow {
  const char* name;
  /// A second attempt succeeds and is unloaded, and newer loads fill the
  /// memory, before the first attempt arrives. Otherwise it arrives before the
  /// first newer load.
  bool after_newer_loads;
  bool sender_frozen;  ///< Past its lease; another planner takes over.
  EngineRestart restart;
  int newer_mb;  ///< Of the first newer load.
  /// The newer load may be sent although the delayed one is not resolved.
  bool newer_is_sent;
};

/// One engine of 9000 MB behind a proxy that holds the command back.
class DelayedLoad {
 public:
  explicit DelayedLoad(const DelayedLoadRow& row);

  /// Runs the row; the test fails unless the engine's accounts show that its
  /// memory sufficed.
  void Run();

 private:
  void Start();
  void DelayFirstAttempt();
  void SendNewerLoads();
  void RestartEngine();
  void Deliver();
  void Finish();

  void Declare(const std::vector<ModelOptions>& models);
  void DeclareNewer();
  void SetHolds(const std::vector<nlohmann::json>& rules);
  int CountHeld(const std::string& item);
  bool IsReady(const std::string& item);
  bool IsFenced();
  nlohmann::json Ledger();
  long CountOutdated();
  void Await(const char* what, const std::function<bool()>& condition);

  DelayedLoadRow row;
  Site site;
  EngineAccounts accounts;
  std::size_t planner = 0;
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_DELAYED_LOAD_H_
