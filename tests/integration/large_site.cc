#include "large_site.h"

#include <chrono>

#include "live_daemons.h"
#include "replica_site.h"

namespace coltsfootvane::testing {

LargeSite::LargeSite() {
  GatewayOptions options;
  options.peer_port = FreePort(this->host);
  for (int i = 0; i < kDaemons; ++i) {
    options.name = "vm-" + std::to_string(i);
    this->daemons.push_back(std::make_unique<GatewayProcess>(
        &this->io, MoreLoopbackHost(i), this->store.server.AddressText(),
        options));
  }
}

void LargeSite::RunFor(Milliseconds time) {
  this->daemons[0]->RunUntil([] { return false; },
                             static_cast<int>(time.count()));
}

bool LargeSite::Start() {
  this->store.Put("config", "main", BooksConfig(1));
  this->store.Put("servers", "r1", this->replica.Entry());
  for (const auto& daemon : this->daemons)
    daemon->Start();
  if (!AwaitAllLive(this->daemons, Milliseconds(20'000)))
    return false;
  // Watches that were made before the others were known come to their end.
  this->RunFor(Milliseconds(3500));
  return true;
}

GatewayProcess* LargeSite::Reader() {
  for (const auto& daemon : this->daemons) {
    if (this->lost.count(daemon.get()) > 0)
      continue;
    const std::string log = daemon->Log();
    const std::size_t last = log.rfind("role=");
    if (last != std::string::npos && log.compare(last, 11, "role=reader") == 0)
      return daemon.get();
  }
  return nullptr;
}

int LargeSite::Call(GatewayProcess* daemon,
                    const std::string& path,
                    const std::string& called_host) {
  net::RequestHead head;
  head.method = "POST";
  head.target = path;
  head.fields = {{"Request-Id", "id" + std::to_string(++this->calls)},
                 {"Deadline-Ms", "4000"},
                 {"Host", called_host}};
  const auto answer = daemon->CallAt(daemon->Callers(), std::move(head));
  return answer && answer->has_value() ? answer->value().head.status : 0;
}

Milliseconds LargeSite::TimeUntilAllDiffer(const std::string& path,
                                           int old_status,
                                           TimePoint changed_at) {
  Milliseconds longest{0};
  for (const auto& daemon : this->daemons) {
    if (this->lost.count(daemon.get()) > 0)
      continue;
    while (this->Call(daemon.get(), path) == old_status &&
           Clock::now() < changed_at + kInForceLimit * 2) {
      longest =
          std::chrono::duration_cast<Milliseconds>(Clock::now() - changed_at);
      this->RunFor(Milliseconds(5));
    }
  }
  return longest;
}

}  // namespace coltsfootvane::testing
