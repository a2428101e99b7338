#include "prefill/prefill.h"

#include <algorithm>
#include <cmath>

namespace coltsfootvane::prefill {
namespace {

/// Long enough for a daemon with a few requests a second to see both kinds.
constexpr double kTimeConstantS = 20;
/// Prompts from this multiple of the mean on are long.
constexpr double kLongFactor = 1.5;
/// Of both kinds together, and of each, that make a mix.
constexpr double kMinPrompts = 12;
constexpr double kMinShare = 0.03;
constexpr double kMinRatio = 2;
/// Least time to read a long prompt, as a share of the objective of short ones.
/// Below, even several in a row make no short one late.
constexpr double kNoticeableShare = 0.08;

/// The bound begins at, and stays between, what is read in these shares of the
/// objective.
constexpr double kFirstBoundShare = 0.5;
constexpr double kMinBoundShare = 0.2;
constexpr double kMaxBoundShare = 1.5;
/// A late first event lowers the bound by a tenth, and one on time raises it a
/// little: it rests where about one in ten is late.
constexpr double kLowered = 0.9;
constexpr double kRaised = 1.01;
/// First events with less under way say nothing about the bound.
constexpr double kNearBound = 0.5;

/// Share of the objective that the prompts ahead of a short request may take.
constexpr double kReadShare = 0.5;
/// Cost of a late first event, in objectives.
constexpr double kLateCost = 1;
/// Cost of a pause that grows by a ms, in ms. A pause is far from its limit as
/// long as an engine reads in chunks.
constexpr double kPauseCost = 0.02;
/// Cost of a ms of reading beyond the bound.
constexpr double kBeyondBoundCost = 3;
/// Long prompts are as urgent as short ones while this share of the latter is
/// on time. With 0.8 short ones lose in trials what long ones gain.
constexpr double kSlackOnTime = 0.95;
constexpr double kNewEventWeight = 1.0 / 32;

void Decay(Prompts* prompts, double factor) {
  prompts->count *= factor;
  prompts->tokens *= factor;
  prompts->objective_ms *= factor;
  prompts->ranks *= factor;
}

}  // namespace

double Prompts::MeanTokens() const {
  return this->count > 0 ? this->tokens / this->count : 0;
}

double Prompts::MeanObjectiveMs() const {
  return this->count > 0 ? this->objective_ms / this->count : 0;
}

double Prompts::MeanRank() const {
  return this->count > 0 ? this->ranks / this->count : 0;
}

bool IsLong(const Mix& mix, int tokens) {
  const double count = mix.shorts.count + mix.longs.count;
  return count > 0 &&
         tokens * count >= kLongFactor * (mix.shorts.tokens + mix.longs.tokens);
}

void RecordPrompt(Mix* mix, const Prompt& prompt, TimePoint now) {
  const std::chrono::duration<double> elapsed = now - mix->updated;
  const double factor =
      std::exp(-std::max(0.0, elapsed.count()) / kTimeConstantS);
  mix->updated = now;
  Decay(&mix->shorts, factor);
  Decay(&mix->longs, factor);
  Prompts& prompts = IsLong(*mix, prompt.tokens) ? mix->longs : mix->shorts;
  prompts.count += 1;
  prompts.tokens += prompt.tokens;
  prompts.objective_ms += prompt.objective_ms;
  prompts.ranks += prompt.rank;
}

bool IsMixed(const Mix& mix, double tokens_per_ms) {
  const double count = mix.shorts.count + mix.longs.count;
  if (count < kMinPrompts ||
      std::min(mix.shorts.count, mix.longs.count) < kMinShare * count ||
      mix.longs.MeanTokens() < kMinRatio * mix.shorts.MeanTokens())
    return false;
  return mix.longs.MeanTokens() / tokens_per_ms >=
         kNoticeableShare * mix.shorts.MeanObjectiveMs();
}

double BoundTokens(const Mix& mix, double tokens_per_ms) {
  const double unit = mix.shorts.MeanObjectiveMs() * tokens_per_ms;
  return mix.bound_tokens > 0
             ? std::clamp(mix.bound_tokens, kMinBoundShare * unit,
                          kMaxBoundShare * unit)
             : kFirstBoundShare * unit;
}

void RecordFirstEvent(Mix* mix,
                      const Prompt& prompt,
                      double first_event_ms,
                      int under_way,
                      double tokens_per_ms) {
  const bool on_time = first_event_ms <= prompt.objective_ms;
  if (!IsLong(*mix, prompt.tokens))
    mix->shorts_on_time +=
        kNewEventWeight * ((on_time ? 1 : 0) - mix->shorts_on_time);
  const double bound = BoundTokens(*mix, tokens_per_ms);
  if (under_way < kNearBound * bound)
    return;
  mix->bound_tokens = bound * (on_time ? kRaised : kLowered);
  mix->bound_tokens = BoundTokens(*mix, tokens_per_ms);
}

int RankOf(const Mix& mix, const Prompt& prompt) {
  if (!IsLong(mix, prompt.tokens) || mix.shorts_on_time < kSlackOnTime)
    return prompt.rank;
  const int rank_of_shorts =
      static_cast<int>(std::lround(mix.shorts.MeanRank()));
  return std::min(prompt.rank, rank_of_shorts);
}

double CostForOthersMs(const Mix& mix, const EngineState& engine, int tokens) {
  const double read_ms = tokens / engine.tokens_per_ms;
  const double after_tokens = engine.prompt_tokens + tokens;
  const double objective_ms = mix.shorts.MeanObjectiveMs();
  // Requests arrive as others end.
  const double arrivals_per_ms = engine.running / std::max(1.0, engine.run_ms);
  const double late_ms = std::clamp(
      after_tokens / engine.tokens_per_ms - kReadShare * objective_ms, 0.0,
      read_ms);
  const double late = arrivals_per_ms * late_ms * kLateCost * objective_ms;
  const double pauses = engine.running * read_ms * kPauseCost;
  const double bound = BoundTokens(mix, engine.tokens_per_ms);
  const double beyond_ms =
      std::clamp((after_tokens - bound) / engine.tokens_per_ms, 0.0, read_ms);
  return late + pauses + beyond_ms * kBeyondBoundCost;
}

}  // namespace coltsfootvane::prefill
