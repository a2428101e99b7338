#include <easylogging++.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <string>

#include "http/server.h"
#include "standins/platform_standin/object_api.h"

INITIALIZE_EASYLOGGINGPP

namespace {

using coltsfootvane::http::ParseAddress;
using coltsfootvane::http::ReplyStream;
using coltsfootvane::http::Request;
using coltsfootvane::http::Server;
using coltsfootvane::http::ServerOptions;
using coltsfootvane::standin::ObjectApi;
using coltsfootvane::standin::ObjectApiOptions;

/// Values up to 1 MB are accepted; JSON and metadata add to that.
constexpr std::size_t kMaxBodyBytes = 1280UL * 1024;

int WaitForSignal(const sigset_t& signals) {
  int signal = 0;
  sigwait(&signals, &signal);
  return signal;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Stand-in for the platform's object API");
  ObjectApiOptions options;
  ServerOptions server_options;
  std::string listen;
  int watch_seconds = 10;
  server_options.threads = 256;
  server_options.max_body_bytes = kMaxBodyBytes;
  app.add_option("--listen", listen, "HOST:PORT")->required();
  app.add_option("--writes-per-s", options.writes_per_s, "0 refuses all");
  app.add_option("--reads-per-s", options.reads_per_s, "Watches included");
  app.add_option("--watch-seconds", watch_seconds, "Longest wait of a watch");
  app.add_option("--log-size", options.log_size, "Changes kept of each kind");
  app.add_option("--threads", server_options.threads,
                 "Calls in progress, waiting watches included");
  CLI11_PARSE(app, argc, argv);
  options.watch_time = std::chrono::seconds{watch_seconds};
  server_options.listen = ParseAddress(listen);

  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  ObjectApi api(options);
  const auto server = Server::Start(
      server_options, [&api](const Request& request, ReplyStream& reply) {
        api.Handle(request, reply);
      });
  if (!server) {
    std::fprintf(stderr, "%s\n", server.error().message.c_str());
    return 1;
  }
  WaitForSignal(signals);
  api.Stop();
  server.value()->Stop();
  return 0;
}
