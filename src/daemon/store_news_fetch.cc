#include <algorithm>
#include <utility>

#include "daemon/peer_fetch.h"
#include "daemon/store_news.h"
#include "fleet/codec.h"

namespace coltsfootvane::daemon {
namespace {

namespace gen = fleet::gen;

constexpr char kEndpointsPath[] = "/store/endpoints";

}  // namespace

void StoreNews::RecoverEndpoints(TimePoint now) {
  const store::Place own = this->target.endpoints_place();
  NewsRecovery& recovery = this->endpoints_recovery;
  recovery.entries =
      static_cast<int>(this->gateway->endpoints.endpoints.size());
  const RecoveryStep step =
      NextStep(own, now, &this->gateway->random, &recovery);
  if (step == RecoveryStep::kNone)
    return;
  if (step == RecoveryStep::kReadChanges) {
    this->target.read_endpoint_changes();
    return;
  }
  if (step == RecoveryStep::kList) {
    this->target.list_endpoints();
    return;
  }
  // The daemon that told of the changes is asked once.
  std::uint32_t from = std::exchange(recovery.source, 0);
  if (from == 0)
    from = this->fleet->PickMember(
        [&recovery](const gen::Report& report) {
          const std::int64_t departures = std::max(
              report.endpoints_revision, report.max_departure_revision);
          return store::Place(departures, report.era) >= recovery.wanted;
        },
        recovery.fetched_from);
  if (from == 0)
    from = this->fleet->PickMember([](const gen::Report&) { return true; },
                                   recovery.fetched_from);
  if (from == 0) {
    recovery.fetched_from = 0;
    return;
  }
  if (step == RecoveryStep::kAsk) {
    ++this->counts->asked;
    this->fleet->RequestStoreNews(from, own);
  } else {
    recovery.fetched_from = from;
    this->FetchEndpoints(from);
  }
}

void StoreNews::FetchEndpoints(std::uint32_t from) {
  const Milliseconds timeout =
      kFetchTimeout + TransferTime(this->endpoints_recovery.entries);
  const auto on_fetched = [this](const std::string* body) {
    EndFetch(BootNow(), &this->gateway->random, &this->endpoints_recovery);
    if (body == nullptr)
      return;
    const Result<gen::Datagram> decoded = fleet::DecodeSnapshot(*body);
    if (!decoded || !decoded.value().__isset.store_news ||
        decoded.value().store_news.batches.size() != 1)
      return;
    const gen::StoreBatch& all = decoded.value().store_news.batches[0];
    const store::Place place = fleet::RangeOf(all).to;
    if (place <= this->target.endpoints_place())
      return;
    ++this->counts->fetched;
    this->target.apply_snapshot(all);
    this->BeginLog(place);
  };
  FetchFromDaemon(this->client, from, this->peer_port, kEndpointsPath, timeout,
                  on_fetched);
}

gateway::HealthAnswer StoreNews::Answer(std::string_view path) {
  constexpr int kNoRoom = 503;
  gateway::HealthAnswer answer;
  if (path == kEndpointsPath && this->target.endpoints_place().IsKnown()) {
    gen::StoreNews news;
    news.batches = {this->target.make_snapshot()};
    gen::Datagram datagram;
    datagram.__set_store_news(news);
    answer = {200, fleet::Encode(datagram)};
  }
  if (answer.status == 200 &&
      !TryTransfer(answer.body.size(), BootNow(), &this->transfers))
    return {kNoRoom, "busy\n"};
  return answer;
}

}  // namespace coltsfootvane::daemon
