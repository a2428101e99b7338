#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "http/server.h"
#include "standins/engine_standin/engine_standin.h"

namespace {

namespace http = coltsfootvane::http;
using coltsfootvane::standins::EngineOptions;
using coltsfootvane::standins::EngineStandin;

constexpr unsigned kThreads = 256;

void AddOptions(CLI::App* app, EngineOptions* options) {
  app->add_option("--listen", options->listen, "host:port")->required();
  app->add_option("--id", options->id, "endpoint id");
  app->add_option("--memory-mb", options->memory_mb, "accelerator memory")
      ->required();
  app->add_option("--slots", options->slots, "concurrent generations")
      ->check(CLI::PositiveNumber);
  app->add_option("--load-ms", options->load_ms, "time of a model load");
  app->add_option("--adapter-load-ms", options->adapter_load_ms,
                  "time of an adapter load");
  app->add_option("--first-token-ms", options->first_token_ms,
                  "time to the first token");
  app->add_option("--token-ms", options->token_ms, "time per later token");
  app->add_option("--knee", options->knee,
                  "generations from which tokens slow down")
      ->check(CLI::PositiveNumber);
  app->add_flag("--checks-fencing", options->checks_fencing,
                "refuse outdated fencing numbers");
  app->add_option("--tokens", options->tokens,
                  "length when max_tokens is absent");
  app->add_option("--load-report-lag-ms", options->load_report_lag_ms,
                  "lag of /metrics")
      ->check(CLI::PositiveNumber);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Stands in for a model engine in tests");
  EngineOptions options;
  AddOptions(&app, &options);
  CLI11_PARSE(app, argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  EngineStandin engine(options);
  http::ServerOptions server_options;
  server_options.listen = http::ParseAddress(options.listen);
  server_options.threads = kThreads;
  auto server = http::Server::Start(
      server_options,
      [&engine](const http::Request& request, http::ReplyStream& reply) {
        engine.Handle(request, reply);
      });
  if (!server) {
    std::cerr << server.assume_error().message << '\n';
    return 1;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  server.assume_value()->Stop();
  return 0;
}
