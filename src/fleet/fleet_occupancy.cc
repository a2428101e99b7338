#include <algorithm>
#include <boost/asio/post.hpp>
#include <memory>
#include <utility>

#include "fleet/codec.h"
#include "fleet/fleet.h"
#include "occupancy/candidates.h"
#include "occupancy/events.h"

namespace coltsfootvane::fleet {
namespace {

using gateway::EndpointPtr;

/// Time for which the list of possible load trackers is used.
constexpr Milliseconds kTrackersLifetime{250};
/// Queries are kept for late answers, which are newer than reports.
constexpr Milliseconds kLateAnswer{500};
/// Weight of the last second in the moving average of received bytes.
constexpr double kBytesWeight = 0.25;

std::string AddressText(occupancy::DaemonId daemon) {
  return boost::asio::ip::address_v4(daemon).to_string();
}

}  // namespace

std::uint32_t Fleet::TrackerOf(std::uint32_t endpoint, TimePoint now) {
  LoadTracking& tracking = this->load_tracking;
  if (now >= tracking.daemons_until) {
    tracking.daemons = FindTrackers(
        this->table, this->gateway->leaving ? 0 : this->own_address, now);
    tracking.daemons_until = now + kTrackersLifetime;
  }
  return occupancy::FindTracker(endpoint, tracking.daemons);
}

void Fleet::BeginTracking(std::uint32_t endpoint, TimePoint now) {
  if (!occupancy::IsTracked(this->load_tracking.ledger, endpoint))
    occupancy::BeginTracking(endpoint,
                             FindReportedWork(this->table, endpoint, now), now,
                             &this->load_tracking.ledger);
}

void Fleet::QueryLoad(gsl::span<const EndpointPtr> endpoints,
                      std::function<void()> done) {
  const TimePoint now = BootNow();
  const auto round = std::make_shared<LoadRound>(this->io);
  for (const EndpointPtr& endpoint : endpoints) {
    const std::uint32_t tracker = this->TrackerOf(endpoint->key, now);
    if (tracker == this->own_address) {
      this->BeginTracking(endpoint->key, now);
      ApplyLoad(occupancy::ReadLoad(endpoint->key, tracker, now,
                                    &this->load_tracking.ledger),
                now, endpoint.get());
      this->gateway->load_metrics.CountQuery("local");
    } else if (tracker != 0) {
      this->SendLoadQuery(endpoint, tracker, now, round);
    }
  }
  if (round->missing == 0) {
    done();
    return;
  }
  round->done = std::move(done);
  round->timer.Set(kLoadQueryTimeout, [this, round] {
    // Answers that have already arrived are read first.
    boost::asio::post(*this->io, [this, round] { this->EndLoadRound(round); });
  });
}

void Fleet::SendLoadQuery(const EndpointPtr& endpoint,
                          std::uint32_t tracker,
                          TimePoint now,
                          const std::shared_ptr<LoadRound>& round) {
  LoadTracking& tracking = this->load_tracking;
  const std::int64_t number = ++this->last_request_number;
  const auto contact = tracking.contacts.find(tracker);
  const bool is_silent =
      contact != tracking.contacts.end() && now < contact->second.silent_until;
  PendingLoad& pending = tracking.pending[number];
  pending = {endpoint, tracker, now, is_silent ? nullptr : round};
  round->missing += is_silent ? 0 : 1;
  gen::LoadQuery query;
  query.number = number;
  query.endpoint = static_cast<std::int32_t>(endpoint->key);
  gen::Datagram datagram;
  datagram.__set_load_query(query);
  this->SendTo(tracker, Encode(datagram));
  this->gateway->load_metrics.CountQuery("asked");
}

void Fleet::OnLoadQuery(const gen::LoadQuery& query, std::uint32_t from) {
  const TimePoint now = BootNow();
  const auto endpoint = static_cast<std::uint32_t>(query.endpoint);
  this->BeginTracking(endpoint, now);
  gen::Datagram datagram;
  datagram.__set_load_answer(ToWire(
      query.number,
      occupancy::ReadLoad(endpoint, from, now, &this->load_tracking.ledger)));
  this->SendTo(from, Encode(datagram));
}

void Fleet::OnLoadAnswer(const gen::LoadAnswer& answer, std::uint32_t from) {
  LoadTracking& tracking = this->load_tracking;
  const auto found = tracking.pending.find(answer.number);
  if (found == tracking.pending.end() || found->second.tracker != from)
    return;
  const PendingLoad pending = std::move(found->second);
  tracking.pending.erase(found);
  const TimePoint now = BootNow();
  if (const EndpointPtr endpoint = pending.endpoint.lock())
    ApplyLoad(FromWire(answer), now, endpoint.get());
  const bool in_time = now - pending.sent_at <= kLoadQueryTimeout ||
                       (pending.round && pending.round->done);
  this->gateway->load_metrics.CountQuery(in_time ? "answered" : "late");
  if (in_time)
    tracking.contacts.erase(from);
  if (!pending.round || --pending.round->missing > 0 || !pending.round->done)
    return;
  pending.round->timer.Cancel();
  std::exchange(pending.round->done, nullptr)();
}

/// Lets a request go on without the answers that are missing.
void Fleet::EndLoadRound(const std::shared_ptr<LoadRound>& round) {
  if (!round->done)
    return;
  const TimePoint now = BootNow();
  for (auto& [number, pending] : this->load_tracking.pending) {
    if (pending.round != round)
      continue;
    pending.round = nullptr;
    this->gateway->load_metrics.CountQuery("timed_out");
    if (RecordContact(false, now,
                      &this->load_tracking.contacts[pending.tracker]))
      this->gateway->log->Write(occupancy::kTrackerSilent, "",
                                "daemon=" + AddressText(pending.tracker));
  }
  std::exchange(round->done, nullptr)();
}

void Fleet::UpdateLoad(const gateway::Endpoint& endpoint, bool refused) {
  const TimePoint now = BootNow();
  occupancy::WorkUpdate update;
  update.endpoint = endpoint.key;
  update.process = static_cast<std::int32_t>(this->incarnation);
  update.sequence = ++this->sequence;
  update.work = endpoint.own;
  update.refused = refused;
  if (endpoint.own.running != 0)
    this->load_tracking.told_work.insert(endpoint.key);
  const std::uint32_t tracker = this->TrackerOf(endpoint.key, now);
  if (tracker == this->own_address) {
    this->BeginTracking(endpoint.key, now);
    occupancy::ApplyUpdate(tracker, update, now, &this->load_tracking.ledger);
  } else if (tracker != 0) {
    gen::Datagram datagram;
    datagram.__set_work_update(ToWire(update));
    this->SendTo(tracker, Encode(datagram));
  }
}

void Fleet::OnWorkUpdate(const gen::WorkUpdate& wire, std::uint32_t from) {
  const TimePoint now = BootNow();
  const occupancy::WorkUpdate update = FromWire(wire);
  this->BeginTracking(update.endpoint, now);
  occupancy::ApplyUpdate(from, update, now, &this->load_tracking.ledger);
}

/// Repeats the figures of endpoints with work, and once those of endpoints
/// without, since an update may have been lost or the load tracker be new.
void Fleet::RepeatLoad() {
  const TimePoint now = BootNow();
  LoadTracking& tracking = this->load_tracking;
  if (this->gateway->daemons > occupancy::kMaxSmallFleet) {
    const auto told_before = std::exchange(tracking.told_work, {});
    for (const EndpointPtr& endpoint : this->gateway->endpoint_list) {
      if (endpoint->own.running != 0 || told_before.count(endpoint->key) > 0)
        this->UpdateLoad(*endpoint, false);
    }
  }
  for (const auto& [address, member] : this->table.members) {
    if (!IsLive(member, now))
      occupancy::RemoveDaemon(address, &tracking.ledger);
  }
  occupancy::ExpireEntries(now, &tracking.ledger);
  for (auto it = tracking.pending.begin(); it != tracking.pending.end();)
    it = !it->second.round && now - it->second.sent_at > kLateAnswer
             ? tracking.pending.erase(it)
             : std::next(it);
  tracking.bytes_per_s +=
      kBytesWeight *
      (std::exchange(tracking.received_bytes, 0) - tracking.bytes_per_s);
  this->ReportTracking();
  this->load_timer.Set(occupancy::kRepeatInterval,
                       [this] { this->RepeatLoad(); });
}

void Fleet::ReportTracking() {
  LoadTracking& tracking = this->load_tracking;
  const std::size_t count = tracking.ledger.endpoints.size();
  this->gateway->load_metrics.SetTrackedEndpoints(count);
  if (count == tracking.logged_count)
    return;
  tracking.logged_count = count;
  this->gateway->log->Write(occupancy::kTrackingChanged, "",
                            "endpoints=" + std::to_string(count));
}

}  // namespace coltsfootvane::fleet
