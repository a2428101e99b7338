#include <utility>

#include "fleet/codec.h"
#include "fleet/fleet.h"

namespace coltsfootvane::fleet {
namespace {

using gateway::KeyOf;
using BoostError = boost::system::error_code;

/// A reply normally takes a few ms. Without one, the adapter request fails
/// after this time.
constexpr Milliseconds kAdapterRequestTimeout{150};

}  // namespace

void Fleet::OnAdapterRequest(const gen::AdapterRequest& request,
                             std::uint32_t from) {
  const auto reply = [this, from,
                      number = request.number](std::uint32_t endpoint) {
    gen::AdapterReply answer;
    answer.number = number;
    answer.ready = endpoint != 0;
    answer.endpoint = static_cast<std::int32_t>(endpoint);
    gen::Datagram datagram;
    datagram.__set_adapter_reply(answer);
    this->SendTo(from, Encode(datagram));
  };
  if (!this->loader) {
    reply(0);
    return;
  }
  this->loader(request.service_name, request.model, request.adapter, reply);
}

void Fleet::OnAdapterReply(const gen::AdapterReply& reply) {
  const auto found = this->pending_requests.find(reply.number);
  if (found == this->pending_requests.end())
    return;
  const PendingRequest request = std::move(found->second);
  this->pending_requests.erase(found);
  if (reply.ready)
    this->RecordAdapter(static_cast<std::uint32_t>(reply.endpoint),
                        request.adapter_name);
  request.done(reply.ready);
}

void Fleet::RecordAdapter(std::uint32_t endpoint_key,
                          const std::string& adapter_name) {
  for (const gateway::EndpointPtr& endpoint : this->gateway->endpoint_list) {
    if (endpoint->key == endpoint_key)
      endpoint->adapters.insert(KeyOf(adapter_name));
  }
}

void Fleet::RequestAdapter(const std::string& service,
                           const std::string& model,
                           const std::string& adapter,
                           std::function<void(bool)> done) {
  const std::string name = gateway::AdapterName(model, adapter);
  if (this->loader) {
    this->loader(service, model, adapter,
                 [this, name, done = std::move(done)](std::uint32_t endpoint) {
                   if (endpoint != 0)
                     this->RecordAdapter(endpoint, name);
                   done(endpoint != 0);
                 });
    return;
  }
  const TimePoint now = BootNow();
  const std::uint32_t holder = FindHolder(this->table, now);
  if (holder == 0) {
    boost::asio::post(*this->io, [done = std::move(done)] { done(false); });
    return;
  }
  const std::int64_t number = ++this->last_request_number;
  this->pending_requests[number] = {name, std::move(done),
                                    now + kAdapterRequestTimeout};
  gen::AdapterRequest request;
  request.number = number;
  request.service_name = service;
  request.model = model;
  request.adapter = adapter;
  gen::Datagram datagram;
  datagram.__set_adapter_request(request);
  this->SendTo(holder, Encode(datagram));
  auto expiry = std::make_shared<boost::asio::steady_timer>(*this->io);
  expiry->expires_after(kAdapterRequestTimeout);
  expiry->async_wait([this, expiry](const BoostError& ec) {
    if (!ec)
      this->ExpirePendingRequests(BootNow());
  });
}

void Fleet::ExpirePendingRequests(TimePoint now) {
  std::vector<PendingRequest> expired;
  for (auto it = this->pending_requests.begin();
       it != this->pending_requests.end();) {
    if (it->second.expires_at > now) {
      ++it;
      continue;
    }
    expired.push_back(std::move(it->second));
    it = this->pending_requests.erase(it);
  }
  for (const PendingRequest& request : expired)
    request.done(false);
}

}  // namespace coltsfootvane::fleet
