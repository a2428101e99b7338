#ifndef COLTSFOOTVANE_LOG_EXPLAIN_H_
#define COLTSFOOTVANE_LOG_EXPLAIN_H_

#include <gsl/span>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootvane {

/// A line of DecisionLog.
struct LogLine {
  std::string text;  ///< From `time=` on.
  double time_s = 0;
  std::string request;  ///< Empty for a line about the process.
  std::string endpoint;
  std::string model;
  std::string process;
  std::vector<std::string> parts;  ///< Of a prompt, or of a quarantine.
};

/// Why a line is part of the story of a request.
enum class LineReason {
  kRequest,   ///< It is about the request itself.
  kProcess,   ///< What the daemon that decided believed.
  kEndpoint,  ///< It is about an endpoint that the request was sent to.
  kModel,     ///< It is about the model that was asked for.
  kPart,      ///< It is about a quarantine of parts of its prompt.
};

struct StoryLine {
  LogLine line;
  LineReason reason = LineReason::kRequest;
};

/// Reads the lines that have a time; what stands before it, as some collectors
/// write, is left out.
std::vector<LogLine> ReadLogLines(std::string_view text);

/// Returns the story of a request in order of time: its own lines, what the
/// daemons that decided believed, and what happened to its endpoints and its
/// model shortly before and after. Empty if no line is about the request.
std::vector<StoryLine> Explain(gsl::span<const LogLine> lines,
                               std::string_view request);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_LOG_EXPLAIN_H_
