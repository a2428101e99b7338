#include "gateway.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

namespace review {
namespace {

constexpr char kProgram[] = "target/coltsfootvane";

std::string At(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

Gateway::Gateway(const std::string& own_folder,
                 const std::string& own_name,
                 int platform_port,
                 int stop_s)
    : folder(own_folder),
      name(own_name),
      store_port(platform_port),
      callers_port(FreePort()),
      ready_port(FreePort()),
      peer_port(FreePort()),
      metrics_port(FreePort()) {
  this->WriteSettings(stop_s);
}

void Gateway::WriteSettings(int stop_s) const {
  const std::string path = this->folder + "/" + this->name + ".conf";
  std::ofstream settings(path + ".new");
  settings << "nodeName=" << this->name
           << "\nrole=gateway\nmachineClass=edge\nserves=edge\nip=127.0.0.1"
           << "\nzone=dc\nregion=r\nzones.dc=r\nlisten.front="
           << At(this->callers_port)
           << "\nlisten.ready=" << At(this->ready_port)
           << "\ninternalPorts=" << this->peer_port << "," << this->peer_port
           << "\nbootstrap=true"
           << "\nlimits.cpuShare=0.17\nlimits.cores=1\nlimits.memoryMb=182"
           << "\nlimits.maxFds=2870\nlimits.linkMbps=700.0\nheartbeatMs=1200"
           << "\nbounds.seedLagS=3\nbounds.reuseAfterS=2"
           << "\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4"
           << "\nbounds.drainMs=2000\nbounds.graceS=" << stop_s
           << "\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000"
           << "\nbounds.rollbackSlackMs=250\nbounds.maxExtensionMs=5000"
           << "\nbounds.budgetRatio=0.2\nbounds.budgetWindowS=10"
           << "\nbounds.budgetSlack=113\nbounds.recoverS=12"
           << "\nbounds.passMs=120\nbounds.retryAfterS=0"
           << "\nbounds.requireFencing=true\nbounds.leaseMs=3000"
           << "\nbounds.thawMs=300\nbounds.ceilingWindowS=5"
           << "\nbounds.ceilingOverrun=1.1\nplatform.address="
           << At(this->store_port) << "\nplatform.form=objects"
           << "\nplatform.writesPerS=400\nplatform.readsPerS=2000"
           << "\nplatform.historyS=20\nplatform.valueBytes=1048576\n";
  settings.close();
  std::filesystem::rename(path + ".new", path);
}

Gateway::~Gateway() {
  this->End();
}

void Gateway::Start() {
  const std::string prefix = this->folder + "/" + this->name;
  const std::string port = std::to_string(this->metrics_port);
  const std::string settings = prefix + ".conf";
  const std::string log = prefix + ".log";
  this->process = fork();
  if (this->process != 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  setenv("COLTSFOOTVANE_SETTINGS", settings.c_str(), 1);
  execl(kProgram, kProgram, "gateway", "--metrics-port", port.c_str(), nullptr);
  _exit(127);
}

bool Gateway::AwaitReady(Milliseconds timeout) const {
  const TimePoint deadline = Clock::now() + timeout;
  constexpr Milliseconds kCallTime{500};
  constexpr Milliseconds kPause{50};
  while (Clock::now() < deadline) {
    const Answer answer =
        Call(this->ready_port,
             "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
             kCallTime);
    if (answer.status == 200)
      return true;
    std::this_thread::sleep_for(kPause);
  }
  return false;
}

void Gateway::Signal(int signal) const {
  if (this->process > 0)
    kill(this->process, signal);
}

void Gateway::End() {
  if (this->process <= 0)
    return;
  kill(this->process, SIGKILL);
  waitpid(this->process, nullptr, 0);
  this->process = -1;
}

bool Gateway::HasEnded() {
  return this->process <= 0 ||
         waitpid(this->process, nullptr, WNOHANG) == this->process;
}

}  // namespace review
