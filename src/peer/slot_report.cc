#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "peer/slot_requester.h"

namespace coltsfootvane::peer {
namespace {

constexpr Milliseconds kReportPeriod{1000};
/// A dispatcher frees a slot that is missing from two reports, so reporting
/// stops after two empty ones. A new dispatcher gets them as well, because it
/// halves its limits until all entries have reported.
constexpr int kEmptyReportCount = 2;
/// Details are sent twice to a new dispatcher, in case one report is lost.
constexpr int kDetailedReportCount = 2;
/// In reports. Details are repeated at times, so that a dispatcher can restore
/// slots that it has freed by mistake.
constexpr std::int64_t kDetailedRoundInterval = 5;
/// Keeps an encoded chunk below kMaxDatagramBytes.
constexpr std::size_t kMaxChunkBytes = 1000;
constexpr std::size_t kFixedHeldBytes = 32;

std::size_t SizeOf(const dispatch::HeldSlot& held) {
  return kFixedHeldBytes + held.request_id.size() + held.endpoint_id.size() +
         held.item.size() + held.caller.size();
}

std::vector<dispatch::HeldSlotsMessage> SplitReport(
    const std::string& pool,
    const std::vector<dispatch::HeldSlot>& held) {
  std::vector<dispatch::HeldSlotsMessage> chunks(1);
  std::size_t room = kMaxChunkBytes;
  for (const dispatch::HeldSlot& one : held) {
    const std::size_t size = SizeOf(one);
    if (size > room) {
      chunks.emplace_back();
      room = kMaxChunkBytes;
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

bool SlotRequester::IsReportDue(const std::string& dispatcher,
                                bool is_empty,
                                Reporting& reporting,
                                TimePoint now) {
  // A new dispatcher gets a report at once.
  const bool changed = reporting.dispatcher != dispatcher;
  if (changed)
    reporting.empty_rounds = 0;
  const bool ended = is_empty && reporting.empty_rounds >= kEmptyReportCount;
  if (!changed && (ended || now < reporting.next))
    return false;
  reporting.dispatcher = dispatcher;
  reporting.next = now + kReportPeriod;
  reporting.empty_rounds = is_empty ? reporting.empty_rounds + 1 : 0;
  return true;
}

void SlotRequester::SendReport(const membership::Member& to,
                               const std::string& pool,
                               std::int64_t round,
                               const std::vector<dispatch::HeldSlot>& held) {
  for (dispatch::HeldSlotsMessage& chunk : SplitReport(pool, held)) {
    chunk.round = round;
    PeerMessage message;
    message.held_slots = std::move(chunk);
    this->send(to, std::move(message));
  }
}

std::vector<dispatch::HeldSlot> SlotRequester::ListHeld(
    const std::string& pool,
    const std::string& dispatcher,
    bool detailed_round,
    TimePoint now) {
  std::vector<dispatch::HeldSlot> slots;
  std::lock_guard<std::mutex> lock(this->mutex);
  for (auto& [grant_id, one] : this->held) {
    if (one.pool != pool)
      continue;
    dispatch::HeldSlot slot;
    slot.grant_id = grant_id;
    slot.priority = one.request.priority;
    slot.age = std::chrono::duration_cast<Milliseconds>(now - one.start);
    const bool known = one.details_known_to == dispatcher;
    if (!known || detailed_round) {
      slot.request_id = one.request.request_id;
      slot.endpoint_id = one.endpoint_id;
      slot.item = one.request.item;
      slot.caller = one.request.caller;
    }
    if (!known && ++one.detailed_reports >= kDetailedReportCount) {
      one.details_known_to = dispatcher;
      one.detailed_reports = 0;
    }
    slots.push_back(std::move(slot));
  }
  return slots;
}

void SlotRequester::Report(TimePoint now) {
  std::set<std::string> used;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& [grant_id, one] : this->held)
      used.insert(one.pool);
  }
  const auto routes = this->routes->Get();
  // `reporting` needs no lock: only the report thread uses it.
  for (auto it = this->reporting.begin(); it != this->reporting.end();)
    it = dispatch::FindPool(*routes, it->first) != nullptr
             ? std::next(it)
             : this->reporting.erase(it);
  for (const dispatch::Pool& pool : routes->pools) {
    const auto to = this->dispatchers.Get(pool);
    const bool is_empty = used.count(pool.name) == 0;
    Reporting& state = this->reporting[pool.name];
    if (!to || !this->IsReportDue(to->id, is_empty, state, now))
      continue;
    const bool detailed_round = state.round % kDetailedRoundInterval == 0;
    ++state.round;
    this->SendReport(*to, pool.name, state.round,
                     this->ListHeld(pool.name, to->id, detailed_round, now));
  }
}

}  // namespace coltsfootvane::peer
