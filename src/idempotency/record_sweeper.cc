#include "idempotency/record_sweeper.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "idempotency/events.h"

namespace coltsfootvane {
namespace {

constexpr char kTicksObjectName[] = "records";
/// A record may take up 1 MB, and a daemon has 64 MB for its control data.
constexpr int kPageSize = 20;
constexpr Milliseconds kInactivePollInterval{1000};
constexpr Milliseconds kMaxPollInterval{60000};

Milliseconds PollInterval(Milliseconds retention) {
  return std::min(kMaxPollInterval, TickInterval(retention) / 4);
}

}  // namespace

RecordSweeper::RecordSweeper(objectapi::Connection connection,
                             RecordSweeperOptions options)
    : connection(std::move(connection)), options(std::move(options)) {
  this->thread = std::thread([this] { this->Run(); });
}

RecordSweeper::~RecordSweeper() {
  this->Stop();
}

void RecordSweeper::Stop() {
  this->stop.Stop();
  if (this->thread.joinable())
    this->thread.join();
}

void RecordSweeper::Run() {
  while (!this->stop.IsStopped()) {
    if (!this->active) {
      this->ticks_version = -1;
      this->stop.Wait(kInactivePollInterval);
      continue;
    }
    if (this->UpdateTicks())
      this->Sweep();
    this->stop.Wait(PollInterval(this->options.retention));
  }
}

TimePoint RecordSweeper::WaitForRateLimit() {
  const std::chrono::duration<double> pause(1 / this->options.calls_per_s);
  this->stop.Wait(std::chrono::duration_cast<Milliseconds>(pause));
  return Clock::now() + this->options.call_timeout;
}

bool RecordSweeper::UpdateTicks() {
  const Result<objectapi::Object> object =
      objectapi::ReadObject(this->connection, objectapi::kExpiryKind,
                            kTicksObjectName, this->WaitForRateLimit());
  const bool missing = !object && object.error().code == ErrorCode::kNotFound;
  if (!object && !missing)
    return false;
  const std::int64_t version = missing ? 0 : object.value().resource_version;
  if (version == this->ticks_version) {
    const bool due = Clock::now() - this->ticks_version_seen_at >=
                     TickInterval(this->options.retention);
    return due && this->AddTick();
  }
  this->ticks_version = version;
  this->ticks_version_seen_at = Clock::now();
  this->ticks.clear();
  if (missing)
    return this->AddTick();
  Result<ExpiryTicks> parsed = ParseExpiryTicks(object.value().spec);
  if (!parsed) {
    LogEvent(kExpiryRestarted, "reason=" + parsed.error().message);
    return this->AddTick();
  }
  this->ticks = std::move(parsed.value());
  return true;
}

bool RecordSweeper::AddTick() {
  const TimePoint deadline = this->WaitForRateLimit();
  const auto span = std::chrono::duration_cast<Milliseconds>(
      Clock::now() - this->ticks_version_seen_at);
  const Result<objectapi::ObjectList> list = objectapi::ListObjectPage(
      this->connection, objectapi::kRecordKind, 1, "", deadline);
  if (!list)
    return false;
  ExpiryTicks next = this->ticks;
  if (!AppendTick(&next, list.value().resource_version, span,
                  this->options.retention))
    LogEvent(kExpiryRestarted, "reason=list version decreased");
  objectapi::Object object;
  object.kind = objectapi::kExpiryKind;
  object.name = kTicksObjectName;
  object.resource_version = this->ticks_version;
  object.spec = FormatExpiryTicks(next);
  const TimePoint write_deadline = this->WaitForRateLimit();
  const Result<objectapi::Object> stored =
      object.resource_version == 0
          ? objectapi::CreateObject(this->connection, object, write_deadline)
          : objectapi::UpdateObject(this->connection, object, write_deadline);
  // If the write took effect without an answer, the next read finds it.
  if (!stored)
    return false;
  this->ticks = std::move(next);
  this->ticks_version = stored.value().resource_version;
  this->ticks_version_seen_at = Clock::now();
  return true;
}

void RecordSweeper::Sweep() {
  if (HighestVersionOfMinAge(this->ticks, this->options.retention) == 0)
    return;
  int deleted = 0;
  std::string token;
  std::set<std::string> tokens;  // One that comes again leads back.
  do {
    const Result<objectapi::ObjectList> page =
        objectapi::ListObjectPage(this->connection, objectapi::kRecordKind,
                                  kPageSize, token, this->WaitForRateLimit());
    if (!page)
      break;
    deleted += this->SweepPage(page.value());
    token = page.value().continue_token;
  } while (!token.empty() && tokens.insert(token).second &&
           this->ShouldContinue());
  if (deleted > 0)
    LogEvent(kRecordsExpired, "deleted=" + std::to_string(deleted));
}

int RecordSweeper::SweepPage(const objectapi::ObjectList& page) {
  int deleted = 0;
  for (const objectapi::Object& object : page.items) {
    if (!this->ShouldContinue())
      break;
    const Result<Record> record = ParseRecord(object.spec);
    if (!record)
      continue;
    const RecordState state = record.value().state;
    if (IsExpired(this->ticks, state, object.resource_version,
                  page.resource_version, this->options.retention))
      deleted += this->DeleteRecord(object, state) ? 1 : 0;
  }
  return deleted;
}

bool RecordSweeper::DeleteRecord(const objectapi::Object& object,
                                 RecordState state) {
  const Result<bool> deleted = objectapi::DeleteObject(
      this->connection, object, this->WaitForRateLimit());
  const bool changed =
      !deleted && (deleted.error().code == ErrorCode::kConflict ||
                   deleted.error().code == ErrorCode::kNotFound);
  if (this->options.on_delete_attempt) {
    const char* const failure = changed ? "changed" : "failed";
    this->options.on_delete_attempt(state, deleted ? "deleted" : failure);
  }
  return deleted.has_value();
}

}  // namespace coltsfootvane
