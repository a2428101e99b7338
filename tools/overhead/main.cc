#include <easylogging++.h>
#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/client.h"
#include "http/message.h"

INITIALIZE_EASYLOGGINGPP

namespace {

using coltsfootvane::Clock;
using coltsfootvane::Milliseconds;
using coltsfootvane::Result;
using coltsfootvane::TimePoint;
namespace http = coltsfootvane::http;

constexpr Milliseconds kTimeout{10000};

struct Options {
  std::string entry;
  std::string engine;
  std::string api_key;
  std::string model;
  int calls = 500;
};

/// Returns the time to the first event in ms, or a negative number.
double TimeToFirstEvent(const http::Address& peer, const Options& options) {
  const nlohmann::json body = {
      {"model", options.model},
      {"messages", {{{"role", "user"}, {"content", "overhead"}}}},
      {"max_tokens", 2},
      {"seed", 1},
      {"stream", true}};
  const http::Request request = {
      "POST",
      "/v1/chat/completions",
      "",
      {{"Authorization", "Bearer " + options.api_key},
       {"X-Request-Id", "overhead"}},
      body.dump()};
  const TimePoint start = Clock::now();
  double first_ms = -1;
  http::StreamHandler handler;
  handler.on_data = [&](std::string_view) {
    if (first_ms < 0)
      first_ms = std::chrono::duration<double, std::milli>(Clock::now() - start)
                     .count();
    return true;
  };
  const Result<int> status = http::StreamCall(
      {peer, start + kTimeout, start + kTimeout}, request, handler);
  return status && status.assume_value() == 200 ? first_ms : -1;
}

double Quantile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return values[index];
}

}  // namespace

/// Compares the time to the first event through an entry daemon with the same
/// call made to the engine itself, in turn, so that both see the same noise.
int main(int argc, char** argv) {
  CLI::App app("Measures the time that an entry adds to the first token");
  Options options;
  app.add_option("--entry", options.entry, "host:port")->required();
  app.add_option("--engine", options.engine, "host:port")->required();
  app.add_option("--api-key", options.api_key, "of a caller")->required();
  app.add_option("--model", options.model, "ready on the engine")->required();
  app.add_option("--calls", options.calls, "on each path");
  CLI11_PARSE(app, argc, argv);
  std::vector<double> through;
  std::vector<double> direct;
  for (int i = 0; i < options.calls; ++i) {
    through.push_back(
        TimeToFirstEvent(http::ParseAddress(options.entry), options));
    direct.push_back(
        TimeToFirstEvent(http::ParseAddress(options.engine), options));
  }
  for (const auto* path : {&through, &direct}) {
    if (std::any_of(path->begin(), path->end(),
                    [](double value) { return value < 0; })) {
      std::cerr << "a call failed\n";
      return 1;
    }
  }
  for (const double share : {0.5, 0.99}) {
    const double entry_ms = Quantile(through, share);
    const double engine_ms = Quantile(direct, share);
    std::cout << "quantile " << share << ": entry " << entry_ms
              << " ms, engine " << engine_ms << " ms, difference "
              << entry_ms - engine_ms << " ms, ratio " << entry_ms / engine_ms
              << '\n';
  }
  return 0;
}
