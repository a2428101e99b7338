#include <algorithm>
#include <cmath>
#include <utility>

#include "fleet/codec.h"
#include "fleet/fleet.h"
#include "log/decision_log.h"

namespace coltsfootvane::fleet {
namespace {

/// A daemon that has read the store's list of daemons knows whom to ask. One
/// that cannot read it hears of the others by their reports.
constexpr Milliseconds kSettleTime{3000};
/// Listed daemons count as live for this time before their first report.
constexpr Milliseconds kFirstReportTime{5000};
constexpr Milliseconds kMembersInterval{50};
/// These keep a report within one packet.
constexpr std::size_t kMaxTeamsInReport = 12;
constexpr double kMinStatedUse = 0.5;
constexpr double kMaxStatedUse = 2e9;

gen::QuotaRequest ToWire(const quota::Request& request) {
  gen::QuotaRequest wire;
  wire.number = request.number;
  wire.team = static_cast<std::int32_t>(request.team);
  if (request.team == 0)
    return wire;
  wire.__set_per_second(request.limit.per_second);
  wire.__set_burst(request.limit.burst);
  wire.__set_version(request.limit.version);
  wire.__set_units(request.units);
  wire.__set_rank(static_cast<std::int16_t>(request.rank));
  if (request.settled != 0)
    wire.__set_settled(request.settled);
  if (!request.level)
    return wire;
  wire.__set_level(request.level->level);
  wire.__set_level_age_ms(
      static_cast<std::int32_t>(request.level->age.count()));
  return wire;
}

quota::Request FromWire(const gen::QuotaRequest& wire) {
  quota::Request request;
  request.number = wire.number;
  request.team = static_cast<quota::TeamKey>(wire.team);
  request.limit = {wire.per_second, wire.burst, wire.version};
  request.units = std::max(0.0, wire.units);
  request.settled = wire.settled;
  request.rank = wire.rank;
  if (wire.__isset.level)
    request.level = quota::KnownLevel{
        wire.level, Milliseconds(std::max(0, wire.level_age_ms))};
  return request;
}

gen::QuotaReply ToWire(const quota::Reply& reply, bool is_probe) {
  gen::QuotaReply wire;
  wire.number = reply.number;
  wire.verdict = static_cast<std::int16_t>(reply.verdict);
  wire.known_daemons = static_cast<std::int16_t>(reply.known_daemons);
  if (is_probe)
    return wire;
  wire.__set_level(reply.level);
  wire.__set_retry_after_ms(
      static_cast<std::int32_t>(reply.retry_after.count()));
  if (reply.better_owner != 0)
    wire.__set_better_owner(static_cast<std::int32_t>(reply.better_owner));
  return wire;
}

quota::Reply FromWire(const gen::QuotaReply& wire) {
  quota::Reply reply;
  reply.number = wire.number;
  reply.verdict = wire.verdict == 0   ? quota::Verdict::kGranted
                  : wire.verdict == 1 ? quota::Verdict::kRefused
                                      : quota::Verdict::kNotOwner;
  reply.known_daemons = wire.known_daemons;
  reply.level = wire.level;
  reply.retry_after = Milliseconds(std::max(0, wire.retry_after_ms));
  reply.better_owner = static_cast<quota::Address>(wire.better_owner);
  return reply;
}

}  // namespace

void Fleet::OpenQuota() {
  this->quota = std::make_unique<quota::QuotaNode>(this->gateway->random());
  this->quota->owner.bounds = this->quota_bounds;
  this->quota->send_request = [this](quota::Address to,
                                     const quota::Request& request) {
    gen::Datagram datagram;
    datagram.__set_quota_request(ToWire(request));
    this->SendTo(to, Encode(datagram));
  };
  this->quota->on_silence = [this](quota::Address daemon) {
    this->gateway->log->Write(
        gateway::kQuotaOwnerSilent, "",
        "daemon=" + boost::asio::ip::address_v4(daemon).to_string());
  };
  this->gateway->request_quota =
      [this](const gateway::QuotaWanted& wanted,
             std::function<void(const gateway::QuotaDecision&)> done) {
        this->UpdateQuotaMembers();
        this->quota->Want(wanted, std::move(done), BootNow());
        this->TickQuota();
      };
  this->gateway->settle_quota = [this](quota::TeamKey team, double units) {
    this->quota->Settle(team, units);
  };
}

void Fleet::UpdateQuotaMembers() {
  const TimePoint now = BootNow();
  if (now < this->next_quota_members &&
      this->gateway->leaving == this->quota_leaving)
    return;
  this->next_quota_members = now + kMembersInterval;
  this->quota_leaving = this->gateway->leaving;
  const bool young = now < this->opened_at + kFirstReportTime;
  quota::Members members;
  members.self = this->own_address;
  // A daemon that never had others goes on deciding for itself.
  members.leaving = this->gateway->leaving && !this->table.members.empty();
  members.settled = this->peers_listed || now >= this->opened_at + kSettleTime;
  for (const auto& [address, member] : this->table.members) {
    const bool heard = member.last_heard_at != TimePoint();
    if ((heard && member.report.leaving) || (!heard && !young))
      continue;
    members.known.push_back(address);
    if (!heard || IsLive(member, now))
      members.live.push_back(address);
  }
  this->quota->SetMembers(std::move(members));
}

void Fleet::OnQuotaRequest(const gen::QuotaRequest& wire, std::uint32_t from) {
  this->UpdateQuotaMembers();
  const quota::Request request = FromWire(wire);
  const auto reply = this->quota->OnRequest(from, request, BootNow());
  if (reply) {
    gen::Datagram datagram;
    datagram.__set_quota_reply(ToWire(*reply, request.team == 0));
    this->SendTo(from, Encode(datagram));
  }
  this->TickQuota();
}

void Fleet::OnQuotaReply(const gen::QuotaReply& reply, std::uint32_t from) {
  this->quota->OnReply(from, FromWire(reply), BootNow());
  this->TickQuota();
}

/// Sends what is due, and sets the timer to what is due next.
void Fleet::TickQuota() {
  const TimePoint now = BootNow();
  const TimePoint next = this->quota->Tick(now);
  if (next == TimePoint::max()) {
    this->quota_timer.Cancel();
    return;
  }
  this->quota_timer.Set(TimeLeft(next, now) + Milliseconds(1), [this] {
    this->UpdateQuotaMembers();
    this->TickQuota();
  });
}

void Fleet::StateTeamUse(gen::Report* report) {
  const TimePoint now = BootNow();
  for (const quota::TeamUse& use : this->quota->owner.Use(now)) {
    if (use.per_second < kMinStatedUse)
      continue;
    if (report->team_use.size() >= kMaxTeamsInReport)
      break;
    gen::TeamUse stated;
    stated.team = static_cast<std::int32_t>(use.team);
    stated.units_per_s = static_cast<std::int32_t>(
        std::lround(std::min<double>(use.per_second, kMaxStatedUse)));
    report->team_use.push_back(stated);
    gateway::RecordTeamUse(this->gateway, use.team, stated.units_per_s, now);
  }
  report->__isset.team_use = !report->team_use.empty();
  gateway::UpdateShares(this->gateway, now);
}

void Fleet::OnTeamUse(const gen::Report& report) {
  const TimePoint now = BootNow();
  for (const gen::TeamUse& use : report.team_use)
    gateway::RecordTeamUse(this->gateway, static_cast<quota::TeamKey>(use.team),
                           use.units_per_s, now);
  gateway::UpdateShares(this->gateway, now);
}

std::size_t Fleet::CountQuotaBuckets() const {
  return this->quota ? this->quota->owner.Count() : 0;
}

}  // namespace coltsfootvane::fleet
