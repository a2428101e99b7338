#include "command_explain.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "exit_codes.h"
#include "log/explain.h"
#include "output.h"

namespace coltsfootvane {
namespace {

std::string ReadAll(std::istream& stream) {
  return {std::istreambuf_iterator<char>(stream),
          std::istreambuf_iterator<char>()};
}

const char* ReasonName(LineReason reason) {
  switch (reason) {
    case LineReason::kRequest:
      return "request ";
    case LineReason::kProcess:
      return "daemon  ";
    case LineReason::kEndpoint:
      return "endpoint";
    case LineReason::kModel:
      return "model   ";
    case LineReason::kPart:
      return "part    ";
  }
  return "request ";
}

int RunExplain(const std::string& request,
               const std::vector<std::string>& paths) {
  std::string text;
  if (paths.empty())
    text = ReadAll(std::cin);
  for (const std::string& path : paths) {
    std::ifstream file(path);
    if (!file) {
      std::cerr << path << ": cannot be read\n";
      return kExitFailure;
    }
    text += ReadAll(file) + '\n';
  }
  const std::vector<LogLine> lines = ReadLogLines(text);
  const std::vector<StoryLine> story = Explain(lines, request);
  if (story.empty()) {
    std::cerr << "no line is about request " << request << " among "
              << lines.size() << " log lines\n";
    return kExitFailure;
  }
  for (const StoryLine& one : story)
    PrintLine(std::string(ReasonName(one.reason)) + " " + one.line.text);
  return kExitOk;
}

}  // namespace

void AddExplainCommand(CLI::App* app, int* exit_code) {
  const auto request = std::make_shared<std::string>();
  const auto paths = std::make_shared<std::vector<std::string>>();
  CLI::App* const command = app->add_subcommand(
      "explain", "Print the story of a request from the daemons' logs");
  command->add_option("request", *request, "Id of the request")
      ->type_name("REQUEST-ID")
      ->required();
  command
      ->add_option("logs", *paths,
                   "Log files of all daemons; standard input if none is named")
      ->type_name("FILE");
  command->footer(
      "Example:\n  cat /var/log/coltsfootvane/*.log | coltsfootvane explain "
      "7c5cd824d0f501e1");
  command->callback([request, paths, exit_code] {
    *exit_code = RunExplain(*request, *paths);
  });
}

}  // namespace coltsfootvane
