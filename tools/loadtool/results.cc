#include "tools/loadtool/results.h"

#include <algorithm>

namespace coltsfootvane::loadtool {
namespace {

using nlohmann::json;

// 2,000 bins over seven decades are 0.8% wide.
constexpr unsigned kBins = 2000;
constexpr double kLeastSeconds = 1e-4;
constexpr double kMostSeconds = 1e3;
constexpr double kMsPerSecond = 1000;
/// Gaps within the target that a request needs, as in "95 in 100".
constexpr double kGapShare = 0.95;

double Seconds(int milliseconds) {
  return milliseconds / kMsPerSecond;
}

json Percentiles(const Durations& durations) {
  return {{"50", kMsPerSecond * QuantileOf(durations, 0.5)},
          {"95", kMsPerSecond * QuantileOf(durations, 0.95)},
          {"99", kMsPerSecond * QuantileOf(durations, 0.99)},
          {"99.9", kMsPerSecond * QuantileOf(durations, 0.999)}};
}

bool InTime(const Outcome& outcome, const PriorityClass& targets) {
  return outcome.ending == Ending::kCompleted &&
         outcome.end_s <= Seconds(targets.completion_ms);
}

bool Attains(const Outcome& outcome, const PriorityClass& targets) {
  if (!InTime(outcome, targets) || outcome.first_token_s < 0 ||
      outcome.first_token_s > Seconds(targets.first_token_ms))
    return false;
  const double target = Seconds(targets.token_gap_ms);
  const auto within =
      std::count_if(outcome.gaps_s.begin(), outcome.gaps_s.end(),
                    [target](double s) { return s <= target; });
  return static_cast<double>(within) >=
         kGapShare * static_cast<double>(outcome.gaps_s.size());
}

double Ratio(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

}  // namespace

Durations MakeDurations() {
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  return boost::histogram::make_histogram(
      Axis{kBins, kLeastSeconds, kMostSeconds});
}

double QuantileOf(const Durations& durations, double quantile) {
  const double total = boost::histogram::algorithm::sum(durations);
  if (total <= 0)
    return 0;
  double seen = 0;
  for (const auto& bin :
       boost::histogram::indexed(durations, boost::histogram::coverage::all)) {
    seen += *bin;
    if (seen >= quantile * total)
      return bin.bin(0).upper();
  }
  return kMostSeconds;
}

Results::Results(const Configuration& configuration) {
  for (std::size_t i = 0; i < kPriorityCount; ++i)
    this->classes.at(i).targets = configuration.classes.at(i);
}

void Results::Add(const Outcome& outcome) {
  std::lock_guard<std::mutex> lock(this->mutex);
  ClassResults& one =
      this->classes.at(static_cast<std::size_t>(outcome.priority));
  ++one.offered;
  ++one.endings.at(static_cast<std::size_t>(outcome.ending));
  one.late += outcome.late ? 1 : 0;
  one.in_time += InTime(outcome, one.targets) ? 1 : 0;
  one.attained += Attains(outcome, one.targets) ? 1 : 0;
  if (!outcome.reason.empty())
    ++one.reasons[outcome.reason];
  if (outcome.ending == Ending::kRefused)
    one.refusal(outcome.end_s);
  if (outcome.first_token_s >= 0)
    one.first_token(outcome.first_token_s);
  for (const double gap_s : outcome.gaps_s)
    one.gap(gap_s);
}

void Results::CountSent() {
  std::lock_guard<std::mutex> lock(this->mutex);
  ++this->sent_all;
}

json Results::ClassToJson(const ClassResults& one, double counted_s) {
  const auto count = [&one](Ending ending) {
    return one.endings.at(static_cast<std::size_t>(ending));
  };
  return {{"sent", one.offered},
          {"sent_late", one.late},
          {"completed", count(Ending::kCompleted)},
          {"refused", count(Ending::kRefused)},
          {"failed", count(Ending::kFailed)},
          {"unfinished", count(Ending::kUnfinished)},
          {"reasons", one.reasons},
          {"refusal_ms", Percentiles(one.refusal)},
          {"first_token_ms", Percentiles(one.first_token)},
          {"token_gap_ms", Percentiles(one.gap)},
          {"attainment", Ratio(one.attained, one.offered)},
          {"goodput_per_s", Ratio(one.in_time, counted_s)}};
}

json Results::ToJson(double counted_s) const {
  std::lock_guard<std::mutex> lock(this->mutex);
  json all;
  double attained = 0;
  double offered = 0;
  int late = 0;
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    const ClassResults& one = this->classes.at(i);
    const std::string name(PriorityName(static_cast<Priority>(i)));
    all["classes"][name] = ClassToJson(one, counted_s);
    attained += one.targets.value * one.attained;
    offered += one.targets.value * one.offered;
    late += one.late;
  }
  all["worth_weighted_attainment"] = Ratio(attained, offered);
  all["sent_all"] = this->sent_all;
  all["counted_s"] = counted_s;
  if (late > 0)
    all["note"] = std::to_string(late) +
                  " requests were sent late for want of a thread; their times "
                  "count from the intended start";
  return all;
}

}  // namespace coltsfootvane::loadtool
