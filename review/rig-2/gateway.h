#ifndef COLTSFOOTVANE_REVIEW_RIG_2_GATEWAY_H_
#define COLTSFOOTVANE_REVIEW_RIG_2_GATEWAY_H_

#include <sys/types.h>

#include <string>

#include "http.h"

namespace review {

/// `graceS` of the small sites.
inline constexpr int kStopS = 8;

/// A process of the gateway, started with the command of the deploy file.
class Gateway {
 public:
  /// `folder` takes its settings and its log.
  Gateway(const std::string& folder,
          const std::string& name,
          int store_port,
          int stop_s = kStopS);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Replaces the settings file, as the platform does, without a signal.
  void WriteSettings(int stop_s) const;
  void Start();
  /// Returns whether it has answered that it is ready before the time is over.
  bool AwaitReady(Milliseconds timeout) const;
  void Signal(int signal) const;
  /// Kills the process and waits for its end.
  void End();
  /// Returns whether the process has ended by itself.
  bool HasEnded();

  int CallersPort() const { return this->callers_port; }

 private:
  std::string folder;
  std::string name;
  int store_port;
  int callers_port;
  int ready_port;
  int peer_port;
  int metrics_port;
  pid_t process = -1;
};

}  // namespace review

#endif  // COLTSFOOTVANE_REVIEW_RIG_2_GATEWAY_H_
