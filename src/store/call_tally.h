#ifndef COLTSFOOTVANE_STORE_CALL_TALLY_H_
#define COLTSFOOTVANE_STORE_CALL_TALLY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace coltsfootvane::store {

enum class Freshness;
struct ObjectStore;

/// Why a call to the store is made.
enum class CallCause {
  kStart,     ///< The first listing of a kind.
  kWatch,     ///< Following a kind.
  kGap,       ///< Changes that others have seen, or history that is gone.
  kCheck,     ///< Nobody has shown for too long that the view is complete.
  kRetry,     ///< After a call that failed, or whose answer may be lost.
  kLease,     ///< Reading and renewing the lease of the planner.
  kRegistry,  ///< Registering this daemon and finding the others.
  kRecord,    ///< Evidence against quarantined parts.
  kEra,       ///< Listing anew after the store came back from a copy.
};
inline constexpr std::size_t kCallCauses = 9;

/// Calls of this process by cause.
struct CallTally {
  std::array<std::uint64_t, kCallCauses> latest{};
  std::array<std::uint64_t, kCallCauses> stale{};  ///< Of the low price.
};

const char* CauseName(CallCause cause);

/// Counts a call that is about to be made, if the store has a tally.
void CountCall(const ObjectStore& store, CallCause cause, Freshness freshness);

std::uint64_t TotalCalls(const CallTally& tally);

/// Returns the calls as `cause=latest+stale` pairs, without those that are 0.
std::string FormatTally(const CallTally& tally);

}  // namespace coltsfootvane::store

#endif  // COLTSFOOTVANE_STORE_CALL_TALLY_H_
