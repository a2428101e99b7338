// Three of six daemons lose power for good. Later the operator moves a route
// to another service. Do the daemons that are left apply the change in time?

#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "../standins/site.h"

namespace {

using nlohmann::json;
using review::Now;

constexpr int kDaemons = 6;
constexpr int kLost = 3;
/// What `serializable` reads may be behind: "data that is seconds old".
constexpr double kStaleS = 4;
constexpr double kConfigApplyS = 2;
constexpr double kProbeS = 8;

json Config(int version, const std::string& service) {
  json route = {{"name", "bookings"},     {"host", "shop.example"},
                {"pathPrefix", "/book/"}, {"routeKind", "unsafe"},
                {"timeoutMs", 4000},      {"targetLatencyMs", 300},
                {"priority", 0},          {"service", service},
                {"maxAttempts", 1}};
  const auto plain = [](const char* name) {
    return json{
        {"name", name}, {"healthPath", "/healthz"}, {"maxConnections", 200}};
  };
  return {{"version", version},
          {"routes", json::array({route})},
          {"services", json::array({plain("ledger-a"), plain("ledger-b")})},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 10000},
            {"idleTimeoutMs", 60000}}}};
}

void StartReplica(review::Site* site,
                  const std::string& service,
                  int machine,
                  std::vector<std::unique_ptr<review::Server>>* servers) {
  const std::string ip = review::MachineIp(machine);
  const std::string id = "i-" + service;
  servers->push_back(std::make_unique<review::Server>(
      ip, review::kReplicaPort,
      [site, service](review::Connection* connection,
                      const review::Message& request) {
        const std::string request_id = request.Field("Request-Id");
        site->record.Write("run " + request_id + " by " + service);
        connection->Write(review::FormatAnswer(
            200,
            {{"Request-Id", request_id}, {"Server-Signature", "s." + service}},
            service));
      }));
  review::ReplicaEntry entry;
  entry.id = id;
  entry.service = service;
  entry.address = ip + ":" + std::to_string(review::kReplicaPort);
  site->PutEntry(entry);
}

struct Outcome {
  int late_old = 0;    ///< Sent too late for the old version, run by it.
  int late_new = 0;    ///< Sent after the bound, run by the new service.
  int unserved = 0;    ///< Of those sent after the bound.
  double longest = 0;  ///< From the ack to the last request of the old service.
};

Outcome Probe(review::Site* site, int daemon, double acked_at) {
  Outcome outcome;
  int number = 0;
  while (Now() < acked_at + kProbeS) {
    const std::string id =
        "d" + std::to_string(daemon) + "-" + std::to_string(number++);
    const review::CallResult result =
        review::Call(review::MachineIp(daemon), "POST", "/book/1",
                     {{"Request-Id", id}, {"Deadline-Ms", "4000"}}, "book", 5);
    const double after = result.sent_at - acked_at;
    const bool is_old =
        result.answer.status == 200 && result.answer.body == "ledger-a";
    site->record.Write("sent " + id + " " + std::to_string(after) +
                       " s after the ack, answer " +
                       std::to_string(result.answer.status) + " " +
                       result.answer.body);
    if (is_old)
      outcome.longest = std::max(outcome.longest, after);
    if (after > kConfigApplyS)
      ++(is_old                        ? outcome.late_old
         : result.answer.status == 200 ? outcome.late_new
                                       : outcome.unserved);
    review::SleepFor(0.05);
  }
  return outcome;
}

int Run(review::Site* site) {
  const bool trouble = review::IsTrouble();
  static std::vector<std::unique_ptr<review::Server>> servers;
  site->store.Put("config", "main", Config(1, "ledger-a"));
  StartReplica(site, "ledger-a", 101, &servers);
  StartReplica(site, "ledger-b", 102, &servers);
  for (int daemon = 1; daemon <= kDaemons; ++daemon)
    site->StartDaemon(daemon);
  if (!site->AwaitReady(20))
    return review::kNotRun;
  // The first watches of the configuration have ended by then.
  review::SleepFor(24);
  if (trouble) {
    for (int daemon = 1; daemon <= kLost; ++daemon) {
      site->record.Write("power of daemon " + std::to_string(daemon) +
                         " lost for good");
      kill(site->ProcessOf(daemon), SIGKILL);
      waitpid(site->ProcessOf(daemon), nullptr, 0);
      site->Forget(daemon);
    }
  }
  // Those left have been in touch for longer than contactMs.
  review::SleepFor(5);
  const double acked_at =
      site->store.Put("config", "main", Config(7, "ledger-b"));
  site->record.Write("version 7 acknowledged: /book/ goes to ledger-b");
  std::vector<Outcome> outcomes(kDaemons + 1);
  std::vector<std::thread> probes;
  for (int daemon = kLost + 1; daemon <= kDaemons; ++daemon)
    probes.emplace_back([site, &outcomes, daemon, acked_at] {
      outcomes[static_cast<std::size_t>(daemon)] =
          Probe(site, daemon, acked_at);
    });
  for (std::thread& probe : probes)
    probe.join();
  int late_old = 0;
  int late_new = 0;
  for (int daemon = kLost + 1; daemon <= kDaemons; ++daemon) {
    const Outcome& outcome = outcomes[static_cast<std::size_t>(daemon)];
    late_old += outcome.late_old;
    late_new += outcome.late_new;
    char line[200];
    std::snprintf(line, sizeof(line),
                  "daemon %d: sent over 2 s after the ack: %d run by the old "
                  "service, %d by the new one, %d not served; the old one "
                  "until %.3f s after the ack",
                  daemon, outcome.late_old, outcome.late_new, outcome.unserved,
                  outcome.longest);
    site->record.Write(line);
    std::puts(line);
  }
  if (late_old + late_new == 0)
    return review::kNotRun;
  return late_old > 0 ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int /*count*/, char** words) {
  auto* const site = new review::Site(words[1], kStaleS);
  site->Finish(Run(site));
}
