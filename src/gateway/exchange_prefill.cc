#include "gateway/exchange.h"
#include "gateway/gateway.h"

namespace coltsfootvane::gateway {

prefill::Prompt Exchange::DescribePrompt() const {
  prefill::Prompt prompt;
  prompt.tokens = TokensToPrefill(this->info, true);
  prompt.objective_ms =
      static_cast<double>(this->route->target_latency.count());
  prompt.rank = this->Rank();
  return prompt;
}

void Exchange::RecordPrompt(TimePoint now) {
  if (!HasFarObjective(*this->route))
    prefill::RecordPrompt(&this->gateway->traffic.mixes[this->service],
                          this->DescribePrompt(), now);
}

void Exchange::RecordFirstEvent() {
  if (this->engine == nullptr || HasFarObjective(*this->route))
    return;
  prefill::RecordFirstEvent(&this->gateway->traffic.mixes[this->service],
                            this->DescribePrompt(), this->first_event_ms,
                            this->tokens_under_way, kPromptTokensPerMs);
}

/// Returns the rank at engines. That of a team is never changed: it orders
/// teams, not prompts.
int Exchange::EngineRank() const {
  const prefill::Mix* const mix = MixOf(this->gateway->traffic, this->service);
  const bool has_own = this->team != nullptr && this->team->rank;
  if (mix == nullptr || has_own || HasFarObjective(*this->route))
    return this->Rank();
  const prefill::Prompt prompt = this->DescribePrompt();
  const int rank = prefill::RankOf(*mix, prompt);
  if (prefill::IsLong(*mix, prompt.tokens))
    this->gateway->metrics.CountLongPrompt(this->service, rank < prompt.rank);
  return rank;
}

}  // namespace coltsfootvane::gateway
