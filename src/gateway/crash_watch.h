#ifndef COLTSFOOTVANE_GATEWAY_CRASH_WATCH_H_
#define COLTSFOOTVANE_GATEWAY_CRASH_WATCH_H_

#include <functional>
#include <map>
#include <vector>

#include "base/clock.h"
#include "gateway/endpoint.h"
#include "quarantine/suspicion.h"

namespace coltsfootvane::gateway {

struct Gateway;

/// A host that does not answer within this time may be cut off.
inline constexpr Milliseconds kListenCheckTimeout{700};

/// A request whose connection ended before the first event of its answer.
struct BrokenRequest {
  std::vector<quarantine::PartId> parts;
  bool answering = false;  ///< The head of the answer had come.
  TimePoint at;
  /// The host of the endpoint does not answer, so that asking shows nothing.
  bool unreachable = false;
};

/// Tells an endpoint that has crashed from one that has only closed or lost
/// connections: nothing listens at the address of the former, or its process
/// is replaced soon afterwards though it has not said that it leaves.
class CrashWatch {
 public:
  explicit CrashWatch(Gateway* owner) : gateway(owner) {}

  /// Finds out whether the endpoint has crashed, and records the crash. `done`
  /// is called once, with whether it has; it may be empty.
  void OnBroken(const EndpointPtr& endpoint,
                BrokenRequest request,
                std::function<void(bool crashed)> done);

  /// Records the crashes that show only now, as the endpoint's process was
  /// removed or replaced, and forgets old cases.
  void Tick(TimePoint now);

 private:
  enum class State {
    kAsking,  ///< A connection is being opened.
    /// Something accepts connections at the address, or the host does not
    /// answer.
    kListening,
    kCrashed,
  };

  struct Case {
    EndpointPtr endpoint;
    State state = State::kAsking;
    TimePoint ends;  ///< From then on a removal has another cause.
    std::vector<BrokenRequest> requests;  ///< Not recorded so far.
    std::vector<std::function<void(bool)>> waiting;
  };

  static void EndWaiting(Case* one);
  void Ask(quarantine::CrashKey crash);
  void OnAsked(quarantine::CrashKey crash, bool refused);
  void OnCrashed(quarantine::CrashKey crash, Case* one);
  void RecordAll(quarantine::CrashKey crash, Case* one);

  Gateway* gateway;
  std::map<quarantine::CrashKey, Case> cases;
};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_CRASH_WATCH_H_
