#ifndef COLTSFOOTVANE_SETTINGS_SETTINGS_H_
#define COLTSFOOTVANE_SETTINGS_SETTINGS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"
#include "http/message.h"

namespace coltsfootvane {

/// How slots are given out; see docs/design.md, section 2.
enum class DispatchMode { kGranted, kNaive };

/// The settings of one daemon, read once at start. docs/SETTINGS.md lists the
/// YAML keys, units and defaults.
struct Settings {
  std::string daemon_id;
  std::string data_centre;
  std::string region;
  http::Address entry_listen;
  unsigned entry_threads = 256;
  /// Threads of the entry listener kept for refusals.
  unsigned entry_refusal_threads = 32;
  std::size_t entry_max_body_bytes = 1024 * 1024;
  http::Address admin_listen;
  /// With 4 threads, 200 senders of single bytes kept every health check
  /// waiting for 2 s; with 32 none.
  unsigned admin_threads = 32;
  http::Address peer_listen;  ///< The same port number for UDP and TCP.
  std::vector<http::Address> first_peers;
  http::Address platform;
  int platform_call_timeout_ms = 1000;
  double platform_calls_per_s = 20;  ///< Budget of this daemon.
  int balancer_grace_ms = 3000;
  int stop_timeout_ms = 60000;
  int records_keep_s = 168 * 3600;
  DispatchMode dispatch_mode = DispatchMode::kGranted;
  int memory_mb = 0;  ///< Of the VM; 0 for what the system reports.
  int max_fds = 0;    ///< Of the process; 0 for the limit of the system.
};

/// Parses YAML `text`. Every fault found is added to `findings`; the result is
/// valid only if none was added.
Settings ParseSettings(std::string_view file_name,
                       std::string_view text,
                       Findings* findings);

/// Reads and parses the file `path`.
Settings ReadSettings(const std::string& path, Findings* findings);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_SETTINGS_SETTINGS_H_
