#include <signal.h>

#include "drill_site.h"

namespace coltsfootvane::testing {

using StreamPtr = std::shared_ptr<net::TcpStream>;

void DrillSite::OnStoreCall(int daemon,
                            const ReceivedRequest& request,
                            const StreamPtr& stream) {
  const auto number = static_cast<std::size_t>(daemon);
  StoreLink& link = this->links[number];
  ++link.calls;
  link.connections.insert(stream);
  if (Clock::now() < link.silent_until)
    link.silent.insert(stream);
  if (!this->cut[number] && link.silent.count(stream) == 0)
    this->store.Serve(request, stream);
}

void DrillSite::Silence(int daemon, Milliseconds time) {
  StoreLink& link = this->links[static_cast<std::size_t>(daemon)];
  link.silent_until = Clock::now() + time;
  link.silent.insert(link.connections.begin(), link.connections.end());
  this->store.DropWatches(link.silent);
}

void DrillSite::Freeze(int daemon) {
  this->disturbed_until[static_cast<std::size_t>(daemon)] = TimePoint::max();
  this->daemons[static_cast<std::size_t>(daemon)]->process->Signal(SIGSTOP);
}

void DrillSite::Kill(int daemon) {
  this->disturbed_until[static_cast<std::size_t>(daemon)] = TimePoint::max();
  this->daemons[static_cast<std::size_t>(daemon)]->process->Kill();
}

void DrillSite::Heal(int number) {
  const auto daemon = static_cast<std::size_t>(number);
  this->cut[daemon] = false;
  if (this->daemons[daemon]->process->IsRunning())
    this->daemons[daemon]->process->Signal(SIGCONT);
  else
    this->StartOne(daemon);
  this->disturbed_until[daemon] = Clock::now() + kChangeLimit;
}

bool DrillSite::IsDisturbed(int daemon) const {
  const auto number = static_cast<std::size_t>(daemon);
  return this->cut[number] || Clock::now() < this->disturbed_until[number];
}

void DrillSite::KillAll() {
  for (const auto& daemon : this->daemons)
    daemon->process->Kill();
}

}  // namespace coltsfootvane::testing
