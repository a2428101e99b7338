#ifndef COLTSFOOTVANE_TESTS_SUPPORT_PROMPT_FLEET_H_
#define COLTSFOOTVANE_TESTS_SUPPORT_PROMPT_FLEET_H_

#include <algorithm>

namespace coltsfootvane::testing {

/// Requests with short prompts (kind 0) and long ones (kind 1).
struct PromptDay {
  double load;        ///< Of the capacity.
  double long_share;  ///< Of the requests.
  bool bursts;        ///< Long prompts come in bursts.
  bool held;          ///< Prefixes are shared with earlier requests.
  unsigned seed;
  int report_ms;  ///< Age of what daemons know of each other.
};

struct PromptOutcome {
  int asked[2] = {0, 0};
  int on_time[2] = {0, 0};
  int interrupted = 0;
  double OnTime(int kind) const {
    return static_cast<double>(this->on_time[kind]) /
           std::max(1, this->asked[kind]);
  }
};

/// Plays a day with engines that read prompts in chunks between the tokens of
/// their batch, and with daemons that place requests there. Deterministic.
/// `aware`: long and short prompts are weighed against each other.
PromptOutcome PlayDay(const PromptDay& day, bool aware);

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_SUPPORT_PROMPT_FLEET_H_
