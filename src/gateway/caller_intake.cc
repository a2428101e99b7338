#include "gateway/caller_intake.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "gateway/caller_connection.h"
#include "gateway/exchange.h"
#include "gateway/gateway.h"

namespace coltsfootvane::gateway {
namespace {

/// Descriptors that are neither callers' nor for requests to endpoints: the
/// store, other daemons, health checks, metrics, listeners and timers.
constexpr std::size_t kOwnDescriptors = 48;
/// Connections that are ended in one pass for lack of descriptors, so that a
/// crowd that connects at once does not cost a pass each.
constexpr std::size_t kEndedPerPass = 8;
/// After a pass that found no connection to end, until the next pass.
constexpr Milliseconds kPassInterval{50};

}  // namespace

CallerIntake::CallerIntake(Gateway* owner) : gateway(owner) {}

net::ByteAccount* CallerIntake::Account() const {
  return &this->gateway->held_bytes;
}

std::uint64_t CallerIntake::Add(CallerConnection* connection) {
  this->connections.emplace(++this->last_number, connection);
  return this->last_number;
}

void CallerIntake::Remove(std::uint64_t number) {
  this->connections.erase(number);
}

void CallerIntake::AddLingering(const std::shared_ptr<net::TcpStream>& stream) {
  this->ForgetClosed();
  this->lingering.push_back(stream);
}

void CallerIntake::ForgetClosed() {
  while (!this->lingering.empty() && this->lingering.front().expired())
    this->lingering.pop_front();
}

std::size_t CallerIntake::WaitingCount() const {
  return static_cast<std::size_t>(std::count_if(
      this->connections.begin(), this->connections.end(),
      [](const auto& entry) { return entry.second->AwaitsRoom(); }));
}

std::size_t CallerIntake::UnsentCount() const {
  return static_cast<std::size_t>(std::count_if(
      this->connections.begin(), this->connections.end(),
      [](const auto& entry) { return entry.second->HasUnsent(); }));
}

std::size_t CallerIntake::ReceivingCount() const {
  return static_cast<std::size_t>(std::count_if(
      this->connections.begin(), this->connections.end(),
      [](const auto& entry) { return entry.second->IsReceiving(); }));
}

void CallerIntake::RefuseReceiving() {
  for (const auto& connection : this->All())
    connection->RefuseIfReceiving();
}

std::size_t CallerIntake::EndUnsent() {
  std::size_t ended = 0;
  for (const auto& connection : this->All())
    ended += connection->EndIfUnsent() ? 1 : 0;
  return ended;
}

CallerIntake::Connections CallerIntake::All() const {
  Connections all;
  all.reserve(this->connections.size());
  for (const auto& [number, connection] : this->connections) {
    if (auto held = connection->weak_from_this().lock())
      all.push_back(std::move(held));
  }
  return all;
}

CallerIntake::Connections CallerIntake::EndOrder(intake::Need need,
                                                 TimePoint now) const {
  const Connections all = this->All();
  std::vector<intake::Holder> holders;
  holders.reserve(all.size());
  for (const auto& connection : all)
    holders.push_back(connection->Describe(now));
  Connections order;
  for (const std::size_t index : intake::EndOrder(need, holders))
    order.push_back(all[index]);
  return order;
}

bool CallerIntake::AdmitConnection(int descriptor) {
  // Descriptors are given out from the lowest free number: below this one all
  // are in use.
  return descriptor < this->bounds.caller_descriptors ||
         this->MakeDescriptorRoom();
}

bool CallerIntake::AdmitRequest() {
  this->ForgetClosed();
  const std::size_t used = this->connections.size() + this->lingering.size() +
                           static_cast<std::size_t>(this->gateway->exchanges) +
                           kOwnDescriptors;
  return used < static_cast<std::size_t>(this->bounds.max_descriptors) ||
         this->MakeDescriptorRoom();
}

/// Returns whether descriptors were freed.
bool CallerIntake::MakeDescriptorRoom() {
  std::size_t ended = 0;
  while (!this->lingering.empty() && ended < kEndedPerPass) {
    if (const auto stream = this->lingering.front().lock()) {
      ended += stream->IsOpen() ? 1 : 0;
      stream->Close();
    }
    this->lingering.pop_front();
  }
  if (ended > 0)
    return true;
  const TimePoint now = BootNow();
  if (now < this->no_descriptors_until)
    return false;
  for (const auto& connection :
       this->EndOrder(intake::Need::kDescriptor, now)) {
    if (connection->EndForRoom("descriptors", now))
      ++ended;
    if (ended == kEndedPerPass)
      break;
  }
  ended += ended > 0 ? 0 : this->gateway->connections.DropIdle();
  if (ended == 0)
    this->no_descriptors_until = now + kPassInterval;
  return ended > 0;
}

intake::Admission CallerIntake::AdmitBody(std::size_t bytes) {
  const intake::Admission admission = intake::AdmitLargeBody(
      this->bounds, this->granted, this->WaitingCount(), bytes);
  if (admission == intake::Admission::kGrant)
    this->granted += bytes;
  return admission;
}

void CallerIntake::ReleaseGrant(std::size_t bytes) {
  this->granted -= bytes;
  if (this->grant_due || this->connections.empty())
    return;
  // Posted, since this runs within the call that ended a request.
  this->grant_due = true;
  boost::asio::post(*this->gateway->io, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->grant_due = false;
      self->GrantWaiting(BootNow());
    }
  });
}

