#include "placement/audit_writer.h"

#include <utility>

#include "base/digest.h"
#include "log/event.h"
#include "placement/events.h"

namespace coltsfootvane::detail {
namespace {

constexpr std::size_t kQueueCapacity = 1024;
constexpr Milliseconds kCallTimeout{1000};
// Also the pause between attempts to write one entry.
constexpr Milliseconds kPollInterval{500};
constexpr int kMaxAttempts = 5;

}  // namespace

AuditWriter::AuditWriter(objectapi::Connection connection, std::string actor)
    : connection(std::move(connection)),
      actor(std::move(actor)),
      ring(kQueueCapacity) {}

AuditWriter::~AuditWriter() {
  this->Stop();
}

void AuditWriter::Start() {
  this->thread = std::thread([this] { this->RunThread(); });
}

void AuditWriter::Stop() {
  this->ring.Close();
  if (this->thread.joinable())
    this->thread.join();
}

void AuditWriter::Add(std::string action,
                      std::string object,
                      std::string detail,
                      std::int64_t from_version,
                      std::int64_t to_version) {
  AuditEntry entry;
  entry.id = RandomId();
  entry.time = CurrentTimeIso();
  entry.actor = this->actor;
  entry.action = std::move(action);
  entry.object = std::move(object);
  entry.detail = std::move(detail);
  entry.from_version = from_version;
  entry.to_version = to_version;
  const std::string dropped = "object=" + entry.object + " " + entry.detail;
  if (!this->ring.Push(std::move(entry)))
    LogEvent(kAuditDropped, dropped);
}

void AuditWriter::RunThread() {
  for (;;) {
    const std::optional<AuditEntry> entry =
        this->ring.PopUntil(Clock::now() + kPollInterval);
    const bool failed = entry && !this->Write(*entry);
    if (this->ring.IsClosed() && (failed || !entry))
      return;
  }
}

bool AuditWriter::Write(const AuditEntry& entry) {
  for (int attempt = 1; attempt <= kMaxAttempts; ++attempt) {
    const Result<bool> written =
        AppendAudit(this->connection, entry, Clock::now() + kCallTimeout);
    if (written)
      return true;
    if (this->ring.IsClosed())
      break;
    std::this_thread::sleep_for(kPollInterval);
  }
  LogEvent(kAuditDropped, "object=" + entry.object + " " + entry.detail);
  return false;
}

}  // namespace coltsfootvane::detail
