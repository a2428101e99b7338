#include "peer/peer_node.h"

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>
#include <utility>

#include "base/digest.h"
#include "base/ring.h"
#include "dispatch/baseline.h"
#include "log/event.h"
#include "membership/events.h"
#include "peer/datagram_link.h"
#include "peer/demand_table.h"
#include "peer/dispatcher.h"
#include "peer/events.h"
#include "peer/membership_thread.h"
#include "peer/slot_requester.h"

namespace coltsfootvane::peer {
namespace {

constexpr Milliseconds kReportTickPeriod{100};
constexpr Milliseconds kDemandPeriod{1000};
constexpr Milliseconds kDropLogPeriod{10000};
constexpr std::size_t kMaxDemandBytes = 1000;
constexpr std::size_t kFixedDemandBytes = 32;

membership::MemberTable MakeTable(const PeerOptions& options) {
  membership::MemberTable table;
  table.self.id = options.settings.daemon_id;
  table.self.incarnation = 1;
  table.self.instance = options.instance_id;
  table.self.data_centre = options.settings.data_centre;
  table.self.region = options.settings.region;
  table.self.address = options.settings.peer_listen;
  table.random.seed(Hash64(options.instance_id));
  membership::AddFirstPeers(table, options.settings.first_peers);
  return table;
}

std::vector<std::vector<ItemDemand>> SplitDemand(
    const std::vector<ItemDemand>& demand) {
  std::vector<std::vector<ItemDemand>> chunks;
  std::size_t room = 0;
  for (const ItemDemand& one : demand) {
    const std::size_t size = kFixedDemandBytes + one.item.size();
    if (size > room) {
      chunks.emplace_back();
      room = kMaxDemandBytes;
    }
    room -= std::min(room, size);
    chunks.back().push_back(one);
  }
  return chunks;
}

}  // namespace

struct PeerNode::Parts {
  explicit Parts(PeerOptions given);

  void OnDatagram(const http::Address& from, PeerMessage message);
  /// Sends `message` to the daemon `id`, or handles it directly if that is this
  /// daemon.
  void Deliver(const std::string& id,
               const http::Address& address,
               PeerMessage message);
  void HandleMessage(const std::string& sender,
                     const http::Address& from,
                     PeerMessage message);
  void RecordEndpointLeaving(std::string_view endpoint_id);
  void RunReports();
  void SendDemand(TimePoint now);
  void LogDrops(TimePoint now);
  void CountIfDropped(bool pushed);
  MembershipHooks MakeMembershipHooks();

