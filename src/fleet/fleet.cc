#include "fleet/fleet.h"

#include <algorithm>
#include <utility>

#include "fleet/codec.h"
#include "fleet/report.h"
#include "net/bind_error.h"

namespace coltsfootvane::fleet {
namespace {

using boost::asio::ip::udp;
using BoostError = boost::system::error_code;

constexpr Milliseconds kReportInterval{250};
/// Target rate of the reports that a daemon receives, whatever the number of
/// daemons.
constexpr double kReportBytesPerS = 20'000;
/// Target rate of reports, queries and updates together. Reports get what the
/// others leave, but never less than kMinReportBytesPerS.
constexpr double kControlBytesPerS = 23'500;
constexpr double kMinReportBytesPerS = 12'000;
constexpr double kDatagramHeaderBytes = 28;  // IP and UDP.
/// Weight of a new report in the moving average of report sizes.
constexpr double kReportSizeWeight = 1.0 / 64;
/// Sums of demand are used for this time.
constexpr Milliseconds kDemandSumInterval{200};
constexpr std::size_t kMaxMembersInReport = 60;
/// Longest confirmation age that a report may state.
constexpr Milliseconds kMaxConfirmedAge{60'000};
/// Daemons that SpreadConfirmation() tells. Reports go to all daemons, so that
/// the first of these to report passes the news on.
constexpr std::size_t kSpreadCount = 24;

std::uint32_t ToNumber(const boost::asio::ip::address& address) {
  return address.is_v4() ? address.to_v4().to_uint() : 0;
}

gen::EnginePlacement ToWire(const EnginePlacement& engine) {
  gen::EnginePlacement wire;
  wire.endpoint = static_cast<std::int32_t>(engine.endpoint);
  for (const std::uint32_t model : engine.retiring)
    wire.retiring.push_back(static_cast<std::int32_t>(model));
  for (const std::uint32_t adapter : engine.adapters)
    wire.adapters.push_back(static_cast<std::int32_t>(adapter));
  return wire;
}

SeenChanges ReadSeen(const gen::Report& report, TimePoint now) {
  SeenChanges seen;
  seen.era = report.era;
  seen.config = store::Place(report.config_revision, report.era);
  seen.departure = store::Place(report.endpoints_revision, report.era);
  seen.reachable = report.store_reachable;
  seen.max_departure = store::Place(report.max_departure_revision, report.era);
  if (report.__isset.confirmed_age_ms && report.confirmed_age_ms >= 0)
    seen.confirmed_at = now - Milliseconds(report.confirmed_age_ms);
  return seen;
}

}  // namespace

Milliseconds ReportInterval(std::size_t members,
                            double report_bytes,
                            double load_bytes_per_s) {
  const double bytes_per_s = std::clamp(kControlBytesPerS - load_bytes_per_s,
                                        kMinReportBytesPerS, kReportBytesPerS);
  const double received_bytes =
      static_cast<double>(members) * (report_bytes + kDatagramHeaderBytes);
  const std::chrono::duration<double> min_interval(received_bytes /
                                                   bytes_per_s);
  return std::max(kReportInterval,
                  std::chrono::duration_cast<Milliseconds>(min_interval));
}

Fleet::Fleet(boost::asio::io_context* io_context,
             gateway::Gateway* request_gateway)
    : io(io_context),
      gateway(request_gateway),
      socket(*io_context),
      timer(io_context),
      suspect_timer(io_context),
      quota_timer(io_context),
      load_timer(io_context) {}

Result<bool> Fleet::Open(const udp::endpoint& address) {
  BoostError ec;
  this->socket.open(udp::v4(), ec);
  if (!ec)
    this->socket.bind(address, ec);
  if (!ec)
    this->socket.non_blocking(true, ec);
  if (ec) {
    BoostError ignored;
    this->socket.close(ignored);
    return net::BindError(address, ec);
  }
  this->own_address = ToNumber(address.address());
  this->port = address.port();
  this->opened_at = BootNow();
  this->gateway->quarantine.self = this->own_address;
  this->gateway->quarantine.on_news =
      [this](gsl::span<const quarantine::PartId> parts,
             gateway::SuspectSource source) {
        this->OnSuspectNews(parts, source);
      };
  this->incarnation = static_cast<std::int64_t>(this->gateway->random() >> 2);
  this->OpenQuota();
  this->Receive();
  this->Tick();
  this->RepeatLoad();
  return true;
}

void Fleet::AddPeer(const boost::asio::ip::address& address) {
  const std::uint32_t number = ToNumber(address);
  if (number != 0 && number != this->own_address)
    this->table.members.try_emplace(number);
}

void Fleet::SetLease(std::int64_t epoch, AdapterLoader adapter_loader) {
  this->lease_epoch = epoch;
  this->loader = std::move(adapter_loader);
  this->placement_news = {};
}

void Fleet::Receive() {
  this->socket.async_receive_from(
      boost::asio::buffer(this->buffer), this->sender,
      [this](const BoostError& ec, std::size_t length) {
        if (ec == boost::asio::error::operation_aborted)
          return;
        if (!ec) {
          const Result<gen::Datagram> datagram =
              Decode(std::string_view(this->buffer.data(), length));
          if (datagram) {
            this->CountReceived(datagram.value(), length);
            this->OnDatagram(datagram.value(), this->sender);
          }
        }
        this->Receive();
      });
}

void Fleet::CountReceived(const gen::Datagram& datagram, std::size_t bytes) {
  const auto length = static_cast<double>(bytes);
  if (datagram.__isset.report)
    this->report_bytes += kReportSizeWeight * (length - this->report_bytes);
  else if (datagram.__isset.load_query || datagram.__isset.load_answer ||
           datagram.__isset.work_update)
    this->load_tracking.received_bytes += length + kDatagramHeaderBytes;
}

void Fleet::OnDatagram(const gen::Datagram& datagram,
                       const udp::endpoint& from) {
  const std::uint32_t address = ToNumber(from.address());
  if (datagram.__isset.report)
    this->OnReport(datagram.report, address);
  else if (datagram.__isset.placement)
    this->OnPlacement(datagram.placement, address);
  else if (datagram.__isset.adapter_request)
    this->OnAdapterRequest(datagram.adapter_request, address);
  else if (datagram.__isset.adapter_reply)
    this->OnAdapterReply(datagram.adapter_reply);
  else if (datagram.__isset.suspects)
    this->OnSuspects(datagram.suspects, address);
  else if (datagram.__isset.quota_request)
    this->OnQuotaRequest(datagram.quota_request, address);
  else if (datagram.__isset.quota_reply)
    this->OnQuotaReply(datagram.quota_reply, address);
  else if (datagram.__isset.load_query)
    this->OnLoadQuery(datagram.load_query, address);
  else if (datagram.__isset.load_answer)
    this->OnLoadAnswer(datagram.load_answer, address);
  else if (datagram.__isset.work_update)
    this->OnWorkUpdate(datagram.work_update, address);
  else if (datagram.__isset.store_news && this->on_store_news)
    this->on_store_news(datagram.store_news, address);
  else if (datagram.__isset.store_news_request && this->on_store_news_request)
    this->on_store_news_request(
        store::Place(datagram.store_news_request.revision,
                     datagram.store_news_request.era),
        address);
  else if (datagram.__isset.config_news && this->on_config_news)
    this->on_config_news(datagram.config_news, address);
}

void Fleet::OnReport(const gen::Report& report, std::uint32_t from) {
  if (from == this->own_address)
    return;
  const auto known = this->table.members.find(from);
  const bool first_report = known == this->table.members.end() ||
                            known->second.last_heard_at == TimePoint();
  const bool restarted =
      first_report || known->second.report.incarnation != report.incarnation;
  const TimePoint now = BootNow();
  for (const std::int32_t member : report.members)
    this->AddPeer(
        boost::asio::ip::address_v4(static_cast<std::uint32_t>(member)));
  std::vector<WorkChange> changes;
  const bool is_new =
      ApplyReport(&this->table, from, report, now, this->Interval(), &changes);
  if (!changes.empty()) {
    ApplyWorkChanges(changes, &this->peer_work);
    CopyPeerWork(this->peer_work, this->gateway->endpoint_list, now);
  }
  if (is_new && this->on_seen) {
    SeenChanges told = ReadSeen(report, now);
    told.reporter = from;
    this->on_seen(told);
  }
  if (is_new && !report.team_use.empty())
    this->OnTeamUse(report);
  if (is_new && restarted)
    this->SendAllSuspects(from);
  if (!is_new || !first_report)
    return;
  // Sends the known members to a daemon that was not known before.
  gen::Report own = this->MakeReport();
  AddAll(CollectWork(this->gateway->endpoint_list, now),
         CollectDemand(this->gateway->traffic, now), &own);
  for (const auto& [address, member] : this->table.members) {
    if (own.members.size() < kMaxMembersInReport && IsLive(member, now))
      own.members.push_back(static_cast<std::int32_t>(address));
  }
  own.__isset.members = true;
  gen::Datagram datagram;
  datagram.__set_report(own);
  this->SendTo(from, Encode(datagram));
}

void Fleet::OnPlacement(const gen::Placement& placement, std::uint32_t from) {
  if (!RecordHolder(from, placement.lease_epoch, BootNow(), &this->holder))
    return;
  const PlacementVersion version{placement.lease_epoch, placement.sequence};
  for (const gen::EnginePlacement& engine : placement.engines) {
    if (TryApply(static_cast<std::uint32_t>(engine.endpoint), version,
                 &this->applied_placements))
      this->ApplyPlacement(engine);
  }
}

void Fleet::ApplyPlacement(const gen::EnginePlacement& placement) {
  const auto key = static_cast<std::uint32_t>(placement.endpoint);
  for (const gateway::EndpointPtr& endpoint : this->gateway->endpoint_list) {
    if (endpoint->key != key)
      continue;
    endpoint->retiring.clear();
    endpoint->adapters.clear();
    for (const std::int32_t model : placement.retiring)
      endpoint->retiring.insert(static_cast<std::uint32_t>(model));
    for (const std::int32_t adapter : placement.adapters)
      endpoint->adapters.insert(static_cast<std::uint32_t>(adapter));
  }
}

void Fleet::Publish(gsl::span<const EnginePlacement> engines) {
  const TimePoint now = BootNow();
  AddRoom(this->table.members.size(), now, &this->placement_news);
  std::vector<std::vector<EnginePlacement>> datagrams =
      SplitIntoDatagrams(TakeNews(engines, &this->placement_news));
  if (datagrams.empty() && now < this->next_empty_placement_at)
    return;
  // An empty one shows the others that the holder is live.
  if (datagrams.empty())
    datagrams.emplace_back();
  this->next_empty_placement_at = now + kHolderInterval;
  for (const std::vector<EnginePlacement>& contents : datagrams) {
    gen::Placement placement;
    placement.lease_epoch = this->lease_epoch;
    placement.sequence = ++this->sequence;
    for (const EnginePlacement& engine : contents)
      placement.engines.push_back(ToWire(engine));
    gen::Datagram datagram;
    datagram.__set_placement(placement);
    const std::string bytes = Encode(datagram);
    for (const auto& [address, member] : this->table.members)
      this->SendTo(address, bytes);
    this->OnPlacement(placement, this->own_address);
  }
}

void Fleet::ReportNow() {
  this->SendReports();
}

bool Fleet::ReadsLatestState() const {
  if (this->IsLarge())
    return this->Readers(1).front() == this->own_address;
  return fleet::ReadsLatestState(this->table, this->own_address,
                                 this->Interval(), BootNow());
}

/// Returns a report without work and demand.
gen::Report Fleet::MakeReport() {
  gen::Report report;
  report.incarnation = this->incarnation;
  report.sequence = ++this->sequence;
  report.leaving = this->gateway->leaving;
  report.config_version =
      this->gateway->routes ? this->gateway->routes->version : 0;
  report.lease_epoch = this->lease_epoch;
  this->FillSeen(&report);
  return report;
}

void Fleet::FillSeen(gen::Report* report) const {
  // A place of another era is none that the report could state.
  const auto revision = [this](const store::Place& place) {
    return place.era == this->seen.era ? place.revision : 0;
  };
  report->era = this->seen.era;
  report->__isset.era = this->seen.era != 0;
  report->config_revision = revision(this->seen.config);
  report->endpoints_revision = revision(this->seen.departure);
  report->store_reachable = this->seen.reachable;
  const auto age = std::chrono::duration_cast<Milliseconds>(
      BootNow() - this->seen.confirmed_at + Milliseconds(1));
  const bool is_current = this->seen.max_departure.era == this->seen.era;
  if (this->seen.confirmed_at == TimePoint() || age > kMaxConfirmedAge ||
      !is_current)
    return;
  report->__set_confirmed_age_ms(static_cast<std::int32_t>(age.count()));
  report->__set_max_departure_revision(this->seen.max_departure.revision);
}

void Fleet::SpreadConfirmation() {
  std::vector<std::uint32_t> told;
  for (const auto& [address, member] : this->table.members) {
    if (IsLive(member, BootNow()))
      told.push_back(address);
  }
  if (told.size() > kSpreadCount) {
    std::shuffle(told.begin(), told.end(), this->gateway->random);
    told.resize(kSpreadCount);
  }
  gen::Datagram datagram;
  datagram.__set_report(this->MakeReport());
  const std::string bytes = Encode(datagram);
  for (const std::uint32_t address : told)
    this->SendTo(address, bytes);
}

void Fleet::SendReports() {
  const TimePoint now = BootNow();
  gen::Report report = this->MakeReport();
  AddChanges(CollectWork(this->gateway->endpoint_list, now),
             CollectDemand(this->gateway->traffic, now), &this->sent_reports,
             &report);
  this->StateTeamUse(&report);
  gen::Datagram datagram;
  datagram.__set_report(report);
  const std::string bytes = Encode(datagram);
  for (const auto& [address, member] : this->table.members)
    this->SendTo(address, bytes);
}

void Fleet::SendTo(std::uint32_t address, const std::string& bytes) {
  // Send errors are ignored: the protocol tolerates lost datagrams.
  BoostError ignored;
  this->socket.send_to(
      boost::asio::buffer(bytes),
      udp::endpoint(boost::asio::ip::address_v4(address), this->port), 0,
      ignored);
}

Milliseconds Fleet::Interval() const {
  return ReportInterval(this->table.members.size(), this->report_bytes,
                        this->load_tracking.bytes_per_s);
}

void Fleet::Tick() {
  const TimePoint now = BootNow();
  RemoveSilent(&this->table, now);
  ForgetGone(this->gateway->endpoint_list, &this->applied_placements);
  this->peer_work = SumWork(this->table, now);
  CopyPeerWork(this->peer_work, this->gateway->endpoint_list, now);
  this->gateway->daemons = 1 + CountLive(this->table, now);
  this->gateway->report_interval = this->Interval();
  // News of suspects come first where both do not fit.
  if (!IsBusyTelling(this->suspect_news))
    this->SendReports();
  this->UpdateTrialOrder(now);
  this->RemindOfQuarantine(now);
  gateway::ExpireSuspects(this->gateway, now);
  this->timer.Set(this->Interval(), [this] { this->Tick(); });
}

double Fleet::DemandFor(const std::string& model, TimePoint now) {
  if (now >= this->peer_demand_until) {
    this->peer_demand = SumDemand(this->table, now);
    this->peer_demand_until = now + kDemandSumInterval;
  }
  const auto own = this->gateway->traffic.demand.find(model);
  const auto peers = this->peer_demand.find(gateway::KeyOf(model));
  return (own == this->gateway->traffic.demand.end()
              ? 0
              : gateway::DemandAt(own->second, now).ms_per_s) +
         (peers == this->peer_demand.end() ? 0 : peers->second);
}

int Fleet::CountLiveDaemons() const {
  return 1 + CountLive(this->table, BootNow());
}

}  // namespace coltsfootvane::fleet
