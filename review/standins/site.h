#ifndef COLTSFOOTVANE_REVIEW_STANDINS_SITE_H_
#define COLTSFOOTVANE_REVIEW_STANDINS_SITE_H_

#include <sys/types.h>

#include <atomic>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "http.h"
#include "store.h"

namespace review {

inline constexpr int kFrontPort = 8149;
inline constexpr int kReadyPort = 8141;
inline constexpr int kStorePort = 8142;
inline constexpr int kReplicaPort = 8500;

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

/// Returns false if the variable TROUBLE is 0.
bool IsTrouble();

/// Returns the loopback address of the machine with that number. The addresses
/// of one case are not those of another one that runs beside it.
std::string MachineIp(int number);

/// Appends lines with the time to record.txt, in the folder of the case.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Write(const std::string& line);

 private:
  std::mutex mutex;
  std::FILE* file;
};

/// What a replica registers in the store, again and again.
struct ReplicaEntry {
  std::string id;
  std::string service;
  std::string address;  ///< IP:PORT
  nlohmann::json extra = nlohmann::json::object();
  std::string state = "ready";
};

/// A deployment: the store, registrations of replicas, and daemons as
/// processes, each with its own loopback address.
class Site {
 public:
  explicit Site(const std::string& case_folder, double stale_s = 0);
  ~Site() = delete;
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  /// Ends all processes and this one. Threads of stand-ins may still run, so
  /// that a site is never destroyed.
  [[noreturn]] void Finish(int result);
  void PutEntry(const ReplicaEntry& entry);
  /// Changes the state of a replica and what else its entry holds.
  void SetState(const std::string& id,
                const std::string& state,
                const nlohmann::json& extra);
  /// The replica does not register any more.
  void Silence(const std::string& id);
  /// The same, and its entry is removed.
  void Remove(const std::string& id);
  void StartDaemon(int number);
  /// Starts a program and returns its process id.
  static pid_t Spawn(const std::vector<std::string>& words,
                     const std::string& settings_path,
                     const std::string& log_path);
  /// Waits until all daemons are ready.
  bool AwaitReady(double timeout_s);
  pid_t ProcessOf(int number) const { return this->daemons.at(number); }
  /// The daemon was ended by the case.
  void Forget(int number) { this->daemons.erase(number); }

  std::string folder;  ///< Of temporary files.
  Record record;
  Store store;

 private:
  void Register();

  std::mutex mutex;
  std::map<std::string, ReplicaEntry> entries;
  std::map<std::string, std::int64_t> sequences;
  std::map<int, pid_t> daemons;
};

/// Calls a daemon on a new connection.
struct CallResult {
  Message answer;
  bool complete = false;
  double sent_at = 0;
  double ended_at = 0;
};
CallResult Call(const std::string& ip,
                std::string_view method,
                const std::string& target,
                const Fields& fields,
                std::string_view body,
                double timeout_s);

/// Returns the text of a request.
std::string FormatRequest(std::string_view method,
                          const std::string& target,
                          const Fields& fields,
                          std::string_view body);

}  // namespace review

#endif  // COLTSFOOTVANE_REVIEW_STANDINS_SITE_H_
