#include "daemon/config_job.h"

#include <utility>

#include "base/json_text.h"
#include "fleet/config_frames.h"

namespace coltsfootvane::daemon {
namespace {

namespace gen = fleet::gen;
using replication::Document;
using replication::ItemChange;

void Fail(Error fault, ConfigJob* job) {
  job->fault = std::move(fault);
  job->stage = ConfigStage::kFailed;
}

Result<gateway::TablePart> ReadPart(const Deployment& deployment,
                                    std::string_view key,
                                    const std::string& text) {
  const Result<nlohmann::json> json = ParseUntrustedJson(text);
  if (!json)
    return json.error();
  const replication::ItemKey parts = replication::SplitKey(key);
  return deployment.read_config_part(parts.member, parts.is_element,
                                     json.value());
}

/// After all changes are known.
void EndChanges(ConfigJob* job) {
  job->next = 0;
  job->stage = job->encodes ? ConfigStage::kEncode : ConfigStage::kRead;
}

void StepCompare(Document* document, ConfigJob* job) {
  Result<std::optional<replication::ReadItem>> item = ReadNext(&job->reader);
  if (!item)
    Fail(item.error(), job);
  else if (!item.value())
    job->stage = ConfigStage::kRemovals;
  else
    Meet(std::move(item.value()->key), item.value()->text, document,
         &job->comparison);
}

/// Returns whether the part leads to a place that the document has reached.
bool IsKnown(const gen::ConfigPart& part, const ConfigJob& job) {
  return fleet::PlaceOf(part) <= job.base;
}

/// Returns whether the part belongs to the change of the job, and the change
/// fits the document.
bool Fits(const gen::ConfigPart& part, ConfigJob* job) {
  const store::Place base = fleet::BaseOf(part);
  if (!job->place.IsKnown()) {
    job->place = fleet::PlaceOf(part);
    job->is_whole = !base.IsKnown();
  }
  return fleet::PlaceOf(part) == job->place && job->place.IsKnown() &&
         job->is_whole == !base.IsKnown() &&
         (job->is_whole || base == job->base);
}

void TakeItems(gen::ConfigPart part, Document* document, ConfigJob* job) {
  for (gen::ConfigItem& item : part.items) {
    if (job->is_whole) {
      Meet(std::move(item.key), item.text, document, &job->comparison);
      continue;
    }
    std::optional<std::string> text;
    if (item.__isset.text)
      text = std::move(item.text);
    job->comparison.changes.push_back(
        replication::MakeChange(std::move(item.key), std::move(text)));
  }
}

void StepDecode(Document* document, ConfigJob* job) {
  const std::size_t before = job->frames.size();
  const Result<std::string_view> frame = fleet::TakeFrame(&job->frames);
  Result<gen::ConfigPart> part =
      frame ? fleet::DecodeFrame(frame.value()) : frame.error();
  if (!part) {
    Fail(part.error(), job);
    return;
  }
  if (IsKnown(part.value(), *job)) {
    job->change_start = job->input.size() - job->frames.size();
    if (job->frames.empty())
      Fail({ErrorCode::kGone, "known already"}, job);
    return;
  }
  if (!Fits(part.value(), job)) {
    Fail({ErrorCode::kConflict, "change of another configuration"}, job);
    return;
  }
  job->input_bytes += before - job->frames.size();
  job->wanted_digest = static_cast<std::uint64_t>(part.value().digest);
  const bool is_last = part.value().is_last;
  TakeItems(std::move(part).value(), document, job);
  if (!is_last)
    return;
  if (!job->is_whole)
    job->encoded = job->input.substr(job->change_start, job->input_bytes);
  job->stage = ConfigStage::kRemovals;
}

/// Adds up what the next changes do to the digest. Returns whether all are
/// done.
bool AddRises(const Document& document, ConfigJob* job) {
  constexpr int kChangesAtOnce = 32;
  const std::vector<ItemChange>& changes = job->comparison.changes;
  for (int i = 0; i < kChangesAtOnce && job->next < changes.size(); ++i)
    job->digest_rise += DigestRise(document, changes[job->next++]);
  return job->next == changes.size();
}

void StepRemovals(const Document& document, ConfigJob* job) {
  if (job->is_whole && !FindRemovals(document, &job->comparison))
    return;
  // All changes are known from here on, and the steps add their digests up.
  job->is_whole = false;
  if (!AddRises(document, job))
    return;
  const std::uint64_t digest = document.digest + job->digest_rise;
  if (!job->wanted_digest || digest == *job->wanted_digest)
    EndChanges(job);
  else
    Fail({ErrorCode::kInvalid, "changes do not lead to what others have"}, job);
}

void StepEncode(const Document& document, ConfigJob* job) {
  gen::ConfigPart part;
  fleet::SetPlaces(job->place, job->base, &part);
  part.digest = static_cast<std::int64_t>(document.digest + job->digest_rise);
  std::size_t bytes = 0;
  while (bytes < fleet::kPartBytes &&
         job->next < job->comparison.changes.size()) {
    const ItemChange& change = job->comparison.changes[job->next++];
    gen::ConfigItem item;
    item.key = change.key;
    if (change.text)
      item.__set_text(*change.text);
    bytes += change.key.size() + item.text.size();
    part.items.push_back(std::move(item));
  }
  part.is_last = job->next == job->comparison.changes.size();
  job->encoded += fleet::EncodeFrame(part);
  if (!part.is_last)
    return;
  job->next = 0;
  job->stage = ConfigStage::kRead;
}

void Put(const Deployment& deployment,
         std::string_view key,
         const std::string& text,
         ConfigJob* job) {
  Result<gateway::TablePart> part = ReadPart(deployment, key, text);
  if (part)
    gateway::PutPart(std::move(part).value(), &job->table);
  else
    job->table_fault = part.error();
}

void CheckVersion(ConfigJob* job) {
  if (!job->table_fault && !job->table.has_version)
    job->table_fault = {ErrorCode::kInvalid, "no version"};
}

void StepRead(const Deployment& deployment,
              const Document& document,
              ConfigJob* job) {
  const bool has_more = job->next < job->comparison.changes.size();
  if (!has_more || !job->updates_table || job->table_fault) {
    if (job->updates_table)
      CheckVersion(job);
    job->next = 0;
    job->stage = ConfigStage::kStore;
    return;
  }
  const ItemChange& change = job->comparison.changes[job->next++];
  const std::string* const before = FindText(document, change.key);
  if (before != nullptr) {
    const Result<gateway::TablePart> old =
        ReadPart(deployment, change.key, *before);
    if (old)
      gateway::RemovePart(old.value(), &job->table);
  }
  if (change.text)
    Put(deployment, change.key, *change.text, job);
}

void StepStore(Document* document, ConfigJob* job) {
  if (job->next < job->comparison.changes.size()) {
    Apply(std::move(job->comparison.changes[job->next++]), document);
    return;
  }
  document->place = job->place;
  job->stage = job->updates_table ? ConfigStage::kDone : ConfigStage::kRebuild;
}

void StepRebuild(const Deployment& deployment,
                 const Document& document,
                 ConfigJob* job) {
  const auto item = document.items.lower_bound(job->next_key);
  if (item == document.items.end() || job->table_fault) {
    CheckVersion(job);
    job->stage = ConfigStage::kDone;
    return;
  }
  Put(deployment, item->first, item->second.text, job);
  job->next_key = item->first + '\0';
}

}  // namespace

ConfigJob BeginFromText(const store::Place& place,
                        std::string text,
                        const Deployment& deployment) {
  ConfigJob job;
  job.is_from_store = true;
  job.is_whole = true;
  job.place = place;
  job.input = std::move(text);
  job.input_bytes = job.input.size();
  job.reader.name_member = deployment.config_item_name;
  job.began = BootNow();
  return job;
}

ConfigJob BeginFromFrames(std::string frames) {
  ConfigJob job;
  job.stage = ConfigStage::kDecode;
  job.input = std::move(frames);
  job.began = BootNow();
  return job;
}

void StartFrom(const Document& document,
               const gateway::RoutingTable* table,
               std::uint32_t number,
               ConfigJob* job) {
  job->reader.scanner.text = job->input;
  job->frames = job->input;
  job->base = document.place;
  job->comparison.number = number;
  job->updates_table = table != nullptr;
  if (table != nullptr)
    job->table = *table;
}

void Step(const Deployment& deployment, Document* document, ConfigJob* job) {
  switch (job->stage) {
    case ConfigStage::kCompare:
      StepCompare(document, job);
      break;
    case ConfigStage::kDecode:
      StepDecode(document, job);
      break;
    case ConfigStage::kRemovals:
      StepRemovals(*document, job);
      break;
    case ConfigStage::kEncode:
      StepEncode(*document, job);
      break;
    case ConfigStage::kRead:
      StepRead(deployment, *document, job);
      break;
    case ConfigStage::kStore:
      StepStore(document, job);
      break;
    case ConfigStage::kRebuild:
      StepRebuild(deployment, *document, job);
      break;
    case ConfigStage::kDone:
    case ConfigStage::kFailed:
      break;
  }
}

bool EncodeWhole(const Document& document,
                 std::string* next_key,
                 std::string* frames) {
  gen::ConfigPart part;
  fleet::SetPlaces(document.place, store::Place(), &part);
  part.digest = static_cast<std::int64_t>(document.digest);
  std::size_t bytes = 0;
  auto item = document.items.lower_bound(*next_key);
  for (; item != document.items.end() && bytes < fleet::kPartBytes; ++item) {
    gen::ConfigItem sent;
    sent.key = item->first;
    sent.__set_text(item->second.text);
    bytes += sent.key.size() + sent.text.size();
    part.items.push_back(std::move(sent));
  }
  part.is_last = item == document.items.end();
  if (!part.is_last)
    *next_key = item->first;
  *frames += fleet::EncodeFrame(part);
  return part.is_last;
}

}  // namespace coltsfootvane::daemon
