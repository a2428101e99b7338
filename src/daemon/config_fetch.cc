#include <algorithm>
#include <charconv>
#include <utility>

#include "base/time_slice.h"
#include "daemon/config_sync.h"
#include "daemon/events.h"
#include "daemon/peer_fetch.h"

namespace coltsfootvane::daemon {
namespace {

namespace gen = fleet::gen;

/// Followed by the place from which on the changes are wanted, `REVISION.ERA`.
constexpr std::string_view kChangesPath = "/store/config-changes/";
/// Daemons of earlier versions of the program fetch the whole text.
constexpr std::string_view kTextPath = "/store/config";
/// Between the bytes of an answer, after the first ones.
constexpr Milliseconds kMaxPause{600};
constexpr Milliseconds kTimerInterval{40};
/// A configuration passes from daemon to daemon, each of which fetches it.
constexpr int kMinDelayMs = 300;
constexpr int kMaxDelayMs = 600;
/// For which the whole state is kept for the next daemon that lacks it.
constexpr Milliseconds kWholeKeptTime{5000};
/// Compressed, the whole state has some fifth of its bytes: changes that are
/// longer are sent as a whole.
constexpr std::size_t kTextToChanges = 5;
constexpr std::size_t kMinLongChanges = 64UL * 1024;
constexpr int kOk = 200;
constexpr int kNoRoom = 503;

std::string FormatSince(const store::Place& place) {
  return std::to_string(place.revision) + "." + std::to_string(place.era);
}

std::optional<store::Place> ReadSince(std::string_view text) {
  store::Place place;
  const char* const end = text.data() + text.size();
  auto read = std::from_chars(text.data(), end, place.revision);
  if (read.ec != std::errc() || read.ptr == end || *read.ptr != '.')
    return std::nullopt;
  read = std::from_chars(read.ptr + 1, end, place.era);
  if (read.ec != std::errc() || read.ptr != end)
    return std::nullopt;
  return place;
}

/// Returns the configuration in the form of earlier versions of the program.
std::string FormatText(const replication::Document& document) {
  std::string head = std::to_string(document.place.revision);
  if (document.place.era != 0)
    head += " " + std::to_string(document.place.era);
  return head + "\n" + replication::FormatDocument(document);
}

}  // namespace

void ConfigSync::Want(const store::Place& place, std::uint32_t source) {
  if (!place.IsKnown() || place <= this->recovery.wanted)
    return;
  std::uniform_int_distribution<int> delay(kMinDelayMs, kMaxDelayMs);
  daemon::Want(place, source, RecoveryKind::kWhole, BootNow(),
               Milliseconds(delay(this->gateway->random)), &this->recovery);
  ++this->counts->gaps;
  this->Schedule();
}

void ConfigSync::Schedule() {
  this->UpdateDoubt();
  if (this->scheduled)
    return;
  this->scheduled = true;
  this->timer.Set(kTimerInterval, [this] { this->OnTimer(); });
}

void ConfigSync::OnTimer() {
  this->scheduled = false;
  this->Recover();
  if (this->whole.is_complete && BootNow() > this->whole.used_until)
    this->whole = {};
  if (this->recovery.wanted.IsKnown() || this->whole.is_complete)
    this->Schedule();
  this->UpdateDoubt();
}

void ConfigSync::Recover() {
  const TimePoint now = BootNow();
  // One that cannot be read is known as well.
  const store::Place own = std::max(this->Heading(), this->fleet->seen.config);
  const RecoveryStep step =
      NextStep(own, now, &this->gateway->random, &this->recovery);
  if (step == RecoveryStep::kNone)
    return;
  if (step == RecoveryStep::kList) {
    this->target.list();
    return;
  }
  std::uint32_t from = std::exchange(this->recovery.source, 0);
  if (from == 0)
    from = this->fleet->PickMember(
        [this](const gen::Report& report) {
          return store::Place(report.config_revision, report.era) >=
                 this->recovery.wanted;
        },
        this->recovery.fetched_from);
  this->recovery.fetched_from = from;
  if (from != 0)
    this->FetchFrom(from);
  else
    EndFetch(now, &this->gateway->random, &this->recovery);
}

void ConfigSync::FetchFrom(std::uint32_t from) {
  ++this->fetches;
  net::RequestHead head;
  head.method = "GET";
  head.target =
      std::string(kChangesPath) +
      FormatSince(this->lacks_whole ? store::Place() : this->announced);
  head.fields.push_back({"Connection", "close"});
  net::AnswerLimits limits;
  limits.max_pause = kMaxPause;
  this->client->Call(
      {boost::asio::ip::address_v4(from), this->peer_port}, std::move(head), {},
      kFetchTimeout, net::ConnectionUse::kOwn,
      [this, from,
       began = BootNow()](const Result<net::WholeResponse>& response) {
        this->OnFetched(from, began, response);
      },
      limits,
      // While this one comes in, another would only share the link with it.
      [this] { PostponeFetch(BootNow(), &this->recovery); });
}

void ConfigSync::OnFetched(std::uint32_t from,
                           TimePoint began,
                           const Result<net::WholeResponse>& response) {
  --this->fetches;
  EndFetch(BootNow(), &this->gateway->random, &this->recovery);
  const bool ok = response && response.value().head.status == kOk;
  const auto took = std::chrono::duration_cast<Milliseconds>(BootNow() - began);
  std::string details =
      "from=" + boost::asio::ip::address_v4(from).to_string() +
      " transfer_ms=" + std::to_string(took.count());
  if (ok)
    details += " bytes=" + std::to_string(response.value().body.size());
  else if (response)
    details += " reason=\"status " +
               std::to_string(response.value().head.status) + "\"";
  else
    details += " reason=\"" + response.error().message + "\"";
  this->gateway->log->Write(ok ? kConfigFetched : kConfigFetchFailed, "",
                            details);
  if (!ok || response.value().body.empty())
    return;
  ++this->counts->fetched;
  this->counts->config_bytes_received += response.value().body.size();
  // What has come meanwhile may lead to the same place.
  this->waiting_frames.clear();
  this->waiting_frames.push_back(response.value().body);
  this->StartNext();
}

gateway::HealthAnswer ConfigSync::Answer(std::string_view path) {
  if (!this->document.place.IsKnown())
    return {};
  gateway::HealthAnswer answer;
  if (path == kTextPath)
    answer = {kOk, FormatText(this->document)};
  else if (path.substr(0, kChangesPath.size()) == kChangesPath) {
    const auto since = ReadSince(path.substr(kChangesPath.size()));
    if (!since)
      return {};
    answer = this->AnswerChanges(*since);
  }
  if (answer.status != kOk)
    return answer;
  if (!TryTransfer(answer.body.size(), BootNow(), &this->transfers))
    return {kNoRoom, "busy\n"};
  this->counts->config_bytes_sent += answer.body.size();
  return answer;
}

gateway::HealthAnswer ConfigSync::AnswerChanges(const store::Place& since) {
  if (since.IsKnown()) {
    const std::size_t most =
        std::max(this->document.bytes / kTextToChanges, kMinLongChanges);
    const auto changes = replication::ChangesSince(this->log, since, most);
    if (changes)
      return {kOk, *changes};
  }
  this->PrepareWhole();
  if (!this->whole.is_complete)
    return {kNoRoom, "in preparation\n"};
  return {kOk, this->whole.frames};
}

void ConfigSync::PrepareWhole() {
  this->whole.used_until = BootNow() + kWholeKeptTime;
  if (this->whole.place != this->document.place) {
    const TimePoint used_until = this->whole.used_until;
    this->whole = {};
    this->whole.place = this->document.place;
    this->whole.used_until = used_until;
    // One that is short needs no second call.
    TimeSlice slice = BeginSlice(BootNow());
    while (this->IsWholeDue() && !IsUsedUp(&slice))
      this->StepWhole();
    if (this->IsWholeDue())
      this->Resume();
  }
  this->Schedule();
}

}  // namespace coltsfootvane::daemon
