#include "site.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr double kHeartbeatS = 1.2;
constexpr int kStoreMachine = 200;

/// Settings of a machine, as the users' pages show them.
std::string SettingsText(int number) {
  const std::string ip = MachineIp(number);
  std::string text;
  text += "nodeName=edge-" + std::to_string(number) + "\n";
  text += "role=gateway\nmachineClass=edge\nserves=edge\n";
  text += "ip=" + ip + "\nzone=zone-a\nregion=region-a\n";
  text += "zones.zone-a=region-a\n";
  text += "listen.front=" + ip + ":" + std::to_string(kFrontPort) + "\n";
  text += "listen.ready=" + ip + ":" + std::to_string(kReadyPort) + "\n";
  text += "internalPorts=7380,7395\nseeds=\nbootstrap=true\n";
  text += "limits.cpuShare=0.17\nlimits.cores=1\nlimits.memoryMb=182\n";
  text += "limits.maxFds=2870\nlimits.linkMbps=700.0\nlimits.diskMb=0\n";
  text += "discovery=platform\nentry=vip\nheartbeatMs=1200\n";
  text += "faultTolerance.machines=1\nfaultTolerance.zones=0\n";
  text += "bounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n";
  text += "bounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\n";
  text += "bounds.lossSlackMs=200\nbounds.configApplyMs=2000\n";
  text += "bounds.rollbackSlackMs=250\nbounds.maxExtensionMs=5000\n";
  text += "bounds.budgetRatio=0.2\nbounds.budgetWindowS=10\n";
  text += "bounds.budgetSlack=113\nbounds.recoverS=12\nbounds.passMs=120\n";
  text += "bounds.requireFencing=true\nbounds.leaseMs=3000\n";
  text += "bounds.thawMs=300\nbounds.ceilingWindowS=5\n";
  text += "bounds.ceilingOverrun=1.1\n";
  text += "platform.address=" + MachineIp(kStoreMachine) + ":" +
          std::to_string(kStorePort) + "\n";
  text += "platform.form=objects\nplatform.writesPerS=400\n";
  text += "platform.readsPerS=2000\nplatform.historyS=20\n";
  return text;
}

}  // namespace

bool IsTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string MachineIp(int number) {
  constexpr int kOctets = 200;
  const int id = static_cast<int>(getpid());
  return "127." + std::to_string(40 + id / kOctets % kOctets) + "." +
         std::to_string(20 + id % kOctets) + "." + std::to_string(number);
}

Record::Record(const std::string& path) : file(std::fopen(path.c_str(), "w")) {
  if (this->file == nullptr)
    std::_Exit(kNotRun);
}

Record::~Record() {
  std::fclose(this->file);
}

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::fprintf(this->file, "%8.3f %s\n", Now(), line.c_str());
  std::fflush(this->file);
}

Site::Site(const std::string& case_folder, double stale_s)
    : folder((std::filesystem::temp_directory_path() /
              ("coltsfootvane-review-" + std::to_string(getpid())))
                 .string()),
      record(case_folder + "/record.txt"),
      store(MachineIp(kStoreMachine), kStorePort, stale_s) {
  signal(SIGPIPE, SIG_IGN);
  std::filesystem::create_directories(this->folder);
  std::thread([this] {
    while (true) {
      this->Register();
      SleepFor(kHeartbeatS);
    }
  }).detach();
}

void Site::Finish(int result) {
  for (const auto& [number, process] : this->daemons) {
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
  this->record.Write("result " + std::to_string(result));
  std::printf("result %d\n", result);
  std::fflush(stdout);
  std::_Exit(result);
}

void Site::PutEntry(const ReplicaEntry& entry) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->entries[entry.id] = entry;
  nlohmann::json spec = {{"service", entry.service},
                         {"address", entry.address},
                         {"zone", "zone-a"},
                         {"version", 1},
                         {"slots", 64},
                         {"state", entry.state},
                         {"coldRemainingMs", 0},
                         {"born", 1780000000000},
                         {"sequence", ++this->sequences[entry.id]}};
  spec.update(entry.extra);
  this->store.Put("servers", entry.id, spec);
}

void Site::SetState(const std::string& id,
                    const std::string& state,
                    const nlohmann::json& extra) {
  ReplicaEntry entry;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    entry = this->entries.at(id);
  }
  entry.state = state;
  entry.extra.update(extra);
  this->PutEntry(entry);
}

void Site::Silence(const std::string& id) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->entries.erase(id);
}

void Site::Remove(const std::string& id) {
  this->Silence(id);
  this->store.Remove("servers", id);
}

void Site::Register() {
  std::vector<ReplicaEntry> current;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& [id, entry] : this->entries)
      current.push_back(entry);
  }
  for (const ReplicaEntry& entry : current)
    this->PutEntry(entry);
}

pid_t Site::Spawn(const std::vector<std::string>& words,
                  const std::string& settings_path,
                  const std::string& log_path) {
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (const std::string& word : words)
    arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  const std::string setting = "COLTSFOOTVANE_SETTINGS=" + settings_path;
  std::vector<char*> environment = {const_cast<char*>(setting.c_str()),
                                    nullptr};
  const pid_t process = fork();
  if (process != 0)
    return process;
  // Ends with this process.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log =
      open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execve(arguments[0], arguments.data(), environment.data());
  _exit(kNotRun);
}

void Site::StartDaemon(int number) {
  const std::string name = this->folder + "/edge-" + std::to_string(number);
  std::ofstream(name + ".conf") << SettingsText(number);
  this->daemons[number] =
      Spawn({"target/coltsfootvane", "gateway", "--metrics-port", "7390"},
            name + ".conf", name + ".log");
  this->record.Write("daemon " + std::to_string(number) + " at " +
                     MachineIp(number) + " started");
}

bool Site::AwaitReady(double timeout_s) {
  const double until = Now() + timeout_s;
  for (const auto& [number, process] : this->daemons) {
    while (true) {
      const auto connection = Connect(MachineIp(number), kReadyPort, 1);
      Message answer;
      if (connection &&
          connection->Write("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
          connection->ReadAnswer(&answer, Now() + 1) && answer.status == 200)
        break;
      if (Now() > until)
        return false;
      SleepFor(0.05);
    }
  }
  return true;
}

std::string FormatRequest(std::string_view method,
                          const std::string& target,
                          const Fields& fields,
                          std::string_view body) {
  std::string text = std::string(method) + " " + target + " HTTP/1.1\r\n";
  text += "Host: shop.example\r\n";
  for (const auto& [name, value] : fields)
    text.append(name).append(": ").append(value).append("\r\n");
  if (method != "GET")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n";
  return text.append(body);
}

CallResult Call(const std::string& ip,
                std::string_view method,
                const std::string& target,
                const Fields& fields,
                std::string_view body,
                double timeout_s) {
  CallResult result;
  result.sent_at = Now();
  const auto connection = Connect(ip, kFrontPort, 1);
  if (connection &&
      connection->Write(FormatRequest(method, target, fields, body)))
    result.complete =
        connection->ReadAnswer(&result.answer, result.sent_at + timeout_s);
  result.ended_at = Now();
  return result;
}

}  // namespace review
