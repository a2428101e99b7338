#include "peer/codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "peer/gen/peer_types.h"

namespace coltsfootvane::peer {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

/// Upper bounds for any valid datagram. Thrift allocates memory for a list
/// before it reads the elements, so a forged length must be rejected first.
constexpr int kMaxStringBytes = 1200;
constexpr int kMaxListElements = 256;
constexpr int kQueuedVerdict = 100;
/// A daemon raises its own incarnation above any that it receives; the bound
/// prevents an overflow.
constexpr std::int64_t kMaxIncarnation = std::int64_t{1} << 62;
constexpr std::int64_t kMaxLeftMs = 24LL * 3600 * 1000;

std::int32_t LeftMs(TimePoint deadline, TimePoint now) {
  return static_cast<std::int32_t>(
      std::min<std::int64_t>(kMaxLeftMs, TimeLeft(deadline, now).count()));
}

TimePoint DeadlineFrom(std::int32_t left_ms, TimePoint now) {
  return now + Milliseconds{std::clamp<std::int64_t>(left_ms, 0, kMaxLeftMs)};
}

/// Converts a number from the wire to an enum value. Returns false if it is out
/// of range.
template <class Enum>
bool ToEnum(std::int32_t number, Enum last, Enum* value) {
  if (number < 0 || number > static_cast<std::int32_t>(last))
    return false;
  *value = static_cast<Enum>(number);
  return true;
}

gen::MemberUpdate ToWire(const membership::Member& member) {
  gen::MemberUpdate wire;
  wire.id = member.id;
  wire.incarnation = member.incarnation;
  wire.instance = member.instance;
  wire.data_centre = member.data_centre;
  wire.region = member.region;
  wire.host = member.address.host;
  wire.port = member.address.port;
  wire.state = static_cast<std::int32_t>(member.state);
  wire.version = member.version;
  wire.digest = member.digest;
  wire.planner = member.planner;
  return wire;
}

bool FromWire(const gen::MemberUpdate& wire, membership::Member* member) {
  member->id = wire.id;
  member->incarnation = wire.incarnation;
  member->instance = wire.instance;
  member->data_centre = wire.data_centre;
  member->region = wire.region;
  member->address = {wire.host, wire.port};
  member->version = wire.version;
  member->digest = wire.digest;
  member->planner = wire.planner;
  return ToEnum(wire.state, membership::MemberState::kDead, &member->state) &&
         wire.port > 0 && wire.port <= 65535 && wire.incarnation >= 0 &&
         wire.incarnation <= kMaxIncarnation;
}

gen::Membership ToWire(const membership::Message& message, TimePoint now) {
  gen::Membership wire;
  wire.kind = static_cast<std::int32_t>(message.kind);
  wire.sequence = message.sequence;
  wire.target_host = message.target.host;
  wire.target_port = message.target.port;
  wire.sender = ToWire(message.sender);
  for (const membership::Member& update : message.updates)
    wire.updates.push_back(ToWire(update));
  for (const membership::LeavingEndpoint& one : message.leaving) {
    gen::LeavingEndpoint leaving;
    leaving.id = one.id;
    leaving.left_ms = LeftMs(one.deadline, now);
    wire.leaving.push_back(leaving);
  }
  if (!message.buckets.empty())
    wire.__set_buckets(message.buckets);
  return wire;
}

bool FromWire(const gen::Membership& wire,
              TimePoint now,
              membership::Message* message) {
  if (!ToEnum(wire.kind, membership::MessageKind::kSyncRequest,
              &message->kind) ||
      !FromWire(wire.sender, &message->sender))
    return false;
  message->sequence = wire.sequence;
  message->target = {wire.target_host, wire.target_port};
  for (const gen::MemberUpdate& one : wire.updates) {
    membership::Member update;
    if (!FromWire(one, &update))
      return false;
    message->updates.push_back(std::move(update));
  }
  for (const gen::LeavingEndpoint& one : wire.leaving)
    message->leaving.push_back({one.id, DeadlineFrom(one.left_ms, now)});
  message->buckets = wire.buckets;
  return true;
}

gen::SlotAsk ToWire(const dispatch::SlotRequestMessage& slot_request,
                    TimePoint now) {
  const SlotRequest& request = slot_request.request;
  gen::SlotAsk wire;
  wire.pool = slot_request.pool;
  wire.request_id = request.request_id;
  wire.item = request.item;
  wire.kind = static_cast<std::int32_t>(request.kind);
  wire.priority = static_cast<std::int32_t>(request.priority);
  wire.caller = request.caller;
  wire.prefix_hash = static_cast<std::int64_t>(request.prefix_hash);
  wire.left_ms = LeftMs(request.deadline, now);
  wire.excluded = request.excluded;
  return wire;
}

bool FromWire(const gen::SlotAsk& wire,
              TimePoint now,
              dispatch::SlotRequestMessage* slot_request) {
  SlotRequest& request = slot_request->request;
  slot_request->pool = wire.pool;
  request.request_id = wire.request_id;
  request.item = wire.item;
  request.caller = wire.caller;
  request.prefix_hash = static_cast<std::uint64_t>(wire.prefix_hash);
  request.deadline = DeadlineFrom(wire.left_ms, now);
  request.excluded = wire.excluded;
  return ToEnum(wire.kind, EndpointKind::kService, &request.kind) &&
         ToEnum(wire.priority, Priority::kOvernight, &request.priority);
}

gen::SlotReply ToWire(const dispatch::SlotReplyMessage& reply) {
  gen::SlotReply wire;
  wire.pool = reply.pool;
  wire.request_id = reply.request_id;
  wire.verdict = reply.queued ? kQueuedVerdict
                              : static_cast<std::int32_t>(reply.answer.verdict);
  wire.endpoint_id = reply.answer.endpoint_id;
  wire.grant_id = static_cast<std::int64_t>(reply.answer.grant_id);
  wire.retry_after_ms = reply.answer.retry_after_ms;
  wire.pool_load_percent = reply.pool_load_percent;
  return wire;
}

bool FromWire(const gen::SlotReply& wire, dispatch::SlotReplyMessage* reply) {
  reply->pool = wire.pool;
  reply->request_id = wire.request_id;
  reply->queued = wire.verdict == kQueuedVerdict;
  reply->answer.endpoint_id = wire.endpoint_id;
  reply->answer.grant_id = static_cast<std::uint64_t>(wire.grant_id);
  reply->answer.retry_after_ms = std::max(0, wire.retry_after_ms);
  reply->pool_load_percent = wire.pool_load_percent;
  return reply->queued || ToEnum(wire.verdict, SlotVerdict::kCancelledWaiting,
                                 &reply->answer.verdict);
}

gen::SlotReturn ToWire(const dispatch::SlotReleaseMessage& release) {
  const SlotOutcome& outcome = release.outcome;
  gen::SlotReturn wire;
  wire.pool = release.pool;
  wire.request_id = release.request_id;
  wire.grant_id = static_cast<std::int64_t>(release.grant_id);
  wire.withdrawn = release.withdrawn;
  wire.endpoint_failed = outcome.endpoint_failed;
  wire.endpoint_leaving = outcome.endpoint_leaving;
  wire.tokens = outcome.tokens;
  wire.first_token_us = outcome.time_to_first_token.count();
  wire.per_token_us = outcome.time_per_token.count();
  return wire;
}

dispatch::SlotReleaseMessage FromWire(const gen::SlotReturn& wire) {
  dispatch::SlotReleaseMessage release;
  release.pool = wire.pool;
  release.request_id = wire.request_id;
  release.grant_id = static_cast<std::uint64_t>(wire.grant_id);
  release.withdrawn = wire.withdrawn;
  release.outcome.endpoint_failed = wire.endpoint_failed;
  release.outcome.endpoint_leaving = wire.endpoint_leaving;
  release.outcome.tokens = wire.tokens;
  release.outcome.time_to_first_token = Microseconds{wire.first_token_us};
  release.outcome.time_per_token = Microseconds{wire.per_token_us};
  return release;
}

gen::GrantReport ToWire(const dispatch::HeldSlotsMessage& report) {
  gen::GrantReport wire;
  wire.pool = report.pool;
  wire.round = report.round;
  wire.chunk = report.chunk;
  wire.chunks = report.chunks;
  for (const dispatch::HeldSlot& one : report.held) {
    gen::HeldGrant held;
    held.grant_id = static_cast<std::int64_t>(one.grant_id);
    if (!one.endpoint_id.empty()) {
      held.__set_request_id(one.request_id);
      held.__set_endpoint_id(one.endpoint_id);
      held.__set_item(one.item);
      held.__set_caller(one.caller);
    }
    held.priority = static_cast<std::int32_t>(one.priority);
    held.age_ms = static_cast<std::int32_t>(
        std::min<std::int64_t>(kMaxLeftMs, one.age.count()));
    wire.held.push_back(std::move(held));
  }
  return wire;
}

bool FromWire(const gen::GrantReport& wire,
              dispatch::HeldSlotsMessage* report) {
  report->pool = wire.pool;
  report->round = wire.round;
  report->chunk = wire.chunk;
  report->chunks = wire.chunks;
  if (wire.chunks < 1 || wire.chunks > kMaxListElements || wire.chunk < 0 ||
      wire.chunk >= wire.chunks)
    return false;
  for (const gen::HeldGrant& one : wire.held) {
    dispatch::HeldSlot held;
    held.grant_id = static_cast<std::uint64_t>(one.grant_id);
    held.request_id = one.request_id;
    held.endpoint_id = one.endpoint_id;
    held.item = one.item;
    held.caller = one.caller;
    held.age =
        Milliseconds{std::clamp<std::int64_t>(one.age_ms, 0, kMaxLeftMs)};
    if (!ToEnum(one.priority, Priority::kOvernight, &held.priority))
      return false;
    report->held.push_back(std::move(held));
  }
  return true;
}

std::vector<gen::Demand> ToWire(const std::vector<ItemDemand>& demand) {
  std::vector<gen::Demand> wire;
  for (const ItemDemand& one : demand) {
    gen::Demand item;
    item.item = one.item;
    item.requests.assign(one.requests.begin(), one.requests.end());
    wire.push_back(std::move(item));
  }
  return wire;
}

bool FromWire(const std::vector<gen::Demand>& wire,
              std::vector<ItemDemand>* demand) {
  constexpr double kMaxRequests = 1e9;
  for (const gen::Demand& one : wire) {
    if (one.requests.size() != kPriorityCount)
      return false;
    ItemDemand item;
    item.item = one.item;
    for (std::size_t i = 0; i < kPriorityCount; ++i) {
      // Written so that NaN is rejected as well.
      if (!(one.requests[i] >= 0 && one.requests[i] <= kMaxRequests))
        return false;
      item.requests[i] = one.requests[i];
    }
    demand->push_back(std::move(item));
  }
  return true;
}

/// Decodes an optional field of the envelope into `target` if it is set.
/// Returns false if the field is invalid.
template <class Wire, class Target, class Convert>
bool DecodeOptional(bool is_set,
                    const Wire& wire,
                    std::optional<Target>* target,
                    Convert convert) {
  if (!is_set)
    return true;
  target->emplace();
  return convert(wire, &**target);
}

bool FromWire(const gen::Envelope& wire, TimePoint now, PeerMessage* message) {
  message->sender = wire.sender;
  message->incarnation = wire.incarnation;
  if (wire.__isset.give_back)
    message->slot_release = FromWire(wire.give_back);
  if (wire.__isset.preemption) {
    message->preemption = dispatch::PreemptionMessage{
        wire.preemption.request_id,
        static_cast<std::uint64_t>(wire.preemption.grant_id)};
  }
  const auto timed = [now](const auto& from, auto* to) {
    return FromWire(from, now, to);
  };
  const auto plain = [](const auto& from, auto* to) {
    return FromWire(from, to);
  };
  return DecodeOptional(wire.__isset.membership, wire.membership,
                        &message->membership, timed) &&
         DecodeOptional(wire.__isset.ask, wire.ask, &message->slot_request,
                        timed) &&
         DecodeOptional(wire.__isset.reply, wire.reply, &message->reply,
                        plain) &&
         DecodeOptional(wire.__isset.report, wire.report, &message->held_slots,
                        plain) &&
         FromWire(wire.demand, &message->demand);
}

gen::Envelope ToWire(const PeerMessage& message, TimePoint now) {
  gen::Envelope wire;
  wire.protocol = kProtocolVersion;
  wire.sender = message.sender;
  wire.incarnation = message.incarnation;
  if (message.membership)
    wire.__set_membership(ToWire(*message.membership, now));
  if (message.slot_request)
    wire.__set_ask(ToWire(*message.slot_request, now));
  if (message.reply)
    wire.__set_reply(ToWire(*message.reply));
  if (message.slot_release)
    wire.__set_give_back(ToWire(*message.slot_release));
  if (message.held_slots)
    wire.__set_report(ToWire(*message.held_slots));
  if (message.preemption) {
    gen::Preemption preemption;
    preemption.request_id = message.preemption->request_id;
    preemption.grant_id =
        static_cast<std::int64_t>(message.preemption->grant_id);
    wire.__set_preemption(preemption);
  }
  if (!message.demand.empty())
    wire.__set_demand(ToWire(message.demand));
  return wire;
}

}  // namespace

std::string EncodeMessage(const PeerMessage& message, TimePoint now) {
  const auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  ToWire(message, now).write(&protocol);
  return buffer->getBufferAsString();
}

std::optional<PeerMessage> DecodeMessage(std::string_view bytes,
                                         TimePoint now) {
  gen::Envelope wire;
  try {
    // The const_cast is safe: with OBSERVE, Thrift neither copies nor writes
    // the buffer.
    const auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())),
        static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
    TCompactProtocolT<TMemoryBuffer> protocol(buffer, kMaxStringBytes,
                                              kMaxListElements);
    wire.read(&protocol);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  PeerMessage message;
  if (wire.protocol != kProtocolVersion || wire.sender.empty() ||
      !FromWire(wire, now, &message))
    return std::nullopt;
  return message;
}

}  // namespace coltsfootvane::peer
