#ifndef COLTSFOOTVANE_PLACEMENT_AUDIT_WRITER_H_
#define COLTSFOOTVANE_PLACEMENT_AUDIT_WRITER_H_

#include <cstdint>
#include <string>
#include <thread>

#include "audit/audit.h"
#include "base/ring.h"
#include "objectapi/client.h"

namespace coltsfootvane::detail {

/// Writes audit entries on its own thread, so that audit writes do not delay
/// commands. If the platform cannot keep up, entries are dropped and each drop
/// is logged.
class AuditWriter {
 public:
  AuditWriter(objectapi::Connection connection, std::string actor);
  ~AuditWriter();

  AuditWriter(const AuditWriter&) = delete;
  AuditWriter& operator=(const AuditWriter&) = delete;

  void Start();
  /// Writes the queued entries until the first failure, then ends the thread.
  void Stop();

  /// Queues an entry. `from_version` and `to_version` are the resource versions
  /// of the object before and after the change.
  void Add(std::string action,
           std::string object,
           std::string detail,
           std::int64_t from_version = 0,
           std::int64_t to_version = 0);

 private:
  void RunThread();
  bool Write(const AuditEntry& entry);

  objectapi::Connection connection;
  std::string actor;
  Ring<AuditEntry> ring;
  std::thread thread;
};

}  // namespace coltsfootvane::detail

#endif  // COLTSFOOTVANE_PLACEMENT_AUDIT_WRITER_H_
