#ifndef COLTSFOOTVANE_STORE_ERA_TRACKER_H_
#define COLTSFOOTVANE_STORE_ERA_TRACKER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"

namespace coltsfootvane::store {

/// Higher numbers are no eras: fencing tokens have room for so many.
inline constexpr std::int64_t kMaxEra = 1'000'000;

/// What an answer of the store states about its era.
struct StatedEra {
  bool is_present = false;
  /// Not set if absent, no number, negative or above kMaxEra.
  std::optional<std::int64_t> era;
  std::string text;  ///< As stated.
};

enum class EraSource { kStore, kPeer };

struct EraChange {
  std::int64_t from = 0;
  std::int64_t to = 0;
  EraSource source = EraSource::kStore;
};

/// The latest era of the store that this process knows. Eras rise by one each
/// time the store comes back from an older copy; whatever an answer states, the
/// latest known era never falls.
struct EraTracker {
  std::int64_t latest = 0;
  bool is_known = false;  ///< The store has answered, or a peer has told.
  std::int64_t changes = 0;
  /// An era that is more than one higher, which one answer has stated.
  std::int64_t doubted = 0;
  int lower_answers = 0;   ///< In a row that state an earlier era.
  std::string last_fault;  ///< The text of the last one that was reported.

  /// Called after each change.
  std::vector<std::function<void(const EraChange&)>> observers;
  /// Called for a statement that is not as agreed, once for each text.
  std::function<void(const std::string& text, const char* reason)> on_fault;
};

/// Returns the era of an answer to a call that was made in the era `sent_in`.
/// An answer that states none belongs to the latest known era. Errors: kUnknown
/// if the answer is a late one of an earlier era, or if another answer has to
/// confirm the era that it states.
Result<std::int64_t> EraOfAnswer(const StatedEra& stated,
                                 std::int64_t sent_in,
                                 EraTracker* tracker);

/// Another daemon knows this era.
void LearnEra(std::int64_t told, EraTracker* tracker);

}  // namespace coltsfootvane::store

#endif  // COLTSFOOTVANE_STORE_ERA_TRACKER_H_
