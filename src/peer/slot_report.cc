#include <algorithm>

#include "peer/slot_caller.h"

namespace coltsfootvane::peer {
namespace {

constexpr Milliseconds kReportPeriod{1000};
/// Absence from two reports frees a slot, so two empty ones end the reporting.
constexpr int kEmptyReports = 2;
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
  ++this->round;
  for (dispatch::ReportMessage& chunk : SplitReport(pool, held)) {
    chunk.round = this->round;
    PeerMessage message;
    message.report = std::move(chunk);
    this->send(to, std::move(message));
  }
}

void SlotCaller::Report(TimePoint now) {
  std::map<std::string, std::vector<dispatch::HeldSlot>> by_pool;
  std::map<std::string, Reporting> reporting;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& [grant_id, one] : this->held) {
      const SlotRequest& request = one.request;
      by_pool[one.pool].push_back(
          {grant_id, request.request_id, one.endpoint_id, request.item,
           request.caller, request.priority,
           std::chrono::duration_cast<Milliseconds>(now - one.start)});
    }
    for (const auto& [pool, slots] : by_pool)
      this->reporting.try_emplace(pool);
    reporting = this->reporting;
  }
  const auto routes = this->routes->Get();
  for (auto& [name, state] : reporting) {
    const dispatch::Pool* pool = dispatch::FindPool(*routes, name);
    if (pool == nullptr)
      continue;
    const auto to = this->dispatchers.Get(*pool);
    const std::vector<dispatch::HeldSlot>& slots = by_pool[name];
    if (to && this->IsReportDue(to->id, slots.empty(), state, now))
      this->SendReport(*to, name, slots);
  }
  std::lock_guard<std::mutex> lock(this->mutex);
  for (const auto& [name, state] : reporting) {
    if (state.empty_rounds >= kEmptyReports && by_pool[name].empty())
      this->reporting.erase(name);
    else
      this->reporting[name] = state;
  }
}

}  // namespace coltsfootvane::peer
