#include <algorithm>
#include <utility>

#include "fleet/codec.h"
#include "fleet/fleet.h"

namespace coltsfootvane::fleet {
namespace {

using gateway::AdapterOutcome;
using gateway::KeyOf;

/// An answer normally takes a few ms, or the time of an order that comes first.
constexpr Milliseconds kFirstResend{60};
constexpr int kMaxDoublings = 2;

}  // namespace

TimePoint NextSend(int sends, TimePoint now) {
  return now + kFirstResend * (1 << std::min(sends - 1, kMaxDoublings));
}

bool Fleet::IsHolderSilent(std::int64_t epoch) const {
  return IsSilent(this->holder, this->table, epoch, BootNow());
}

bool Fleet::HearsOtherHolder() const {
  const std::uint32_t address =
      FindLiveHolder(this->holder, this->table, BootNow());
  return address != 0 && address != this->own_address;
}

void Fleet::OnAdapterRequest(const gen::AdapterRequest& request,
                             std::uint32_t from) {
  gen::AdapterReply answer;
  answer.number = request.number;
  const auto reply = [this, from, answer](std::uint32_t endpoint) mutable {
    answer.ready = endpoint != 0;
    answer.endpoint = static_cast<std::int32_t>(endpoint);
    gen::Datagram datagram;
    datagram.__set_adapter_reply(answer);
    this->SendTo(from, Encode(datagram));
  };
  // The sender asks again, by then another daemon.
  if (!this->loader)
    return;
  this->loader(request.service_name, request.model, request.adapter, reply);
}

void Fleet::OnAdapterReply(const gen::AdapterReply& reply) {
  const auto found = this->pending_adapters.find(reply.number);
  if (found == this->pending_adapters.end())
    return;
  const PendingAdapter request = std::move(found->second);
  this->pending_adapters.erase(found);
  if (reply.ready)
    this->RecordAdapter(
        static_cast<std::uint32_t>(reply.endpoint),
        gateway::AdapterName(request.wanted.model, request.wanted.adapter));
  request.done(reply.ready ? AdapterOutcome::kReady
                           : AdapterOutcome::kNoEngine);
}

void Fleet::RecordAdapter(std::uint32_t endpoint_key,
                          const std::string& adapter_name) {
  for (const gateway::EndpointPtr& endpoint : this->gateway->endpoint_list) {
    if (endpoint->key == endpoint_key)
      endpoint->adapters.insert(KeyOf(adapter_name));
  }
}

void Fleet::RequestAdapter(const gateway::AdapterWanted& wanted,
                           gateway::AdapterHandler done) {
  if (this->loader) {
    const std::string name = gateway::AdapterName(wanted.model, wanted.adapter);
    this->loader(wanted.service, wanted.model, wanted.adapter,
                 [this, name, done = std::move(done)](std::uint32_t endpoint) {
                   if (endpoint != 0)
                     this->RecordAdapter(endpoint, name);
                   done(endpoint != 0 ? AdapterOutcome::kReady
                                      : AdapterOutcome::kNoEngine);
                 });
    return;
  }
  const std::int64_t number = ++this->last_request_number;
  PendingAdapter& pending = this->pending_adapters[number];
  pending.wanted = wanted;
  pending.done = std::move(done);
  pending.timer = std::make_unique<net::Timer>(this->io);
  this->SendAdapterRequest(number);
}

/// Sends the request to the present holder, if there is one, and sets the time
/// of the next attempt.
void Fleet::SendAdapterRequest(std::int64_t number) {
  PendingAdapter& pending = this->pending_adapters.at(number);
  const TimePoint now = BootNow();
  const std::uint32_t holder_address =
      FindLiveHolder(this->holder, this->table, now);
  if (holder_address != 0) {
    gen::AdapterRequest request;
    request.number = number;
    request.service_name = pending.wanted.service;
    request.model = pending.wanted.model;
    request.adapter = pending.wanted.adapter;
    gen::Datagram datagram;
    datagram.__set_adapter_request(request);
    this->SendTo(holder_address, Encode(datagram));
  }
  ++pending.sends;
  const TimePoint next =
      std::min(NextSend(pending.sends, now), pending.wanted.deadline);
  pending.timer->Set(TimeLeft(next, now),
                     [this, number] { this->OnAdapterTimer(number); });
}

void Fleet::OnAdapterTimer(std::int64_t number) {
  const auto found = this->pending_adapters.find(number);
  if (found == this->pending_adapters.end())
    return;
  if (BootNow() < found->second.wanted.deadline) {
    this->SendAdapterRequest(number);
    return;
  }
  const PendingAdapter request = std::move(found->second);
  this->pending_adapters.erase(found);
  request.done(AdapterOutcome::kNoAnswer);
}

}  // namespace coltsfootvane::fleet
