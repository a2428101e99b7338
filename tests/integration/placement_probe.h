#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_PLACEMENT_PROBE_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_PLACEMENT_PROBE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "audit/audit.h"
#include "site.h"

namespace coltsfootvane::testing {

/// Returns the daemon named by the lease object, if it is running.
std::optional<std::size_t> FindPlanner(Site* site);

/// Waits until a daemon holds the lease.
std::size_t WaitForPlanner(Site* site, int timeout_ms = 15000);

/// Counts the ready copies of a model or adapter over all engines that answer;
/// of any version if `version` is empty.
int CountReady(const Site& site,
               const std::string& item,
               const std::string& version);

int CountReadyAt(const StandinProcess& engine,
                 const std::string& item,
                 const std::string& version);

/// Returns the first engine with a ready copy of `model`; fails the test if
/// there is none.
std::size_t FindHolder(const Site& site, const std::string& model);

/// Raises the version of one model and applies the configuration.
void ChangeVersion(Site* site, std::size_t model);

/// Waits until the declared version of every item is ready on an engine and
/// every running daemon answers each. Returns the time that this took.
std::optional<Milliseconds> WaitPlaced(Site* site, int timeout_ms);

/// The indexes and endpoint objects, to explain a failure.
std::string DescribePlacement(const Site& site);

/// The sums of the engines' own accounts, also of processes that have ended.
class EngineAccounts {
 public:
  /// Adds what the engine has counted since its start; call it before a kill.
  void Collect(const StandinProcess& engine, std::int64_t memory_mb);
  /// Collects, kills and starts the engine again, without its memory.
  void Restart(Site* site, std::size_t engine);
  void CollectAll(const Site& site);

  std::int64_t overcommits = 0;
  std::int64_t excess_mb = -1000000;  ///< Highest memory less the limit.
  std::int64_t loads = 0;
  std::int64_t unloads = 0;
  std::int64_t outdated_commands = 0;
};

std::vector<AuditEntry> ReadAuditTrail(const Site& site);

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_PLACEMENT_PROBE_H_
