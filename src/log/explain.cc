#include "log/explain.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <set>
#include <utility>

namespace coltsfootvane {
namespace {

/// Lines about endpoints and models are shown from this long before the first
/// line of the request to as long after its last.
constexpr double kBeforeS = 10;
constexpr double kAfterS = 2;

std::string ValueOf(std::string_view text, std::string_view key) {
  const std::string marker = " " + std::string(key) + "=";
  const std::size_t at = text.find(marker);
  if (at == std::string_view::npos)
    return {};
  const std::string_view value = text.substr(at + marker.size());
  return std::string(value.substr(0, value.find(' ')));
}

/// Splits a list at its commas.
std::vector<std::string> ItemsOf(std::string_view list) {
  std::vector<std::string> items;
  while (!list.empty()) {
    const std::size_t end = list.find(',');
    items.emplace_back(list.substr(0, end));
    list.remove_prefix(end == std::string_view::npos ? list.size() : end + 1);
  }
  return items;
}

std::optional<LogLine> ReadLine(std::string_view text) {
  constexpr std::string_view kTime = "time=";
  const std::size_t at = text.find(kTime);
  if (at == std::string_view::npos)
    return std::nullopt;
  LogLine line;
  line.text = std::string(text.substr(at));
  line.time_s = std::strtod(line.text.c_str() + kTime.size(), nullptr);
  line.request = ValueOf(line.text, "request");
  line.endpoint = ValueOf(line.text, "endpoint");
  line.model = ValueOf(line.text, "model");
  if (line.model.empty())
    line.model = ValueOf(line.text, "load");
  line.process = ValueOf(line.text, "process");
  line.parts = ItemsOf(ValueOf(line.text, "parts"));
  return line;
}

/// What the lines of a request name.
struct Subject {
  std::set<std::string> processes;
  std::set<std::string> endpoints;
  std::set<std::string> models;
  std::set<std::string> parts;
  double first_s = 0;
  double last_s = 0;
};

std::optional<Subject> FindSubject(gsl::span<const LogLine> lines,
                                   std::string_view request) {
  std::optional<Subject> subject;
  for (const LogLine& line : lines) {
    if (line.request != request)
      continue;
    if (!subject)
      subject = Subject{{}, {}, {}, {}, line.time_s, line.time_s};
    subject->first_s = std::min(subject->first_s, line.time_s);
    subject->last_s = std::max(subject->last_s, line.time_s);
    subject->processes.insert(line.process);
    if (!line.endpoint.empty())
      subject->endpoints.insert(line.endpoint);
    if (!line.model.empty())
      subject->models.insert(line.model);
    subject->parts.insert(line.parts.begin(), line.parts.end());
  }
  return subject;
}

bool HasAll(const std::set<std::string>& set,
            gsl::span<const std::string> items) {
  return std::all_of(items.begin(), items.end(),
                     [&set](const auto& item) { return set.count(item) > 0; });
}

/// Returns why the line is part of the story, if it is.
std::optional<LineReason> ReasonOf(const LogLine& line,
                                   const Subject& subject,
                                   std::string_view request) {
  if (line.request == request)
    return LineReason::kRequest;
  // A quarantine may have begun long before.
  if (line.request.empty() && !line.parts.empty() &&
      line.time_s <= subject.last_s)
    return HasAll(subject.parts, line.parts)
               ? std::optional<LineReason>(LineReason::kPart)
               : std::nullopt;
  const bool near = line.time_s >= subject.first_s - kBeforeS &&
                    line.time_s <= subject.last_s + kAfterS;
  if (!line.request.empty() || !near)
    return std::nullopt;
  if (!line.endpoint.empty() && subject.endpoints.count(line.endpoint) > 0)
    return LineReason::kEndpoint;
  if (!line.model.empty() && subject.models.count(line.model) > 0)
    return LineReason::kModel;
  const bool about_process = line.endpoint.empty() && line.model.empty();
  if (about_process && subject.processes.count(line.process) > 0)
    return LineReason::kProcess;
  return std::nullopt;
}

/// Several daemons write the same of an endpoint; the first one is kept.
std::string WithoutWriter(const LogLine& line) {
  const std::size_t event = line.text.find(" event=");
  return event == std::string::npos ? line.text : line.text.substr(event);
}

}  // namespace

std::vector<LogLine> ReadLogLines(std::string_view text) {
  std::vector<LogLine> lines;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    if (auto line = ReadLine(text.substr(0, end)))
      lines.push_back(std::move(*line));
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  }
  return lines;
}

std::vector<StoryLine> Explain(gsl::span<const LogLine> lines,
                               std::string_view request) {
  const std::optional<Subject> subject = FindSubject(lines, request);
  if (!subject)
    return {};
  std::vector<StoryLine> story;
  for (const LogLine& line : lines) {
    if (const auto reason = ReasonOf(line, *subject, request))
      story.push_back({line, *reason});
  }
  std::stable_sort(story.begin(), story.end(),
                   [](const StoryLine& a, const StoryLine& b) {
                     return a.line.time_s < b.line.time_s;
                   });
  std::set<std::string> seen;
  const auto repeated = [&seen](const StoryLine& one) {
    return (one.reason == LineReason::kEndpoint ||
            one.reason == LineReason::kModel ||
            one.reason == LineReason::kPart) &&
           !seen.insert(WithoutWriter(one.line)).second;
  };
  story.erase(std::remove_if(story.begin(), story.end(), repeated),
              story.end());
  return story;
}

}  // namespace coltsfootvane
