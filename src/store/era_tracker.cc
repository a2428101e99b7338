#include "store/era_tracker.h"

#include <utility>

namespace coltsfootvane::store {
namespace {

/// A store whose answers go on stating an earlier era states it wrongly: its
/// answers are used all the same, so that no daemon is cut off for good.
constexpr int kMaxLowerAnswers = 5;

void ReportFault(const std::string& text,
                 const char* reason,
                 EraTracker* tracker) {
  const std::string fault = std::string(reason) + " " + text;
  if (std::exchange(tracker->last_fault, fault) != fault && tracker->on_fault)
    tracker->on_fault(text, reason);
}

void Advance(std::int64_t era, EraSource source, EraTracker* tracker) {
  const EraChange change{tracker->latest, era, source};
  tracker->latest = era;
  tracker->doubted = 0;
  tracker->lower_answers = 0;
  // What is stated first is no change of what is known.
  if (!std::exchange(tracker->is_known, true))
    return;
  ++tracker->changes;
  for (const auto& observer : tracker->observers)
    observer(change);
}

Error Late() {
  return {ErrorCode::kUnknown, "answer of an earlier era of the store"};
}

/// Returns the era of an answer that states none that could be used.
Result<std::int64_t> EraOfUnstated(std::int64_t sent_in, EraTracker* tracker) {
  const bool is_current = sent_in == tracker->latest;
  tracker->is_known = true;
  if (!is_current)
    return Late();
  return tracker->latest;
}

Result<std::int64_t> EraOfLower(const StatedEra& stated,
                                std::int64_t sent_in,
                                EraTracker* tracker) {
  if (sent_in < tracker->latest)
    return Late();
  ReportFault(stated.text, "earlier than known", tracker);
  if (++tracker->lower_answers < kMaxLowerAnswers)
    return Late();
  return tracker->latest;
}

}  // namespace

Result<std::int64_t> EraOfAnswer(const StatedEra& stated,
                                 std::int64_t sent_in,
                                 EraTracker* tracker) {
  if (!stated.era) {
    if (stated.is_present)
      ReportFault(stated.text, "no era", tracker);
    return EraOfUnstated(sent_in, tracker);
  }
  const std::int64_t era = *stated.era;
  if (tracker->is_known && era < tracker->latest)
    return EraOfLower(stated, sent_in, tracker);
  tracker->lower_answers = 0;
  if (tracker->is_known && era == tracker->latest) {
    tracker->doubted = 0;
    return era;
  }
  if (tracker->is_known && era > tracker->latest + 1 &&
      std::exchange(tracker->doubted, era) != era) {
    ReportFault(stated.text, "more than one higher", tracker);
    return Error{ErrorCode::kUnknown, "unconfirmed era of the store"};
  }
  Advance(era, EraSource::kStore, tracker);
  return era;
}

void LearnEra(std::int64_t told, EraTracker* tracker) {
  if (told > tracker->latest && told <= kMaxEra)
    Advance(told, EraSource::kPeer, tracker);
}

}  // namespace coltsfootvane::store
