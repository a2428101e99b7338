#ifndef COLTSFOOTVANE_PREFILL_PREFILL_H_
#define COLTSFOOTVANE_PREFILL_PREFILL_H_

#include "base/clock.h"

/// Weighs long prompts against short ones at the engines of a service. This
/// module has no network.
namespace coltsfootvane::prefill {

/// Decayed sums over prompts of about one length.
struct Prompts {
  double count = 0;
  double tokens = 0;
  double objective_ms = 0;  ///< For the first event.
  double ranks = 0;         ///< 0 is the most urgent.
  double MeanTokens() const;
  double MeanObjectiveMs() const;
  double MeanRank() const;
};

/// The prompts of one service as this daemon sees them, and the bound that it
/// has learned from their first events.
struct Mix {
  Prompts shorts;
  Prompts longs;
  TimePoint updated;
  /// Prompt tokens under way at an engine beyond which first events were late;
  /// 0 until some were.
  double bound_tokens = 0;
  double shorts_on_time = 1;  ///< Smoothed share of first events.
};

/// A prompt as an engine sees it.
struct Prompt {
  int tokens = 0;  ///< To be read.
  double objective_ms = 0;
  int rank = 0;
};

/// Counts a prompt. Those with an objective that is far off yield to others and
/// are not to be counted.
void RecordPrompt(Mix* mix, const Prompt& prompt, TimePoint now);

/// Returns whether long and short prompts meet: enough of both, and reading a
/// long one takes a noticeable share of the objective of the short ones.
bool IsMixed(const Mix& mix, double tokens_per_ms);

/// Returns whether the prompt is one of the long ones.
bool IsLong(const Mix& mix, int tokens);

/// Adapts the bound and the share of short prompts on time to a first event
/// that came after `first_event_ms`. `under_way` are the prompt tokens at the
/// engine as known at the send, its own included.
void RecordFirstEvent(Mix* mix,
                      const Prompt& prompt,
                      double first_event_ms,
                      int under_way,
                      double tokens_per_ms);

/// Returns the rank that a prompt has at engines. A long one gets that of the
/// short ones, so that they do not interrupt it while it is read, as long as
/// they are on time: an interrupted prompt is read again from its start.
int RankOf(const Mix& mix, const Prompt& prompt);

/// Returns the prompt tokens that should be under way at an engine at most.
double BoundTokens(const Mix& mix, double tokens_per_ms);

/// An engine as known before the prompt is placed.
struct EngineState {
  int running = 0;        ///< Requests, with and without a first event.
  int prompt_tokens = 0;  ///< Of those without a first event.
  double tokens_per_ms = 1;
  double run_ms = 1;  ///< Typical time of a request from its first event.
};

/// Returns the cost of reading a prompt at an engine for the requests that are
/// there or come while it is read, in ms: those whose first event it delays
/// beyond their objective, streams whose pauses grow, and what lies beyond the
/// bound. The time for the prompt itself is not included.
double CostForOthersMs(const Mix& mix, const EngineState& engine, int tokens);

}  // namespace coltsfootvane::prefill

#endif  // COLTSFOOTVANE_PREFILL_PREFILL_H_