  const PeerOptions options;
  MemberViewHolder members;
  RouteCache routes;
  DatagramLink link;
  MembershipThread membership;
  Dispatcher dispatcher;
  SlotRequester slot_caller;
  DemandTable demand;
  ConfigPeerServer config_peer;
  std::unique_ptr<dispatch::BaselineDispatch> naive;
  Ring<int> stop_reports;
  std::thread report_thread;
  TimePoint next_demand;
  TimePoint next_drop_log;
  std::uint64_t malformed_logged = 0;
  std::atomic<std::uint64_t> dropped{0};     ///< Because a queue was full.
  std::atomic<std::uint64_t> duplicates{0};  ///< Sent with this daemon's id.
};

PeerNode::Parts::Parts(PeerOptions given)
    : options(std::move(given)),
      routes(this->options.in_force, &this->members),
      membership(MakeTable(this->options),
                 &this->members,
                 this->MakeMembershipHooks()),
      dispatcher(this->options.settings.daemon_id,
                 &this->routes,
                 &this->members,
                 {[this](const std::string& id,
                         const http::Address& address,
                         PeerMessage message) {
                    this->Deliver(id, address, std::move(message));
                  },
                  [this](const std::string& endpoint_id) {
                    this->RecordEndpointLeaving(endpoint_id);
                  }}),
      slot_caller(this->options.settings.data_centre,
                  &this->routes,
                  &this->members,
                  [this](const membership::Member& to, PeerMessage message) {
                    this->Deliver(to.id, to.address, std::move(message));
                  }),
      stop_reports(1) {
  if (this->options.settings.dispatch_mode == DispatchMode::kNaive) {
    this->naive = std::make_unique<dispatch::BaselineDispatch>(
        [this] { return this->routes.Get(); });
  }
}

MembershipHooks PeerNode::Parts::MakeMembershipHooks() {
  MembershipHooks hooks;
  hooks.send = [this](const membership::Outgoing& out) {
    PeerMessage message;
    message.sender = this->options.settings.daemon_id;
    message.incarnation = out.message.sender.incarnation;
    message.membership = out.message;
    this->link.Send(out.address, message);
  };
  hooks.on_version = [this](std::int64_t version, std::string_view digest,
                            const http::Address& peer) {
    if (this->options.hooks.on_version)
      this->options.hooks.on_version(version, digest, peer);
  };
  hooks.on_endpoint_leaving = [this](const std::string& endpoint_id) {
    if (this->options.hooks.on_endpoint_leaving)
      this->options.hooks.on_endpoint_leaving(endpoint_id);
  };
  return hooks;
}

void PeerNode::Parts::Deliver(const std::string& id,
                              const http::Address& address,
                              PeerMessage message) {
  const std::string& self = this->options.settings.daemon_id;
  if (id == self) {
    this->HandleMessage(self, address, std::move(message));
    return;
  }
  message.sender = self;
  this->link.Send(address, message);
}

void PeerNode::Parts::OnDatagram(const http::Address& from,
                                 PeerMessage message) {
  // Another daemon with the same id is a configuration error; its messages are
  // not handled.
  if (message.sender == this->options.settings.daemon_id) {
    ++this->duplicates;
    return;
  }
  if (message.membership) {
    this->membership.Push([from, received = std::move(*message.membership)](
                              membership::MemberTable& table, TimePoint now) {
      return membership::OnMessage(table, from, received, now);
    });
  }
  const std::string sender = message.sender;
  this->HandleMessage(sender, from, std::move(message));
}

void PeerNode::Parts::HandleMessage(const std::string& sender,
                                    const http::Address& from,
                                    PeerMessage message) {
  if (message.slot_request)
    this->CountIfDropped(this->dispatcher.Push(
        {sender, from, std::move(*message.slot_request)}));
  if (message.slot_release)
    this->CountIfDropped(this->dispatcher.Push(
        {sender, from, std::move(*message.slot_release)}));
  if (message.held_slots)
    this->CountIfDropped(
        this->dispatcher.Push({sender, from, std::move(*message.held_slots)}));
  if (message.reply)
    this->slot_caller.OnReply(*message.reply);
  if (message.preemption)
    this->slot_caller.OnPreemption(*message.preemption);
  if (!message.demand.empty())
    this->demand.Add(sender, message.demand, Clock::now());
}

void PeerNode::Parts::RecordEndpointLeaving(std::string_view endpoint_id) {
  this->membership.Push([id = std::string(endpoint_id)](
                            membership::MemberTable& table, TimePoint now) {
    return membership::AddLeavingEndpoint(table, id, now);
  });
}

void PeerNode::Parts::SendDemand(TimePoint now) {
  if (now < this->next_demand)
    return;
  this->next_demand = now + kDemandPeriod;
  const std::vector<ItemDemand> demand = AddDemand(
      this->dispatcher.Demand(), this->slot_caller.TakeUnreadyDemand());
  const auto view = this->members.Get();
  for (const membership::Member& member : view->members) {
    if (!member.planner || member.region != this->options.settings.region ||
        member.state == membership::MemberState::kDead)
      continue;
    for (std::vector<ItemDemand>& chunk : SplitDemand(demand)) {
      PeerMessage message;
      message.demand = std::move(chunk);
      this->Deliver(member.id, member.address, std::move(message));
    }
  }
}

void PeerNode::Parts::CountIfDropped(bool pushed) {
  if (!pushed)
    ++this->dropped;
}

void PeerNode::Parts::LogDrops(TimePoint now) {
  if (now < this->next_drop_log)
    return;
  this->next_drop_log = now + kDropLogPeriod;
  const std::uint64_t malformed = this->link.Counters().malformed;
  if (malformed > this->malformed_logged)
    LogEvent(kMalformedDatagrams,
             "count=" + std::to_string(malformed - this->malformed_logged));
  this->malformed_logged = malformed;
  const std::uint64_t dropped = this->dropped.exchange(0);
  if (dropped > 0)
    LogEvent(kPeerOverloaded, "dropped=" + std::to_string(dropped));
  const std::uint64_t duplicates = this->duplicates.exchange(0);
  if (duplicates > 0)
    LogEvent(membership::kDuplicateDaemonId,
             "datagrams=" + std::to_string(duplicates));
}

void PeerNode::Parts::RunReports() {
  while (!this->stop_reports.IsClosed()) {
    this->stop_reports.PopUntil(Clock::now() + kReportTickPeriod);
    const TimePoint now = Clock::now();
    this->slot_caller.Report(now);
    this->SendDemand(now);
    this->LogDrops(now);
  }
}

PeerNode::PeerNode(PeerOptions options)
    : parts(std::make_unique<Parts>(std::move(options))) {}

PeerNode::~PeerNode() {
  this->Stop();
}

Result<bool> PeerNode::Start() {
  const http::Address& address = this->parts->options.settings.peer_listen;
  auto bound = this->parts->link.Start(
      address, [this](const http::Address& from, PeerMessage message) {
        this->parts->OnDatagram(from, std::move(message));
      });
  if (!bound)
    return bound;
  bound = this->parts->config_peer.Start(address, [this] {
    const auto& snapshot = this->parts->options.hooks.snapshot;
    return snapshot ? snapshot() : ConfigurationSnapshot{};
  });
  if (!bound)
    return bound;
  this->parts->membership.Start();
  this->parts->dispatcher.Start();
  this->parts->report_thread =
      std::thread([this] { this->parts->RunReports(); });
  if (this->parts->naive)
    this->parts->naive->Start();
  LogEvent(kPeerStarted, "address=" + http::FormatAddress(address));
  return true;
}

void PeerNode::Stop() {
  if (this->parts->naive)
    this->parts->naive->Stop();
  this->parts->stop_reports.Close();
  if (this->parts->report_thread.joinable())
    this->parts->report_thread.join();
  this->parts->dispatcher.Stop();
  this->parts->membership.Stop();
  this->parts->config_peer.Stop();
  this->parts->link.Stop();
}

void PeerNode::AddPeers(const std::vector<http::Address>& addresses) {
  this->parts->membership.Push(
      [addresses](membership::MemberTable& table, TimePoint) {
        membership::AddFirstPeers(table, addresses);
        return std::vector<membership::Outgoing>{};
      });
}

void PeerNode::SetVersion(std::int64_t version, std::string_view digest) {
  this->parts->membership.Push([version, digest = std::string(digest)](
                                   membership::MemberTable& table, TimePoint) {
    return membership::ChangeVersion(table, version, digest);
  });
}

void PeerNode::RecordEndpointLeaving(std::string_view endpoint_id) {
  this->parts->RecordEndpointLeaving(endpoint_id);
}

void PeerNode::ClearEndpointLeaving(std::string_view endpoint_id) {
  this->parts->membership.Push(
      [id = std::string(endpoint_id)](membership::MemberTable& table,
                                      TimePoint now) {
        membership::RemoveLeavingEndpoint(table, id, now);
        return std::vector<membership::Outgoing>{};
      });
}

void PeerNode::SetLeaving() {
  this->parts->dispatcher.SetLeaving();
  this->parts->membership.Push([](membership::MemberTable& table, TimePoint) {
    return membership::AnnounceLeaving(table);
  });
}

void PeerNode::SetPlanner(bool planner) {
  this->parts->membership.Push(
      [planner](membership::MemberTable& table, TimePoint) {
        return membership::ChangePlanner(table, planner);
      });
}

std::vector<membership::Member> PeerNode::Members() const {
  return this->parts->members.Get()->members;
}

SlotClient PeerNode::MakeSlotClient() {
  if (this->parts->naive)
    return this->parts->naive->MakeSlotClient();
  SlotRequester* slot_caller = &this->parts->slot_caller;
  SlotClient client;
  client.acquire = [slot_caller](const SlotRequest& request,
                                 const std::function<bool()>& caller_gone) {
    return slot_caller->Acquire(request, caller_gone);
  };
  client.release = [slot_caller](const SlotAnswer& answer,
                                 const SlotOutcome& outcome) {
    slot_caller->Release(answer, outcome);
  };
  client.is_preempted = [slot_caller](const SlotAnswer& answer) {
    return slot_caller->IsPreempted(answer);
  };
  return client;
}

std::vector<ItemDemand> PeerNode::ReportedDemand() {
  return this->parts->demand.Sum(Clock::now());
}

std::string PeerNode::StatusJson() const {
  const auto view = this->parts->members.Get();
  const LinkCounters& counters = this->parts->link.Counters();
  nlohmann::json status;
  status["slots_held"] = this->parts->slot_caller.CountHeld();
  status["datagrams"] = {{"sent", counters.sent.load()},
                         {"sent_bytes", counters.sent_bytes.load()},
                         {"not_sent", counters.not_sent.load()},
                         {"received", counters.received.load()},
                         {"received_bytes", counters.received_bytes.load()},
                         {"malformed", counters.malformed.load()}};
  status["leaving_endpoints"] = view->leaving_endpoints;
  status["members"] = nlohmann::json::array();
  for (const membership::Member& member : view->members) {
    status["members"].push_back({{"id", member.id},
                                 {"state", static_cast<int>(member.state)},
                                 {"version", member.version},
                                 {"planner", member.planner}});
  }
  status["pools"] = nlohmann::json::parse(this->parts->dispatcher.StatusJson());
  // Ids received from other daemons may not be valid UTF-8.
  return status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace coltsfootvane::peer
