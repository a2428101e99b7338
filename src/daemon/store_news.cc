#include "daemon/store_news.h"

#include <algorithm>
#include <utility>

#include "fleet/codec.h"

namespace coltsfootvane::daemon {
namespace {

namespace gen = fleet::gen;
using BoostError = boost::system::error_code;

/// While something is missing or to be repeated.
constexpr Milliseconds kTimerInterval{40};
/// A datagram of the same news that takes another way is some ms behind.
constexpr int kMaxNewsDelayMs = 30;
/// Reports may overtake news, which take up to three hops.
constexpr int kMinReportDelayMs = 60;
constexpr int kMaxReportDelayMs = 140;
/// Urgent changes are sent again after these times, through other relays.
constexpr Milliseconds kRepeats[] = {Milliseconds(100), Milliseconds(260)};
constexpr std::size_t kMaxRepeatBytes = 900;
/// A daemon that lacks more gets no single changes.
constexpr std::size_t kMaxAnswerDatagrams = 6;

bool LeavesOut(const gen::StoreBatch& batch) {
  return std::any_of(batch.changes.begin(), batch.changes.end(),
                     [](const gen::EndpointNews& one) { return one.left_out; });
}

}  // namespace

StoreNews::StoreNews(boost::asio::io_context* io,
                     gateway::Gateway* own_gateway,
                     fleet::Fleet* own_fleet,
                     net::HttpClient* http_client,
                     unsigned short port,
                     NewsCounts* news_counts,
                     NewsTarget news_target)
    : timer(*io),
      gateway(own_gateway),
      fleet(own_fleet),
      client(http_client),
      peer_port(port),
      counts(news_counts),
      target(std::move(news_target)) {
  this->fleet->on_store_news = [this](const gen::StoreNews& news,
                                      std::uint32_t from) {
    this->OnNews(news, from);
  };
  this->fleet->on_store_news_request = [this](const store::Place& known,
                                              std::uint32_t from) {
    this->OnRequest(known, from);
  };
}

void StoreNews::BeginLog(const store::Place& place) {
  this->log = {};
  this->log.covered_to = place;
}

void StoreNews::Record(const gen::StoreBatch& batch, bool tells, bool urgent) {
  const std::vector<gen::StoreBatch> parts = fleet::SplitBatch(batch);
  std::size_t bytes = 0;
  for (const gen::StoreBatch& part : parts) {
    fleet::Append(part, &this->log);
    bytes += fleet::SizeOf(part);
  }
  if (!tells)
    return;
  ++this->counts->pushed;
  // What was sent before mends a datagram that was lost.
  if (bytes < kMaxRepeatBytes) {
    this->Send(fleet::LastBatches(this->log, kMaxRepeatBytes));
  } else {
    for (const std::vector<gen::StoreBatch>& group : fleet::GroupBatches(parts))
      this->Send(group);
  }
  if (!urgent)
    return;
  const TimePoint now = BootNow();
  this->repeats.clear();
  for (const Milliseconds after : kRepeats)
    this->repeats.push_back(now + after);
  this->Schedule();
}

void StoreNews::Send(const std::vector<gen::StoreBatch>& batches) {
  if (batches.empty())
    return;
  gen::StoreNews news;
  news.batches = batches;
  news.origin = static_cast<std::int32_t>(this->fleet->OwnAddress());
  this->fleet->Spread(news, this->fleet->LiveAddresses());
}

void StoreNews::SendRepeats() {
  const std::vector<gen::StoreBatch> last =
      fleet::LastBatches(this->log, kMaxRepeatBytes);
  if (!last.empty())
    this->Send(last);
  else if (!this->log.batches.empty())
    this->Send({this->log.batches.back()});
}

void StoreNews::OnNews(const gen::StoreNews& news, std::uint32_t from) {
  if (!news.relay_to.empty()) {
    gen::StoreNews passed_on = news;
    passed_on.relay_to.clear();
    this->fleet->Spread(passed_on, fleet::AddressesFromWire(news.relay_to));
  }
  if (news.too_old)
    SkipAsks(BootNow(), &this->endpoints_recovery);
  // Before the first listing there is nothing that changes could apply to.
  if (!this->target.endpoints_place().IsKnown())
    return;
  for (const gen::StoreBatch& batch : news.batches)
    this->OnBatch(batch, from);
}

void StoreNews::OnBatch(const gen::StoreBatch& batch, std::uint32_t from) {
  const store::Place own = this->target.endpoints_place();
  const fleet::BatchRange range = fleet::RangeOf(batch);
  switch (fleet::Fit(batch, own)) {
    case fleet::BatchFit::kKnown:
      return;
    case fleet::BatchFit::kApplies:
      break;
    case fleet::BatchFit::kGap: {
      const TimePoint now = BootNow();
      const auto delay =
          static_cast<int>(this->gateway->random() % kMaxNewsDelayMs);
      Want(range.to, from, RecoveryKind::kChanges, now, Milliseconds(delay),
           &this->endpoints_recovery);
      if (LeavesOut(batch) && own >= range.from)
        SkipAsks(now, &this->endpoints_recovery);
      ++this->counts->gaps;
      this->Schedule();
      return;
    }
  }
  this->target.apply_batch(batch);
  ++this->counts->applied;
  // There was nothing between the end of the log and the view.
  gen::StoreBatch applied = batch;
  if (range.from.era == this->log.covered_to.era)
    fleet::SetRange({std::min(range.from, this->log.covered_to),
                     range.base_until, range.to},
                    &applied);
  fleet::Append(applied, &this->log);
}

void StoreNews::OnRequest(const store::Place& known, std::uint32_t from) {
  ++this->counts->answered;
  gen::StoreNews answer;
  answer.origin = static_cast<std::int32_t>(this->fleet->OwnAddress());
  Result<std::vector<gen::StoreBatch>> batches =
      fleet::BatchesSince(this->log, known);
  const auto groups = batches ? fleet::GroupBatches(batches.value())
                              : std::vector<std::vector<gen::StoreBatch>>();
  if (!batches || groups.size() > kMaxAnswerDatagrams) {
    answer.__set_too_old(true);
    this->fleet->SendStoreNews(from, answer);
    return;
  }
  for (const std::vector<gen::StoreBatch>& group : groups) {
    answer.batches = group;
    this->fleet->SendStoreNews(from, answer);
  }
  // Nothing has changed since the end of the log.
  const store::Place own = this->target.endpoints_place();
  if (own <= this->log.covered_to || own.era != this->log.covered_to.era)
    return;
  gen::StoreBatch empty;
  fleet::SetRange({this->log.covered_to, own, own}, &empty);
  answer.batches = {empty};
  this->fleet->SendStoreNews(from, answer);
}

void StoreNews::WantEndpoints(const store::Place& place, std::uint32_t source) {
  if (!place.IsKnown() || place <= this->endpoints_recovery.wanted)
    return;
  std::uniform_int_distribution<int> delay(kMinReportDelayMs,
                                           kMaxReportDelayMs);
  Want(place, source,
       this->target.endpoints_place().IsKnown() ? RecoveryKind::kChanges
                                                : RecoveryKind::kWhole,
       BootNow(), Milliseconds(delay(this->gateway->random)),
       &this->endpoints_recovery);
  ++this->counts->gaps;
  this->Schedule();
}

void StoreNews::Schedule() {
  if (this->scheduled)
    return;
  this->scheduled = true;
  this->timer.expires_after(kTimerInterval);
  this->timer.async_wait([this](const BoostError& ec) {
    if (!ec)
      this->OnTimer();
  });
}

void StoreNews::OnTimer() {
  const TimePoint now = BootNow();
  this->scheduled = false;
  const auto due = std::remove_if(this->repeats.begin(), this->repeats.end(),
                                  [now](TimePoint at) { return at <= now; });
  if (due != this->repeats.end()) {
    this->repeats.erase(due, this->repeats.end());
    this->SendRepeats();
  }
  this->RecoverEndpoints(now);
  if (!this->repeats.empty() || this->endpoints_recovery.wanted.IsKnown())
    this->Schedule();
}

}  // namespace coltsfootvane::daemon
