#ifndef COLTSFOOTVANE_OCCUPANCY_PLACE_LIMIT_H_
#define COLTSFOOTVANE_OCCUPANCY_PLACE_LIMIT_H_

#include "base/clock.h"

namespace coltsfootvane::occupancy {

/// The number of requests at which an endpoint was last seen to refuse one. A
/// load tracker learns it from the daemons.
struct PlaceLimit {
  int running = 0;  ///< 0 if no refusal is known.
  TimePoint refused_at;
};

/// Records a refusal at an endpoint that then had `running` other requests.
void RecordRefusalAt(int running, TimePoint now, PlaceLimit* limit);

/// Returns the number of requests that the endpoint is believed to take, 0 if
/// that is not known. It grows after a refusal, which may have had a
/// passing cause.
int CurrentLimit(const PlaceLimit& limit, TimePoint now);

}  // namespace coltsfootvane::occupancy

#endif  // COLTSFOOTVANE_OCCUPANCY_PLACE_LIMIT_H_
