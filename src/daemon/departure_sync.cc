#include "daemon/departure_sync.h"

#include <utility>

#include "daemon/events.h"
#include "daemon/peer_fetch.h"
#include "fleet/codec.h"

namespace coltsfootvane::daemon {
namespace {

constexpr char kPath[] = "/store/departures";
/// After so many without an answer nobody knows: all daemons have started at
/// the same time.
constexpr int kAsks = 5;
constexpr Milliseconds kAskInterval{1000};
/// When the store has come back: one daemon may have been cut off as well.
constexpr int kAnswersAfterReturn = 2;
constexpr Milliseconds kAskIntervalAfterReturn{250};

}  // namespace

DepartureSync::DepartureSync(fleet::Fleet* own_fleet,
                             net::HttpClient* http_client,
                             unsigned short port,
                             DecisionLog* decision_log,
                             DepartureTarget departure_target)
    : fleet(own_fleet),
      client(http_client),
      peer_port(port),
      log(decision_log),
      target(std::move(departure_target)),
      asks_left(kAsks) {}

void DepartureSync::Tick(TimePoint now) {
  if (this->is_done || this->is_asking || now < this->next_at)
    return;
  const auto any = [](const fleet::gen::Report&) { return true; };
  std::uint32_t from = this->fleet->PickMember(any, this->asked);
  if (from == 0)
    from = this->fleet->PickMember(any);
  if (from == 0)
    return;
  this->asked = from;
  this->is_asking = true;
  this->next_at =
      now + (this->has_learned ? kAskIntervalAfterReturn : kAskInterval);
  --this->asks_left;
  FetchFromDaemon(
      this->client, from, this->peer_port, kPath, kFetchTimeout,
      [this, from](const std::string* body) { this->OnFetched(from, body); });
}

void DepartureSync::AskAgain(TimePoint now) {
  // One that has started asks in any case.
  if (!this->has_learned)
    return;
  this->is_done = false;
  this->asks_left = kAsks;
  this->answers_wanted = kAnswersAfterReturn;
  this->next_at = now;
}

void DepartureSync::OnFetched(std::uint32_t from, const std::string* body) {
  this->is_asking = false;
  this->is_done = this->asks_left == 0;
  this->has_learned = this->has_learned || this->is_done;
  if (body == nullptr)
    return;
  const Result<fleet::gen::Departures> told = fleet::DecodeDepartures(*body);
  if (!told)
    return;
  --this->answers_wanted;
  this->is_done = this->is_done || this->answers_wanted == 0;
  this->has_learned = true;
  this->target.learn(told.value());
  this->log->Write(
      kDeparturesLearned, "",
      "from=" + boost::asio::ip::address_v4(from).to_string() +
          " departures=" + std::to_string(told.value().left.size()));
}

gateway::HealthAnswer DepartureSync::Answer(std::string_view path) {
  constexpr int kNoRoom = 503;
  if (path != kPath)
    return {};
  if (!this->has_learned)
    return {kNoRoom, "not known\n"};
  gateway::HealthAnswer answer{200, fleet::Encode(this->target.remembered())};
  if (!TryTransfer(answer.body.size(), BootNow(), &this->transfers))
    return {kNoRoom, "busy\n"};
  return answer;
}

}  // namespace coltsfootvane::daemon