void CallerIntake::KeepBounds() {
  if (!IsFull(this->gateway->held_bytes))
    return;
  const TimePoint now = BootNow();
  if (now < this->no_bytes_until)
    return;
  for (const auto& connection :
       this->EndOrder(intake::Need::kCommonBytes, now)) {
    connection->EndForRoom("memory", now);
    if (!IsFull(this->gateway->held_bytes))
      return;
  }
  this->no_bytes_until = now + kPassInterval;
}

/// Gives room to the smallest body first, so that a crowd of large ones delays
/// others as little as possible.
void CallerIntake::GrantWaiting(TimePoint now) {
  Connections waiting;
  for (auto& connection : this->All()) {
    if (connection->AwaitsRoom())
      waiting.push_back(std::move(connection));
  }
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const auto& a, const auto& b) {
                     return a->WantedBytes() < b->WantedBytes();
                   });
  for (const auto& connection : waiting) {
    if (!connection->AwaitsRoom())
      continue;  // Ended meanwhile.
    const std::size_t wanted = connection->WantedBytes();
    if (intake::AdmitLargeBody(this->bounds, this->granted, 0, wanted) !=
        intake::Admission::kGrant)
      return;
    this->granted += wanted;
    connection->OnRoom(now);
  }
}

/// Keeps room for the daemon's own calls, which are given up when half of the
/// bytes are used: orders to engines and their reports.
void CallerIntake::EndLate(TimePoint now) {
  for (const auto& connection :
       this->EndOrder(intake::Need::kSpareBytes, now)) {
    if (!IsHalfFull(this->gateway->held_bytes))
      return;
    connection->EndForRoom("memory", now);
  }
}

void CallerIntake::Tick(TimePoint now) {
  Connections all = this->All();
  bool waits = false;
  for (const auto& connection : all) {
    connection->ObserveProgress(now);
    connection->EndLongWait(now);
    waits = waits || connection->AwaitsRoom();
  }
  if (IsHalfFull(this->gateway->held_bytes))
    this->EndLate(now);
  if (!waits)
    return;
  this->GrantWaiting(now);
  // Bodies that endpoints have received are kept for retries only.
  if (this->WaitingCount() > 0) {
    for (const auto& exchange : OpenExchanges(*this->gateway))
      exchange->ReleaseBody(now);
    this->GrantWaiting(now);
  }
  for (const auto& connection : this->EndOrder(intake::Need::kLargeBody, now)) {
    if (this->WaitingCount() == 0)
      return;
    connection->EndForRoom("slow body", now);
    this->GrantWaiting(now);
  }
}

}  // namespace coltsfootvane::gateway
