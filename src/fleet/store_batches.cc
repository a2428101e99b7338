#include "fleet/store_batches.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <string_view>
#include <utility>

#include "base/name_text.h"

namespace coltsfootvane::fleet {
namespace {

/// Of the changes in a datagram; the rest is for the addresses of relays.
constexpr std::size_t kMaxNewsBytes = 1050;
constexpr std::size_t kBatchOverhead = 20;
constexpr std::size_t kChangeOverhead = 10;
constexpr std::size_t kFieldsOverhead = 24;
/// Of the departures that each part of a listing tells again. With more, the
/// parts after the first lead no view on.
constexpr std::size_t kMaxToldAgainBytes = 500;
/// A daemon that lacks more than these fetches a snapshot.
constexpr std::size_t kMaxLogBatches = 64;
/// More than any endpoint has.
constexpr int kMaxSlots = 1'000'000;

std::size_t SizeOf(const std::vector<std::string>& texts) {
  std::size_t bytes = 2;
  for (const std::string& text : texts)
    bytes += text.size() + 1;
  return bytes;
}

std::size_t SizeOf(const gen::EndpointNews& change) {
  std::size_t bytes = kChangeOverhead + change.id.size();
  if (!change.__isset.fields)
    return bytes;
  const gen::EndpointFields& fields = change.fields;
  bytes += kFieldsOverhead + fields.service_name.size() + fields.host.size() +
           fields.data_centre.size() + SizeOf(fields.cached_in_memory) +
           SizeOf(fields.cached_on_disk);
  for (const gen::EndpointModel& model : fields.models)
    bytes += 4 + model.name.size() + SizeOf(model.adapters);
  return bytes;
}

bool Leaves(const gen::EndpointNews& change) {
  return !change.__isset.fields || change.fields.draining;
}

/// Returns the departures that a listing tells early, but for those of
/// endpoints that it shows otherwise as well.
std::vector<gen::EndpointNews> Departures(const gen::StoreBatch& listing) {
  std::map<std::string_view, int> counts;
  for (const gen::EndpointNews& change : listing.changes)
    ++counts[change.id];
  std::vector<gen::EndpointNews> departures;
  for (const gen::EndpointNews& change : listing.changes) {
    if (Leaves(change) && counts[change.id] == 1)
      departures.push_back(change);
  }
  return departures;
}

gen::EndpointNews LeftOut() {
  gen::EndpointNews change;
  change.__set_left_out(true);
  return change;
}

/// Begins a part with the departures that views at `from` may lack. Others may
/// have brought a view there that has not seen the first part. If they are too
/// many, the part says that it leaves something out, so that its receivers ask.
void TellAgain(const std::vector<gen::EndpointNews>& departures,
               const store::Place& from,
               gen::StoreBatch* part) {
  std::size_t bytes = 0;
  for (const gen::EndpointNews& departure : departures) {
    const bool is_held =
        !departure.deleted && PlaceOf(departure, *part) <= from;
    if (is_held)
      continue;
    bytes += SizeOf(departure);
    if (bytes > kMaxToldAgainBytes) {
      part->changes = {LeftOut()};
      return;
    }
    part->changes.push_back(departure);
  }
}

}  // namespace

std::size_t SizeOf(const gen::StoreBatch& batch) {
  std::size_t bytes = kBatchOverhead;
  for (const gen::EndpointNews& change : batch.changes)
    bytes += SizeOf(change);
  return bytes;
}

BatchRange RangeOf(const gen::StoreBatch& batch) {
  const std::int64_t from_era =
      batch.__isset.from_era ? batch.from_era : batch.era;
  return {store::Place(batch.from_revision, from_era),
          store::Place(batch.base_until, from_era),
          store::Place(batch.to_revision, batch.era)};
}

void SetRange(const BatchRange& range, gen::StoreBatch* batch) {
  batch->from_revision = range.from.revision;
  batch->base_until = range.base_until.revision;
  batch->to_revision = range.to.revision;
  batch->era = range.to.era;
  batch->__isset.era = range.to.era != 0;
  batch->from_era = range.from.era;
  batch->__isset.from_era = range.from.era != range.to.era;
}

store::Place PlaceOf(const gen::EndpointNews& change,
                     const gen::StoreBatch& batch) {
  return store::Place(change.revision, batch.era);
}

BatchFit Fit(const gen::StoreBatch& batch, const store::Place& known) {
  const BatchRange range = RangeOf(batch);
  if (range.to <= known)
    return BatchFit::kKnown;
  const bool whole =
      std::none_of(batch.changes.begin(), batch.changes.end(),
                   [](const gen::EndpointNews& one) { return one.left_out; });
  return whole && known >= range.from && known <= range.base_until
             ? BatchFit::kApplies
             : BatchFit::kGap;
}

bool IsNews(const gen::StoreBatch& batch,
            std::size_t position,
            const store::Place& known) {
  const BatchRange range = RangeOf(batch);
  const gen::EndpointNews& change = batch.changes[position];
  const bool is_listed = range.base_until < range.to;
  if (PlaceOf(change, batch) > known || is_listed)
    return true;
  if (!change.deleted)
    return false;
  for (std::size_t i = position + 1; i < batch.changes.size(); ++i) {
    const gen::EndpointNews& later = batch.changes[i];
    if (later.id == change.id && !later.deleted &&
        PlaceOf(later, batch) <= known)
      return false;
  }
  return true;
}

void Append(const gen::StoreBatch& batch, BatchLog* log) {
  const BatchRange range = RangeOf(batch);
  if (range.to <= log->covered_to)
    return;
  if (range.from > log->covered_to)
    log->batches.clear();
  log->covered_to = range.to;
  log->batches.push_back(batch);
  if (log->batches.size() > kMaxLogBatches)
    log->batches.pop_front();
}

Result<std::vector<gen::StoreBatch>> BatchesSince(const BatchLog& log,
                                                  const store::Place& known) {
  std::vector<gen::StoreBatch> since;
  store::Place reached = known;
  for (const gen::StoreBatch& batch : log.batches) {
    const BatchFit fit = Fit(batch, reached);
    if (fit == BatchFit::kKnown)
      continue;
    if (fit == BatchFit::kGap)
      return Error{ErrorCode::kGone, "the log begins later"};
    since.push_back(batch);
    reached = RangeOf(batch).to;
  }
  if (reached < log.covered_to)
    return Error{ErrorCode::kGone, "the log begins later"};
  return since;
}

std::vector<gen::StoreBatch> LastBatches(const BatchLog& log,
                                         std::size_t max_bytes) {
  std::vector<gen::StoreBatch> last;
  std::size_t bytes = 0;
  for (auto it = log.batches.rbegin(); it != log.batches.rend(); ++it) {
    bytes += SizeOf(*it);
    if (bytes > max_bytes)
      break;
    last.push_back(*it);
  }
  std::reverse(last.begin(), last.end());
  return last;
}

std::vector<gen::StoreBatch> SplitBatch(const gen::StoreBatch& batch) {
  const BatchRange whole = RangeOf(batch);
  const bool any_base = whole.base_until >= whole.to;
  // A part must not end at a state from which it may begin.
  store::Place least_end = any_base ? whole.from : whole.base_until;
  BatchRange range = whole;
  const std::vector<gen::EndpointNews> departures =
      any_base ? std::vector<gen::EndpointNews>() : Departures(batch);
  std::vector<gen::StoreBatch> parts;
  gen::StoreBatch part = batch;
  part.changes.clear();
  std::size_t bytes = kBatchOverhead;
  for (gen::EndpointNews change : batch.changes) {
    std::size_t size = SizeOf(change);
    if (size + kBatchOverhead > kMaxNewsBytes) {
      change.__isset.fields = false;
      change.fields = {};
      change.__set_left_out(true);
      size = SizeOf(change);
    }
    // Everything before it is older, or is an endpoint that leaves, which may
    // be told early. So a part may end here.
    const store::Place end(change.revision - 1, whole.to.era);
    if (bytes + size > kMaxNewsBytes && end > least_end && end < whole.to &&
        (any_base || !Leaves(change))) {
      range.to = end;
      if (any_base)
        range.base_until = end;
      SetRange(range, &part);
      parts.push_back(part);
      part = {};
      range = {end, any_base ? whole.to : end, whole.to};
      SetRange(range, &part);
      TellAgain(departures, end, &part);
      least_end = end;
      bytes = SizeOf(part);
    }
    bytes += size;
    part.changes.push_back(change);
  }
  parts.push_back(part);
  return parts;
}

std::vector<std::vector<gen::StoreBatch>> GroupBatches(
    const std::vector<gen::StoreBatch>& batches) {
  std::vector<std::vector<gen::StoreBatch>> groups;
  std::size_t bytes = 0;
  for (const gen::StoreBatch& batch : batches) {
    const std::size_t size = SizeOf(batch);
    if (groups.empty() || bytes + size > kMaxNewsBytes) {
      groups.emplace_back();
      bytes = 0;
    }
    bytes += size;
    groups.back().push_back(batch);
  }
  return groups;
}

void OrderListed(std::vector<gen::EndpointNews>* changes) {
  std::stable_sort(changes->begin(), changes->end(),
                   [](const gen::EndpointNews& a, const gen::EndpointNews& b) {
                     if (Leaves(a) != Leaves(b))
                       return Leaves(a);
                     return !Leaves(a) && a.revision < b.revision;
                   });
}

gen::EndpointFields ToWire(const gateway::EndpointEntry& entry) {
  gen::EndpointFields fields;
  fields.service_name = entry.service;
  fields.host = entry.address.address().to_string();
  fields.port = entry.address.port();
  fields.data_centre = entry.data_centre;
  fields.slots = entry.slots;
  fields.draining = entry.draining;
  fields.incarnation = entry.incarnation;
  for (const gateway::LoadedModel& model : entry.models) {
    gen::EndpointModel wire;
    wire.name = model.name;
    wire.adapters = model.adapters;
    fields.models.push_back(wire);
  }
  fields.cached_in_memory = entry.cached_in_memory;
  fields.cached_on_disk = entry.cached_on_disk;
  return fields;
}

Result<gateway::EndpointEntry> FromWire(const std::string& id,
                                        const gen::EndpointFields& fields) {
  boost::system::error_code ec;
  const auto host = boost::asio::ip::make_address(fields.host, ec);
  if (ec || !IsEndpointId(id) || fields.port <= 0 ||
      fields.port > std::numeric_limits<unsigned short>::max() ||
      fields.slots <= 0 || fields.slots > kMaxSlots)
    return Error{ErrorCode::kInvalid, "no usable endpoint"};
  gateway::EndpointEntry entry;
  entry.id = id;
  entry.service = fields.service_name;
  entry.address = {host, static_cast<unsigned short>(fields.port)};
  entry.data_centre = fields.data_centre;
  entry.slots = fields.slots;
  entry.draining = fields.draining;
  entry.incarnation = fields.incarnation;
  for (const gen::EndpointModel& model : fields.models)
    entry.models.push_back({model.name, model.adapters});
  entry.cached_in_memory = fields.cached_in_memory;
  entry.cached_on_disk = fields.cached_on_disk;
  return entry;
}

}  // namespace coltsfootvane::fleet
