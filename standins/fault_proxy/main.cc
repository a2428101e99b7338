#include <easylogging++.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <string>

#include "http/server.h"
#include "standins/fault_proxy/proxy.h"

INITIALIZE_EASYLOGGINGPP

namespace {

using coltsfootvane::Result;
using coltsfootvane::http::ParseAddress;
using coltsfootvane::http::ReplyStream;
using coltsfootvane::http::Request;
using coltsfootvane::http::Response;
using coltsfootvane::http::Server;
using coltsfootvane::http::ServerOptions;
using coltsfootvane::standin::ParseProxyFaults;
using coltsfootvane::standin::Proxy;
using coltsfootvane::standin::ProxyFaults;

constexpr unsigned kControlThreads = 4;

Response JsonResponse(int status, const std::string& body) {
  return {status, {{"Content-Type", "application/json"}}, body};
}

Response HandleControl(const Request& request, Proxy* proxy) {
  if (request.method == "GET" && request.path == "/control/stats")
    return JsonResponse(200, proxy->FormatStats());
  if (request.method != "POST" || request.path != "/control/faults")
    return JsonResponse(404, R"({"message":"no such path"})");
  const Result<ProxyFaults> faults = ParseProxyFaults(request.body);
  if (!faults)
    return JsonResponse(400, R"({"message":"malformed faults"})");
  if (!proxy->SetFaults(faults.value()))
    return JsonResponse(503, R"({"message":"cannot listen again"})");
  return JsonResponse(200, "{}");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("TCP proxy that loses, delays and cuts on request");
  std::string listen;
  std::string target;
  std::string control;
  app.add_option("--listen", listen, "HOST:PORT")->required();
  app.add_option("--target", target, "HOST:PORT")->required();
  app.add_option("--control", control, "HOST:PORT of the control API")
      ->required();
  CLI11_PARSE(app, argc, argv);

  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  Proxy proxy(ParseAddress(listen), ParseAddress(target));
  if (!proxy.Start()) {
    std::fprintf(stderr, "%s: cannot listen\n", listen.c_str());
    return 1;
  }
  ServerOptions options;
  options.listen = ParseAddress(control);
  options.threads = kControlThreads;
  const auto server = Server::Start(
      options, [&proxy](const Request& request, ReplyStream& reply) {
        reply.Send(HandleControl(request, &proxy));
      });
  if (!server) {
    std::fprintf(stderr, "%s\n", server.error().message.c_str());
    return 1;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  server.value()->Stop();
  return 0;
}
