#ifndef COLTSFOOTVANE_OCCUPANCY_CANDIDATES_H_
#define COLTSFOOTVANE_OCCUPANCY_CANDIDATES_H_

#include <cstddef>
#include <gsl/span>
#include <optional>
#include <vector>

namespace coltsfootvane::occupancy {

/// Fleets up to this size report so often that the reports show the present
/// work. No load is asked for in them.
inline constexpr int kMaxSmallFleet = 24;
/// Engines whose load trackers are asked before a request is sent.
inline constexpr std::size_t kCandidates = 3;
/// Times that further candidates are drawn if the first ones have no room.
inline constexpr int kMaxQueryRounds = 2;

/// An endpoint that may be drawn as a candidate.
struct WeightedEndpoint {
  double weight = 0;
  double draw = 0;  ///< Uniform from 0 to 1, independent for each endpoint.
};

/// Draws up to `count` endpoints without replacement, each in proportion to its
/// weight. The one at `always` is one of them. Returns positions.
std::vector<std::size_t> DrawCandidates(
    gsl::span<const WeightedEndpoint> endpoints,
    std::size_t count,
    std::optional<std::size_t> always);

/// A candidate after the answers of the load trackers.
struct ComparedCandidate {
  double cost_ms = 0;  ///< Expected wait and penalties.
  bool exact = false;  ///< Its load tracker has answered.
  /// As for the draw by reports.
  WeightedEndpoint reported;
};

/// Returns the position of the candidate to use. Exact figures are compared
/// deterministically. Reported ones must not be, since every daemon would send
/// to the same endpoint until the next reports: a candidate without an answer
/// gets the share of requests that it gets by a draw. `candidates` must not be
/// empty.
std::size_t ChooseCandidate(gsl::span<const ComparedCandidate> candidates);

/// Returns the time, in ms, until an engine with `ahead` requests before a new
/// one has a free slot for it.
double BeginMs(int ahead, int slots, double run_ms);

}  // namespace coltsfootvane::occupancy

#endif  // COLTSFOOTVANE_OCCUPANCY_CANDIDATES_H_
