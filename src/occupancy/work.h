#ifndef COLTSFOOTVANE_OCCUPANCY_WORK_H_
#define COLTSFOOTVANE_OCCUPANCY_WORK_H_

namespace coltsfootvane::occupancy {

/// Work in progress at an endpoint, of one daemon or summed over several.
struct EndpointWork {
  int running = 0;
  int prompt_tokens = 0;  ///< Of requests without a first event so far.
  /// Of these, requests that an engine interrupts for others, whether they have
  /// had an event or not, and their tokens; see Admission::yields.
  int yielding = 0;
  int yielding_tokens = 0;
};

inline bool operator==(const EndpointWork& a, const EndpointWork& b) {
  return a.running == b.running && a.prompt_tokens == b.prompt_tokens &&
         a.yielding == b.yielding && a.yielding_tokens == b.yielding_tokens;
}

}  // namespace coltsfootvane::occupancy

#endif  // COLTSFOOTVANE_OCCUPANCY_WORK_H_
