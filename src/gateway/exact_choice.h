#ifndef COLTSFOOTVANE_GATEWAY_EXACT_CHOICE_H_
#define COLTSFOOTVANE_GATEWAY_EXACT_CHOICE_H_

#include <gsl/span>
#include <vector>

#include "gateway/choice.h"
#include "occupancy/plain_rule.h"

namespace coltsfootvane::gateway {

/// Draws the endpoints whose load trackers are asked, of those that are not
/// among `asked`: all of a small plain service, otherwise
/// occupancy::kCandidates by reports. Of engines the one preferred for the
/// cached parts of the prompt is among them.
std::vector<EndpointPtr> DrawLoadCandidates(
    gsl::span<const EndpointPtr> endpoints,
    const ChoiceInput& input,
    gsl::span<const EndpointPtr> asked);

/// Chooses between candidates whose load trackers have been asked at
/// `asked_at`. `input` must have the same seed as for their draw. The verdict
/// is kNoEndpoint if none of them can be used any more.
Choice ChooseExact(gsl::span<const EndpointPtr> candidates,
                   const ChoiceInput& input,
                   TimePoint asked_at);

struct PlainChoice {
  Choice choice;  ///< With occupancy::PlainVerdict::kSend.
  occupancy::PlainDecision decision;
};

/// The same for a plain service. The verdict of the choice is kNoEndpoint if no
/// candidate can be used any more; `decision` says nothing then.
PlainChoice ChoosePlain(gsl::span<const EndpointPtr> candidates,
                        const ChoiceInput& input,
                        const occupancy::PlainRequest& request,
                        TimePoint asked_at);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_EXACT_CHOICE_H_
