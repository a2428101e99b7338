#include "daemon/quarantine_record.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string>
#include <utility>

#include "daemon/events.h"

namespace coltsfootvane::daemon {
namespace {

using nlohmann::json;
using quarantine::Involvement;
using quarantine::PartId;
using quarantine::Suspect;
using BoostError = boost::system::error_code;

constexpr char kKind[] = "coltsfootvane-quarantine";
constexpr char kName[] = "parts";
constexpr Milliseconds kRetryDelay{1000};
constexpr Milliseconds kWriteInterval{1000};
constexpr std::size_t kMaxRecordedParts = 64;
constexpr int kHexadecimal = 16;

std::int64_t UnixMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Returns the parts of all quarantines, sorted.
std::vector<PartId> QuarantinedParts(const gateway::PartQuarantine& state) {
  std::vector<PartId> parts;
  for (const quarantine::Quarantine& one : state.quarantines)
    parts.insert(parts.end(), one.parts.begin(), one.parts.end());
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  if (parts.size() > kMaxRecordedParts)
    parts.resize(kMaxRecordedParts);
  return parts;
}

json FormatInvolvement(const Involvement& one,
                       TimePoint now,
                       std::int64_t unix_ms) {
  return {{"crash", one.crash},
          {"at", unix_ms - TimeLeft(now, one.at).count()},
          {"answering", one.answering},
          {"observers", one.observers}};
}

const json& MemberOf(const json& object, const char* name) {
  static const json none;
  if (!object.is_object())
    return none;
  const auto found = object.find(name);
  return found == object.end() ? none : *found;
}

std::vector<quarantine::Observer> ReadObservers(const json& list) {
  std::vector<quarantine::Observer> observers;
  if (!list.is_array())
    return observers;
  for (const json& item : list) {
    if (item.is_number_unsigned() &&
        observers.size() < quarantine::kMaxObservers)
      observers.push_back(item.get<quarantine::Observer>());
  }
  return observers;
}

/// Adds an involvement if it can be read and is not too old.
void ReadInvolvement(const json& item,
                     TimePoint now,
                     std::int64_t unix_ms,
                     Suspect* suspect) {
  const json& crash = MemberOf(item, "crash");
  const json& at = MemberOf(item, "at");
  const json& answering = MemberOf(item, "answering");
  if (!crash.is_number_unsigned() || !at.is_number_integer() ||
      !answering.is_boolean() ||
      suspect->involvements.size() >= quarantine::kMaxInvolvements)
    return;
  const std::int64_t at_ms = at.get<std::int64_t>();
  const Milliseconds retention = quarantine::kEvidenceRetention;
  if (at_ms < unix_ms - retention.count())
    return;
  Involvement one;
  one.crash = crash.get<quarantine::CrashKey>();
  one.at = now - Milliseconds(std::max<std::int64_t>(0, unix_ms - at_ms));
  one.answering = answering.get<bool>();
  one.observers = ReadObservers(MemberOf(item, "observers"));
  suspect->involvements.push_back(std::move(one));
}

}  // namespace

json FormatEvidence(const gateway::PartQuarantine& state,
                    TimePoint now,
                    std::int64_t unix_ms) {
  json parts = json::array();
  for (const PartId part : QuarantinedParts(state)) {
    json involvements = json::array();
    for (const Involvement& one : state.ledger.suspects.at(part).involvements) {
      if (!one.cleared)
        involvements.push_back(FormatInvolvement(one, now, unix_ms));
    }
    const std::vector<PartId> id = {part};
    parts.push_back({{"part", gateway::PartList(id)},
                     {"involvements", std::move(involvements)}});
  }
  return {{"parts", std::move(parts)}};
}

std::map<PartId, Suspect> ReadEvidence(const json& spec,
                                       TimePoint now,
                                       std::int64_t unix_ms) {
  std::map<PartId, Suspect> suspects;
  const json& parts = MemberOf(spec, "parts");
  if (!parts.is_array())
    return suspects;
  for (const json& item : parts) {
    const json& id = MemberOf(item, "part");
    const json& involvements = MemberOf(item, "involvements");
    if (!id.is_string() || !involvements.is_array() ||
        suspects.size() >= kMaxRecordedParts)
      continue;
    const std::string text = id.get<std::string>();
    PartId part = 0;
    const char* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, part, kHexadecimal);
    if (read.ec != std::errc() || read.ptr != end)
      continue;
    for (const json& one : involvements)
      ReadInvolvement(one, now, unix_ms, &suspects[part]);
  }
  return suspects;
}

QuarantineRecord::QuarantineRecord(boost::asio::io_context* io,
                                   const store::ObjectStore* object_store,
                                   gateway::Gateway* request_gateway)
    : store(object_store), gateway(request_gateway), timer(*io) {}

void QuarantineRecord::Start() {
  this->Load();
}

void QuarantineRecord::Load() {
  this->call_in_progress = true;
  store::CountCall(*this->store, store::CallCause::kRecord,
                   store::Freshness::kLatest);
  this->store->read(
      kKind, kName, store::Freshness::kLatest,
      [this](const Result<store::Object>& object) { this->OnLoaded(object); });
}

void QuarantineRecord::OnLoaded(const Result<store::Object>& object) {
  this->call_in_progress = false;
  if (!object && object.error().code != ErrorCode::kNotFound) {
    this->timer.expires_after(kRetryDelay);
    this->timer.async_wait([this](const BoostError& ec) {
      if (!ec)
        this->Load();
    });
    return;
  }
  this->loaded = true;
  this->is_of_earlier_era = false;
  if (!object) {
    this->place = store::Place();
    this->recorded.clear();
    return;
  }
  this->place = object.value().place;
  const std::map<PartId, Suspect> told =
      ReadEvidence(object.value().spec, BootNow(), UnixMs());
  this->recorded.clear();
  for (const auto& [part, suspect] : told)
    this->recorded.push_back(part);
  gateway::MergeSuspects(this->gateway, told);
}

void QuarantineRecord::Tick(bool holds_lease, TimePoint now) {
  if (!holds_lease || !this->loaded || this->call_in_progress ||
      now < this->next_write_at)
    return;
  if (this->is_of_earlier_era) {
    this->loaded = false;
    this->Load();
    return;
  }
  if (QuarantinedParts(this->gateway->quarantine) == this->recorded)
    return;
  this->next_write_at = now + kWriteInterval;
  this->Write();
}

void QuarantineRecord::OnNewEra() {
  this->is_of_earlier_era = true;
}

void QuarantineRecord::Write() {
  this->call_in_progress = true;
  this->writing = QuarantinedParts(this->gateway->quarantine);
  store::Object object;
  object.name = kName;
  object.place = this->place;
  object.spec = FormatEvidence(this->gateway->quarantine, BootNow(), UnixMs());
  const auto done = [this](const Result<store::Object>& written) {
    this->OnWritten(written);
  };
  store::CountCall(*this->store, store::CallCause::kRecord,
                   store::Freshness::kLatest);
  if (!this->place.IsKnown())
    this->store->create(kKind, object, done);
  else
    this->store->replace(kKind, object, done);
}

void QuarantineRecord::OnWritten(const Result<store::Object>& written) {
  this->call_in_progress = false;
  if (written) {
    this->place = written.value().place;
    this->recorded = this->writing;
    return;
  }
  this->gateway->log->Write(kQuarantineNotRecorded, "",
                            "reason=\"" + written.error().message + "\"");
  // Another daemon may have written, or the answer was lost: both are seen by
  // reading it.
  this->loaded = false;
  this->Load();
}

}  // namespace coltsfootvane::daemon
