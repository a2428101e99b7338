#ifndef COLTSFOOTVANE_DISPATCH_BASELINE_H_
#define COLTSFOOTVANE_DISPATCH_BASELINE_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include "dispatch/pools.h"
#include "dispatch/slot_client.h"

namespace coltsfootvane::dispatch {

/// Returns the holder with the lowest reported load, with ties broken at
/// random, or an empty string if there is no holder.
std::string ChooseLeastLoaded(const Routes& routes,
                              const std::map<std::string, int>& loads,
                              const SlotRequest& request,
                              std::mt19937_64& random);

/// Baseline for comparisons: each daemon chooses endpoints on its own from load
/// reports that lag behind, without queues, limits or shares.
class BaselineDispatch {
 public:
  explicit BaselineDispatch(
      std::function<std::shared_ptr<const Routes>()> routes);
  BaselineDispatch(const BaselineDispatch&) = delete;
  BaselineDispatch& operator=(const BaselineDispatch&) = delete;
  ~BaselineDispatch();

  /// Starts the thread that reads the loads of the engines every second.
  void Start();
  void Stop();

  /// The client must not be used after this object is destroyed.
  SlotClient MakeSlotClient();

 private:
  SlotAnswer Acquire(const SlotRequest& request);
  void Refresh();

  const std::function<std::shared_ptr<const Routes>()> routes;
  std::atomic<bool> stopping{false};
  std::thread thread;
  std::mutex mutex;  ///< Guards all below.
  std::map<std::string, int> loads;
  std::uint64_t next_grant_id = 1;
  std::mt19937_64 random;
};

}  // namespace coltsfootvane::dispatch

#endif  // COLTSFOOTVANE_DISPATCH_BASELINE_H_
