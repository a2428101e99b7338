#ifndef COLTSFOOTVANE_TOOLS_LOADTOOL_RESULTS_H_
#define COLTSFOOTVANE_TOOLS_LOADTOOL_RESULTS_H_

#include <array>
#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "config/configuration.h"

namespace coltsfootvane::loadtool {

/// Seconds on a logarithmic axis.
using Durations = boost::histogram::histogram<std::tuple<
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>>>;

Durations MakeDurations();

/// Returns the `quantile` (0 to 1) in seconds, the upper edge of its bin; 0 if
/// there are no values.
double QuantileOf(const Durations& durations, double quantile);

enum class Ending {
  kCompleted,
  kRefused,     ///< 429 or 503 before a token.
  kFailed,      ///< Any other error, or a stream that was cut.
  kUnfinished,  ///< In progress at the end of the scene.
};

/// What came of one request. Times are in seconds from the intended start.
struct Outcome {
  Priority priority = Priority::kInteractive;
  Ending ending = Ending::kFailed;
  std::string reason;  ///< Of a refusal or failure.
  bool late = false;   ///< Sent late for want of a thread.
  double end_s = 0;
  double first_token_s = -1;  ///< Negative without a token.
  std::vector<double> gaps_s;
};

/// Collects the outcomes of all classes. Thread safe.
class Results {
 public:
  explicit Results(const Configuration& configuration);

  void Add(const Outcome& outcome);

  /// Counts a request, of the warm-up too.
  void CountSent();

  /// Returns the figures of each class and of all, counted over `counted_s`.
  nlohmann::json ToJson(double counted_s) const;

 private:
  struct ClassResults {
    PriorityClass targets;
    int offered = 0;
    int late = 0;
    int attained = 0;
    int in_time = 0;  ///< Completed within the deadline.
    std::array<int, 4> endings{};
    std::map<std::string, int> reasons;
    Durations refusal = MakeDurations();
    Durations first_token = MakeDurations();
    Durations gap = MakeDurations();
  };

  static nlohmann::json ClassToJson(const ClassResults& one, double counted_s);

  mutable std::mutex mutex;
  int sent_all = 0;
  std::array<ClassResults, kPriorityCount> classes;
};

}  // namespace coltsfootvane::loadtool

#endif  // COLTSFOOTVANE_TOOLS_LOADTOOL_RESULTS_H_
