#include <algorithm>
#include <set>
#include <utility>

#include "peer/slot_caller.h"

namespace coltsfootvane::peer {
namespace {

constexpr Milliseconds kReportPeriod{1000};
/// Absence from two reports frees a slot, so two empty ones end the reporting.
constexpr int kEmptyReports = 2;
/// A lost report must not leave a new dispatcher without the details.
constexpr int kDetailedReports = 2;
/// Details are repeated rarely, for slots that the dispatcher has freed
/// wrongly.
constexpr std::int64_t kDetailedRound = 5;
/// Keeps one chunk below the size of a datagram.
constexpr std::size_t kChunkBytes = 1000;
constexpr std::size_t kFixedHeldBytes = 32;

std::size_t SizeOf(const dispatch::HeldSlot& held) {
  return kFixedHeldBytes + held.request_id.size() + held.endpoint_id.size() +
         held.item.size() + held.caller.size();
}

std::vector<dispatch::ReportMessage> SplitReport(
    const std::string& pool,
    const std::vector<dispatch::HeldSlot>& held) {
  std::vector<dispatch::ReportMessage> chunks(1);
  std::size_t room = kChunkBytes;
  for (const dispatch::HeldSlot& one : held) {
    const std::size_t size = SizeOf(one);
    if (size > room) {
      chunks.emplace_back();
      room = kChunkBytes;
    }
    room -= std::min(room, size);
    chunks.back().held.push_back(one);
  }
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    chunks[i].pool = pool;
    chunks[i].chunk = static_cast<int>(i);
    chunks[i].chunks = static_cast<int>(chunks.size());
  }
  return chunks;
}

}  // namespace

bool SlotCaller::IsReportDue(const std::string& dispatcher,
                             bool is_empty,
                             Reporting& reporting,
                             TimePoint now) {
  // A new dispatcher hears at once what is held.
  const bool changed = reporting.dispatcher != dispatcher;
  if (!changed && now < reporting.next)
    return false;
  reporting.dispatcher = dispatcher;
  reporting.next = now + kReportPeriod;
  reporting.empty_rounds = is_empty ? reporting.empty_rounds + 1 : 0;
  return true;
}

void SlotCaller::SendReport(const membership::Member& to,
                            const std::string& pool,
                            const std::vector<dispatch::HeldSlot>& held) {
  // Only the report thread counts rounds.
  ++this->round;
  for (dispatch::ReportMessage& chunk : SplitReport(pool, held)) {
    chunk.round = this->round;
    PeerMessage message;
    message.report = std::move(chunk);
    this->send(to, std::move(message));
  }
}

std::vector<dispatch::HeldSlot> SlotCaller::ListHeld(
    const std::string& pool,
    const std::string& dispatcher,
    TimePoint now) {
  std::vector<dispatch::HeldSlot> slots;
  std::lock_guard<std::mutex> lock(this->mutex);
  const bool detailed_round = this->round % kDetailedRound == 0;
  for (auto& [grant_id, one] : this->held) {
    if (one.pool != pool)
      continue;
    dispatch::HeldSlot slot;
    slot.grant_id = grant_id;
    slot.priority = one.request.priority;
    slot.age = std::chrono::duration_cast<Milliseconds>(now - one.start);
    const bool known = one.known_to == dispatcher;
    if (!known || detailed_round) {
      slot.request_id = one.request.request_id;
      slot.endpoint_id = one.endpoint_id;
      slot.item = one.request.item;
      slot.caller = one.request.caller;
    }
    if (!known && ++one.detailed_reports >= kDetailedReports) {
      one.known_to = dispatcher;
      one.detailed_reports = 0;
    }
    slots.push_back(std::move(slot));
  }
  return slots;
}

void SlotCaller::Report(TimePoint now) {
  std::map<std::string, Reporting> reporting;
  std::set<std::string> used;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& [grant_id, one] : this->held)
      used.insert(one.pool);
    for (const std::string& pool : used)
      this->reporting.try_emplace(pool);
    reporting = this->reporting;
  }
  const auto routes = this->routes->Get();
  for (auto& [name, state] : reporting) {
    const dispatch::Pool* pool = dispatch::FindPool(*routes, name);
    if (pool == nullptr)
      continue;
    const auto to = this->dispatchers.Get(*pool);
    const bool is_empty = used.count(name) == 0;
    if (to && this->IsReportDue(to->id, is_empty, state, now))
      this->SendReport(*to, name, this->ListHeld(name, to->id, now));
  }
  std::lock_guard<std::mutex> lock(this->mutex);
  for (const auto& [name, state] : reporting) {
    if (state.empty_rounds >= kEmptyReports)
      this->reporting.erase(name);
    else
      this->reporting[name] = state;
  }
}

}  // namespace coltsfootvane::peer
