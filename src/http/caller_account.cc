#include "http/caller_account.h"

#include <utility>
#include <vector>

namespace coltsfootvane::http {

using intake::Need;
using intake::Stage;

CallerAccount::CallerAccount(const intake::Bounds& bounds, End end)
    : bounds(bounds), end(std::move(end)) {}

CallerAccount::Caller& CallerAccount::FindOrAdd(int fd,
                                                std::uint64_t cookie,
                                                TimePoint now) {
  const auto [it, is_new] = this->callers.try_emplace(cookie);
  if (is_new) {
    intake::StartProgress(&it->second.progress, now);
    this->common_bytes += CommonBytes(it->second);
  }
  it->second.fd = fd;
  return it->second;
}

std::size_t CallerAccount::CommonBytes(const Caller& caller) {
  return intake::kConnectionBytes + caller.header_bytes +
         (caller.is_large ? 0 : caller.body_bytes);
}

void CallerAccount::Change(Caller* caller,
                           const std::function<void(Caller*)>& change) {
  const auto common = [caller] {
    return caller->is_ending ? 0 : CommonBytes(*caller);
  };
  const auto large = [caller] {
    const bool counts = caller->is_large && !caller->is_ending;
    return counts ? caller->body_bytes : 0;
  };
  this->common_bytes -= common();
  this->large_bytes -= large();
  this->ending -= caller->is_ending ? 1 : 0;
  change(caller);
  this->common_bytes += common();
  this->large_bytes += large();
  this->ending += caller->is_ending ? 1 : 0;
}

void CallerAccount::EndWhile(Need need,
                             TimePoint now,
                             const std::function<bool()>& is_needed) {
  if (!is_needed())
    return;
  std::vector<std::uint64_t> cookies;
  std::vector<intake::Holder> holders;
  for (const auto& [cookie, caller] : this->callers) {
    if (caller.is_ending)
      continue;
    cookies.push_back(cookie);
    holders.push_back(
        {caller.stage,
         caller.is_large ? caller.body_bytes : CommonBytes(caller),
         intake::Behind(caller.progress, now), caller.has_been_served});
  }
  for (const std::size_t index : intake::EndOrder(need, holders)) {
    if (!is_needed())
      break;
    Caller& caller = this->callers[cookies[index]];
    if (!this->end(caller.fd, cookies[index]))
      continue;  // Closed already, or no descriptor is left for the reset.
    this->Change(&caller, [](Caller* item) { item->is_ending = true; });
    ++this->ended;
  }
}

bool CallerAccount::AdmitLarge(std::size_t size, TimePoint now) {
  const auto does_not_fit = [this, size] {
    return intake::AdmitLargeBody(this->bounds, this->large_bytes, 0, size) !=
           intake::Admission::kGrant;
  };
  this->EndWhile(Need::kLargeBody, now, does_not_fit);
  return !does_not_fit();
}

bool CallerAccount::AdmitSmall(std::size_t size, TimePoint now) {
  const auto does_not_fit = [this, size] {
    return this->common_bytes + size > this->bounds.common_bytes;
  };
  this->EndWhile(Need::kCommonBytes, now, does_not_fit);
  return !does_not_fit();
}

bool CallerAccount::Admit(int fd,
                          std::uint64_t cookie,
                          std::size_t size,
                          TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Caller& caller = this->FindOrAdd(fd, cookie, now);
  // A request that is served is not ended, so it is not ended for its own body.
  this->Change(&caller, [](Caller* item) {
    item->stage = Stage::kServing;
    item->header_bytes = 0;
  });
  const bool is_large = size > intake::kSmallBodyBytes;
  const bool fits =
      is_large ? this->AdmitLarge(size, now) : this->AdmitSmall(size, now);
  intake::StartProgress(&caller.progress, now);
  caller.stage = Stage::kLingering;
  if (!fits)
    return false;
  this->Change(&caller, [is_large, size](Caller* item) {
    item->stage = is_large ? Stage::kGranted : Stage::kReceiving;
    item->is_large = is_large;
    item->body_bytes = size;
  });
  return true;
}

void CallerAccount::RecordBytes(std::uint64_t cookie,
                                std::size_t count,
                                TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto it = this->callers.find(cookie);
  if (it != this->callers.end())
    intake::RecordBytes(&it->second.progress, count, now);
}

bool CallerAccount::BeginServing(int fd, std::uint64_t cookie, TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Caller& caller = this->FindOrAdd(fd, cookie, now);
  if (caller.is_ending)
    return false;
  this->Change(&caller, [](Caller* item) {
    item->stage = Stage::kServing;
    item->header_bytes = 0;
  });
  return true;
}

void CallerAccount::Release(std::uint64_t cookie, TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto it = this->callers.find(cookie);
  if (it == this->callers.end())
    return;
  this->Change(&it->second, [now](Caller* item) {
    item->has_been_served |= item->stage == Stage::kServing;
    item->stage = Stage::kIdle;
    item->body_bytes = 0;
    item->is_large = false;
    intake::StartProgress(&item->progress, now);
  });
}

void CallerAccount::RecordHeader(int fd,
                                 std::uint64_t cookie,
                                 std::size_t header_bytes,
                                 TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Caller& caller = this->FindOrAdd(fd, cookie, now);
  if (caller.stage != Stage::kIdle)
    return;
  if (header_bytes > 0 && caller.header_bytes == 0)
    intake::StartProgress(&caller.progress, now);
  else if (header_bytes > caller.header_bytes)
    intake::RecordBytes(&caller.progress, header_bytes - caller.header_bytes,
                        now);
  this->Change(&caller, [header_bytes](Caller* item) {
    item->header_bytes = header_bytes;
  });
}

void CallerAccount::Forget(std::uint64_t cookie) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto it = this->callers.find(cookie);
  if (it == this->callers.end())
    return;
  const Caller& caller = it->second;
  this->ending -= caller.is_ending ? 1 : 0;
  this->common_bytes -= caller.is_ending ? 0 : CommonBytes(caller);
  if (caller.is_large && !caller.is_ending)
    this->large_bytes -= caller.body_bytes;
  this->callers.erase(it);
}

int CallerAccount::Enforce(int excess, TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->EndWhile(Need::kCommonBytes, now, [this] {
    return this->common_bytes > this->bounds.common_bytes;
  });
  // What has been reset keeps its descriptor until the library closes it.
  this->EndWhile(Need::kDescriptor, now,
                 [this, excess] { return excess > this->ending; });
  return std::exchange(this->ended, 0);
}

}  // namespace coltsfootvane::http
