#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "http/server.h"
#include "standins/service_standin/service_standin.h"

namespace {

namespace http = coltsfootvane::http;
using coltsfootvane::standins::ServiceStandin;

constexpr unsigned kThreads = 128;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Stands in for a plain service in tests");
  std::string listen;
  int work_ms = 5;
  app.add_option("--listen", listen, "host:port")->required();
  app.add_option("--work-ms", work_ms, "time of one call");
  CLI11_PARSE(app, argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  ServiceStandin service(work_ms);
  http::ServerOptions options;
  options.listen = http::ParseAddress(listen);
  options.threads = kThreads;
  auto server = http::Server::Start(
      options,
      [&service](const http::Request& request, http::ReplyStream& reply) {
        service.Handle(request, reply);
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
