#ifndef COLTSFOOTVANE_GATEWAY_SILENCE_PROBE_H_
#define COLTSFOOTVANE_GATEWAY_SILENCE_PROBE_H_

#include "gateway/endpoint.h"

namespace coltsfootvane::gateway {

struct Gateway;

/// Finds out by connections whether a silent endpoint can still be reached, and
/// ejects it and ends the sends of this daemon there if not. Nothing is sent.
void ProbeSilentEndpoint(Gateway* gateway, const EndpointPtr& endpoint);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_SILENCE_PROBE_H_
