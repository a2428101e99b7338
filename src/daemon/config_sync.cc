#include "daemon/config_sync.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "base/time_slice.h"
#include "daemon/events.h"
#include "fleet/codec.h"
#include "fleet/config_frames.h"

namespace coltsfootvane::daemon {
namespace {

namespace gen = fleet::gen;

/// A longer change does not fit into a datagram.
constexpr std::size_t kMaxToldBytes = 1000;
/// Changes that wait for the one that is being applied. Others are fetched.
constexpr std::size_t kMaxWaitingFrames = 8;

store::Place PlaceOf(const gen::ConfigNews& news) {
  return store::Place(news.revision, news.era);
}

store::Place BaseOf(const gen::ConfigNews& news) {
  return store::Place(news.base_revision,
                      news.__isset.base_era ? news.base_era : news.era);
}

void SetPlaces(const store::Place& place,
               const store::Place& base,
               gen::ConfigNews* news) {
  news->revision = place.revision;
  news->era = place.era;
  news->__isset.era = place.era != 0;
  news->base_revision = base.revision;
  news->base_era = base.era;
  news->__isset.base_era = base.era != place.era;
}

template <class Duration>
Duration Since(TimePoint start) {
  return std::chrono::duration_cast<Duration>(BootNow() - start);
}

}  // namespace

ConfigSync::ConfigSync(boost::asio::io_context* io_context,
                       const Deployment* own_deployment,
                       gateway::Gateway* own_gateway,
                       fleet::Fleet* own_fleet,
                       net::HttpClient* http_client,
                       unsigned short port,
                       NewsCounts* news_counts,
                       ConfigTarget config_target)
    : io(io_context),
      deployment(own_deployment),
      gateway(own_gateway),
      fleet(own_fleet),
      client(http_client),
      peer_port(port),
      counts(news_counts),
      target(std::move(config_target)),
      timer(io_context) {
  this->fleet->on_config_news = [this](const gen::ConfigNews& told,
                                       std::uint32_t from) {
    this->OnNews(told, from);
  };
}

/// Returns to which place the job leads, or where the document is.
store::Place ConfigSync::Heading() const {
  return this->job ? std::max(this->document.place, this->job->place)
                   : this->document.place;
}

void ConfigSync::OnStoreText(const store::Place& place, std::string text) {
  const store::Place waiting =
      this->waiting_text ? this->waiting_text->place : store::Place();
  if (place <= std::max(this->Heading(), waiting))
    return;
  this->waiting_text = BeginFromText(place, std::move(text), *this->deployment);
  this->StartNext();
}

void ConfigSync::OnNews(const gen::ConfigNews& told, std::uint32_t from) {
  const std::vector<std::uint32_t> relays =
      fleet::AddressesFromWire(told.relay_to);
  const store::Place place = PlaceOf(told);
  // Daemons of an earlier version of the program state no era.
  if (place.era < this->announced.era) {
    this->fleet->Spread(told, relays);
    return;
  }
  const bool has_it = this->announced >= place;
  if (!has_it && place > PlaceOf(this->news))
    this->news_at = BootNow();
  this->Relay(told, relays, has_it);
  if (has_it)
    return;
  if (this->IsNext(told)) {
    this->waiting_frames.push_back(told.change);
    this->StartNext();
    return;
  }
  const auto source = static_cast<std::uint32_t>(told.source);
  this->FetchNow(place, source != 0 ? source : from);
}

/// Passes news on that receivers can use without this daemon, or that it can
/// answer for. Others wait until it has the change.
void ConfigSync::Relay(const gen::ConfigNews& told,
                       const std::vector<std::uint32_t>& relays,
                       bool has_it) {
  const store::Place place = PlaceOf(told);
  if (told.__isset.change || has_it) {
    gen::ConfigNews passed_on = told;
    if (has_it)
      passed_on.source = static_cast<std::int32_t>(this->fleet->OwnAddress());
    this->fleet->Spread(passed_on, relays);
    return;
  }
  if (place < PlaceOf(this->news))
    return;
  if (place > PlaceOf(this->news))
    this->relay_to.clear();
  this->news = told;
  this->relay_to.insert(this->relay_to.end(), relays.begin(), relays.end());
}

/// Returns whether the news hold the change that follows what is known.
bool ConfigSync::IsNext(const gen::ConfigNews& told) const {
  return told.__isset.change && !this->lacks_whole &&
         this->announced.IsKnown() && BaseOf(told) == this->announced &&
         this->waiting_frames.size() < kMaxWaitingFrames;
}

void ConfigSync::FetchNow(const store::Place& place, std::uint32_t from) {
  daemon::Want(place, from, RecoveryKind::kWhole, BootNow(), Milliseconds(0),
               &this->recovery);
  this->recovery.source = from;
  // While a fetch is in progress, the recovery begins the next one when due.
  if (this->fetches == 0) {
    this->recovery.next_at = BootNow();
    this->Recover();
  }
  this->Schedule();
}

/// Begins with what waits, if no job is in progress.
void ConfigSync::StartNext() {
  this->UpdateDoubt();
  if (this->job || !this->TakeNext())
    return;
  const gateway::RoutingTable empty;
  const gateway::RoutingTable* table = nullptr;
  if (this->table_matches && this->gateway->routes)
    table = this->gateway->routes.get();
  else if (this->document.items.empty())
    table = &empty;
  StartFrom(this->document, table, ++this->jobs, &*this->job);
  this->Resume();
}

/// Makes what waits the next job. Returns whether there is one.
bool ConfigSync::TakeNext() {
  const bool has_text = this->waiting_text.has_value() &&
                        this->waiting_text->place > this->document.place;
  if (has_text) {
    this->job = std::move(this->waiting_text);
    this->job->encodes =
        this->fleet->IsLarge() && this->document.place.IsKnown();
  }
  this->waiting_text.reset();
  if (!has_text && !this->waiting_frames.empty()) {
    this->job = BeginFromFrames(std::move(this->waiting_frames.front()));
    this->waiting_frames.pop_front();
  }
  return this->job.has_value();
}

void ConfigSync::Resume() {
  if (this->running)
    return;
  this->running = true;
  boost::asio::post(*this->io, [this] { this->RunSlice(); });
}

void ConfigSync::RunSlice() {
  const TimePoint began = BootNow();
  TimeSlice slice = BeginSlice(began);
  while ((this->job || this->IsWholeDue()) && !IsUsedUp(&slice)) {
    if (this->job)
      this->StepJob();
    else
      this->StepWhole();
  }
  const auto took = Since<Microseconds>(began);
  this->counts->config_busy += took;
  this->counts->config_longest_turn =
      std::max(this->counts->config_longest_turn,
               std::chrono::duration_cast<Milliseconds>(took));
  this->running = false;
  if (this->job || this->IsWholeDue())
    this->Resume();
}

void ConfigSync::StepJob() {
  const ConfigStage before = this->job->stage;
  const TimePoint began = BootNow();
  Step(*this->deployment, &this->document, &*this->job);
  this->job->busy += Since<Microseconds>(began);
  if (this->job->stage != before)
    this->OnStage();
}

void ConfigSync::OnStage() {
  switch (this->job->stage) {
    case ConfigStage::kRead:
      this->Announce();
      break;
    case ConfigStage::kStore:
      if (this->job->updates_table)
        this->PutInForce();
      break;
    case ConfigStage::kDone:
      if (!this->job->updates_table)
        this->PutInForce();
      this->EndJob();
      break;
    case ConfigStage::kFailed:
      this->OnFailure();
      break;
    default:
      break;
  }
}

/// The changes are known to be whole, so that others may have them.
void ConfigSync::Announce() {
  this->announced = this->job->place;
  this->lacks_whole = false;
  if (!this->job->encoded.empty())
    Append({this->job->base, this->job->place, this->job->encoded}, &this->log);
  if (this->job->is_from_store && this->target.tells())
    this->TellOthers();
  this->PassOn();
}

void ConfigSync::TellOthers() {
  gen::ConfigNews told;
  SetPlaces(this->job->place, this->job->base, &told);
  told.source = static_cast<std::int32_t>(this->fleet->OwnAddress());
  const std::size_t bytes = this->job->encoded.size();
  if (bytes > 0 && bytes <= kMaxToldBytes)
    told.__set_change(this->job->encoded);
  ++this->counts->pushed;
  this->fleet->Spread(told, this->fleet->LiveAddresses());
}

void ConfigSync::PassOn() {
  if (this->announced < PlaceOf(this->news) || this->relay_to.empty())
    return;
  gen::ConfigNews told = this->news;
  told.source = static_cast<std::int32_t>(this->fleet->OwnAddress());
  this->fleet->Spread(told, std::exchange(this->relay_to, {}));
}

void ConfigSync::PutInForce() {
  const bool has_changes = !this->job->comparison.changes.empty();
  if (this->job->table_fault) {
    this->table_matches = false;
    this->gateway->log->Write(
        kConfigUnreadable, "",
        "reason=\"" + this->job->table_fault->message + "\"");
  } else if (has_changes || !this->job->updates_table) {
    // After a copy of the store its version may be older than that in force.
    this->table_matches =
        gateway::ApplyRoutingTable(this->gateway, std::move(this->job->table));
  }
  this->target.on_known(this->job->place);
}

void ConfigSync::EndJob() {
  this->LogApplied();
  const bool is_from_store = this->job->is_from_store;
  const std::string rest(this->job->frames);
  this->job.reset();
  if (!is_from_store) {
    ++this->counts->applied;
    if (!rest.empty())
      this->waiting_frames.push_front(rest);
  }
  this->StartNext();
}

void ConfigSync::LogApplied() const {
  const ConfigJob& done = *this->job;
  const bool was_told = !done.is_from_store && this->news_at != TimePoint();
  const TimePoint since = was_told ? this->news_at : done.began;
  std::string details =
      "revision=" + store::FormatPlace(this->document.place) +
      " source=" + (done.is_from_store ? "store" : "daemon") +
      " bytes=" + std::to_string(done.input_bytes) +
      " changes=" + std::to_string(done.comparison.changes.size()) +
      " items=" + std::to_string(this->document.items.size());
  details += " busy_us=" + std::to_string(done.busy.count()) + " news_age_ms=" +
             std::to_string(Since<Milliseconds>(since).count());
  this->gateway->log->Write(kConfigApplied, "", details);
}

/// The configuration stays as it is; the next fetch is of the whole.
void ConfigSync::OnFailure() {
  if (this->job->fault.code == ErrorCode::kGone) {
    this->job.reset();
    this->StartNext();
    return;
  }
  ++this->counts->config_faults;
  this->gateway->log->Write(
      kConfigDamaged, "",
      "revision=" + store::FormatPlace(this->document.place) +
          " wanted=" + store::FormatPlace(this->job->place) + " reason=\"" +
          this->job->fault.message + "\"");
  const bool is_from_store = this->job->is_from_store;
  const store::Place place = this->job->place;
  this->job.reset();
  this->waiting_frames.clear();
  if (is_from_store) {
    // What cannot be read is known as well, and stays without effect.
    this->target.on_known(place);
  } else if (place > this->document.place) {
    this->lacks_whole = true;
    this->Want(place, 0);
  }
  this->StartNext();
}

/// Callers are not told that there is no route while a newer configuration is
/// on its way.
void ConfigSync::UpdateDoubt() {
  this->gateway->newer_routes_known =
      this->job.has_value() || this->waiting_text.has_value() ||
      !this->waiting_frames.empty() ||
      this->recovery.wanted > this->document.place;
}

bool ConfigSync::IsWholeDue() const {
  return this->whole.place.IsKnown() && !this->whole.is_complete;
}

void ConfigSync::StepWhole() {
  if (this->whole.place != this->document.place) {
    const TimePoint used_until = this->whole.used_until;
    this->whole = {};
    this->whole.place = this->document.place;
    this->whole.used_until = used_until;
  }
  this->whole.is_complete =
      EncodeWhole(this->document, &this->whole.next_key, &this->whole.frames);
}

}  // namespace coltsfootvane::daemon
