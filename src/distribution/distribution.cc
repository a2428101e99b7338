#include "distribution/distribution.h"

#include <algorithm>
#include <string>
#include <utility>

#include "config/part.h"
#include "distribution/events.h"
#include "log/event.h"
#include "objectapi/retry.h"

namespace coltsfootvane {
namespace {

/// About 5 s between lists: the last watch ends about 1 s early.
constexpr Milliseconds kHeadListInterval{6000};
/// Watches deliver every change; the list is a second way for the case that a
/// change was missed.
constexpr Milliseconds kSlowListInterval{300000};
constexpr std::size_t kNotedVersionCapacity = 256;
constexpr Milliseconds kPeerThreadInterval{100};
constexpr Milliseconds kFirstVersionInterval{20};
constexpr objectapi::Backoff kPartBackoff{Milliseconds{50}, Milliseconds{2000}};
/// With the backoff above this takes about as long as the next poll.
constexpr int kPartAttempts = 6;

std::string Describe(const ConfigurationHead& head) {
  return "version=" + std::to_string(head.version) + " digest=" + head.digest;
}

bool IsHeadChange(const objectapi::Change& change) {
  return change.object.name == objectapi::kConfigHeadName &&
         change.type != objectapi::ChangeType::kDeleted;
}

std::string Quote(const std::string& text) {
  return "\"" + text + "\"";
}

void LogPlacementFindings(const Findings& findings) {
  for (const Finding& finding : findings) {
    LogEvent(
        distribution::kPlacementMalformed,
        "region=" + finding.place.file + " message=" + Quote(finding.message));
  }
}

}  // namespace

Distribution::Distribution(const Settings& settings,
                           objectapi::Connection connection,
                           InForceHolder* holder,
                           DistributionHooks hooks)
    : settings(settings),
      connection(std::move(connection)),
      holder(holder),
      hooks(std::move(hooks)),
      noted_versions(kNotedVersionCapacity) {}

Distribution::~Distribution() {
  this->Stop();
}

void Distribution::Start() {
  this->started = Clock::now();
  this->threads.emplace_back([this] { this->WatchConfig(); });
  this->threads.emplace_back([this] { this->WatchPlacements(); });
  this->threads.emplace_back([this] { this->WatchVms(); });
  this->threads.emplace_back([this] { this->FollowPeers(); });
}

void Distribution::Stop() {
  this->stop.Stop();
  this->noted_versions.Close();
  for (std::thread& thread : this->threads)
    thread.join();
  this->threads.clear();
}

void Distribution::NoteVersion(std::int64_t version,
                               std::string_view digest,
                               const http::Address& peer) {
  // A full ring drops the note; membership repeats it.
  this->noted_versions.Push({version, std::string(digest), peer});
}

PeerSnapshot Distribution::Snapshot() const {
  const std::shared_ptr<const InForce> current = this->holder->Get();
  return {current->head, current->bundle, current->placement};
}

void Distribution::Publish(const Change& change) {
  auto next = std::make_shared<InForce>(*this->holder->Get());
  change(next.get());
  this->holder->Set(std::move(next));
}

// Configuration.

void Distribution::WatchConfig() {
  KindWatch watch;
  watch.kind = objectapi::kConfigKind;
  watch.list_interval = kHeadListInterval;
  watch.call_timeout = Milliseconds{this->settings.platform_call_timeout_ms};
  watch.on_list = [this](const objectapi::ObjectList& list) {
    for (const objectapi::Object& object : list.items)
      this->HandleHeadObject(object);
  };
  watch.on_changes = [this](const objectapi::ChangeBatch& batch) {
    // Only the last state of the head counts; its deletion changes nothing.
    const auto last = std::find_if(batch.changes.rbegin(), batch.changes.rend(),
                                   IsHeadChange);
    if (last != batch.changes.rend())
      this->HandleHeadObject(last->object);
  };
  RunKindWatch(watch, this->connection, &this->stop);
}

void Distribution::HandleHeadObject(const objectapi::Object& object) {
  if (object.name != objectapi::kConfigHeadName)
    return;
  const Result<ConfigurationHead> head = ParseHead(object.spec);
  if (!head) {
    LogEvent(distribution::kHeadMalformed,
             "message=" + Quote(head.error().message));
    return;
  }
  this->WaitForPeers(head.value().version);
  const HeadVerdict verdict =
      this->Judge(head.value().version, head.value().digest);
  if (verdict == HeadVerdict::kNewer)
    this->FetchHead(head.value());
  else
    this->LogVerdict(verdict, head.value());
}

void Distribution::WaitForPeers(std::int64_t version) {
  if (!HasOtherPeers(this->settings))
    return;
  const auto may_take = [this, version] {
    const auto waited =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - this->started);
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->keeper.version > 0 ||
           MayTakeFirst(version, this->told_version, waited);
  };
  while (!this->stop.IsStopped() && !may_take())
    this->stop.Wait(kFirstVersionInterval);
}

HeadVerdict Distribution::Judge(std::int64_t version, std::string_view digest) {
  std::lock_guard<std::mutex> lock(this->mutex);
  return JudgeHead(this->keeper, version, digest);
}

void Distribution::LogVerdict(HeadVerdict verdict,
                              const ConfigurationHead& head) {
  {
    // The poll meets the same head again every few seconds.
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->last_logged.version == head.version &&
        this->last_logged.digest == head.digest)
      return;
    this->last_logged = head;
  }
  if (verdict == HeadVerdict::kLower)
    LogEvent(distribution::kLowerVersionIgnored, Describe(head));
  if (verdict == HeadVerdict::kOtherDigest)
    LogEvent(distribution::kVersionDigestDiffers, Describe(head));
}

Result<bool> Distribution::ReadMissingParts(const ConfigurationHead& head,
                                            PartTexts* texts) {
  for (const std::string& digest : MissingParts(head, *texts)) {
    const Result<objectapi::Object> object = objectapi::ReadObject(
        this->connection, objectapi::kConfigPartKind, digest,
        Clock::now() + Milliseconds{this->settings.platform_call_timeout_ms});
    if (!object)
      return object.error();
    Result<std::string> text = ParsePart(object.value().spec);
    if (!text)
      return text.error();
    (*texts)[digest] = std::move(text).value();
  }
  return true;
}

void Distribution::FetchHead(const ConfigurationHead& head) {
  PartTexts texts = TextsOf(this->holder->Get()->bundle);
  Error error;
  for (int attempt = 1; attempt <= kPartAttempts; ++attempt) {
    // A peer may have delivered it meanwhile.
    if (this->stop.IsStopped() ||
        this->Judge(head.version, head.digest) != HeadVerdict::kNewer)
      return;
    const Result<bool> complete = this->ReadMissingParts(head, &texts);
    if (complete) {
      Result<Bundle> bundle = AssembleBundle(head, texts);
      if (bundle) {
        this->TakeBundle(head, std::move(bundle).value(), "platform");
        return;
      }
      // Parts are immutable, so that reading them again at once is no help.
      error = bundle.error();
      break;
    }
    error = complete.error();
    this->stop.Wait(objectapi::BackoffDelay(kPartBackoff, attempt,
                                            objectapi::RandomFraction(),
                                            error.retry_after_ms));
  }
  LogEvent(distribution::kPartsIncomplete,
           Describe(head) + " error=" + ErrorCodeName(error.code) +
               " message=" + Quote(error.message));
}

void Distribution::TakeBundle(const ConfigurationHead& head,
                              Bundle bundle,
                              std::string_view source) {
  Findings findings;
  Configuration configuration = ParseConfiguration(bundle, &findings);
  if (!findings.empty()) {
    LogEvent(distribution::kConfigurationRefused,
             Describe(head) + " findings=" + std::to_string(findings.size()) +
                 " first=" + Quote(FormatFinding(findings.front())));
    std::lock_guard<std::mutex> lock(this->mutex);
    RecordRefused(&this->keeper, head);
    return;
  }
  if (!this->SetConfiguration(head, std::move(bundle),
                              std::move(configuration)))
    return;
  LogEvent(distribution::kConfigurationInForce,
           Describe(head) + " source=" + std::string(source));
  if (this->hooks.on_version)
    this->hooks.on_version(head.version, head.digest);
}

bool Distribution::SetConfiguration(const ConfigurationHead& head,
                                    Bundle bundle,
                                    Configuration configuration) {
  std::lock_guard<std::mutex> lock(this->mutex);
  // Another thread may have taken a version since the first look.
  if (JudgeHead(this->keeper, head.version, head.digest) != HeadVerdict::kNewer)
    return false;
  RecordInForce(&this->keeper, head);
  this->Publish([&](InForce* next) {
    next->version = head.version;
    next->head = head;
    next->bundle = std::move(bundle);
    next->configuration = std::move(configuration);
  });
  return true;
}

// Peers.

bool Distribution::NeedsPeer(const PeerVersion& noted) {
  std::lock_guard<std::mutex> lock(this->mutex);
  this->told_version = std::max(this->told_version, noted.version);
  const HeadVerdict verdict =
      JudgeHead(this->keeper, noted.version, noted.digest);
  const bool lacks_placement =
      !this->has_platform_placements && !this->has_peer_placement;
  return verdict == HeadVerdict::kNewer ||
         (verdict == HeadVerdict::kInForce && lacks_placement);
}

void Distribution::FollowPeers() {
  PeerFetchPlan plan;
  while (!this->stop.IsStopped()) {
    const std::optional<PeerVersion> noted =
        this->noted_versions.PopUntil(Clock::now() + kPeerThreadInterval);
    if (noted && this->NeedsPeer(*noted))
      NotePeerVersion(&plan, *noted, Clock::now());
    if (plan.newest.version == 0 || Clock::now() < plan.due)
      continue;
    if (this->NeedsPeer(plan.newest))
      this->FetchFromPeer(&plan);
    else
      plan = {};
  }
}

void Distribution::FetchFromPeer(PeerFetchPlan* plan) {
  if (!this->hooks.fetch_from_peer)
    return;
  const http::Address peer = plan->peers.front();
  const Result<PeerSnapshot> snapshot =
      this->hooks.fetch_from_peer(peer, this->holder->Get()->version);
  if (snapshot)
    this->TakeSnapshot(snapshot.value());
  else
    LogEvent(distribution::kPeerFetchFailed,
             "peer=" + http::FormatAddress(peer) +
                 " error=" + ErrorCodeName(snapshot.error().code) +
                 " message=" + Quote(snapshot.error().message));
  NoteFetchFailure(plan, Clock::now(), objectapi::RandomFraction());
  if (!this->NeedsPeer(plan->newest))
    *plan = {};
}

void Distribution::TakePeerPlacement(const PlacementView& placement) {
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->has_platform_placements || placement.endpoints.empty())
    return;
  this->has_peer_placement = true;
  this->Publish([&placement](InForce* next) { next->placement = placement; });
}

void Distribution::TakeSnapshot(const PeerSnapshot& snapshot) {
  this->TakePeerPlacement(snapshot.placement);
  if (this->Judge(snapshot.head.version, snapshot.head.digest) !=
      HeadVerdict::kNewer)
    return;
  Result<Bundle> bundle =
      AssembleBundle(snapshot.head, TextsOf(snapshot.bundle));
  if (bundle) {
    this->TakeBundle(snapshot.head, std::move(bundle).value(), "peer");
    return;
  }
  LogEvent(distribution::kPartsIncomplete,
           Describe(snapshot.head) +
               " source=peer message=" + Quote(bundle.error().message));
}

// Placement.

template <class Update>
void Distribution::UpdatePlacements(Update update) {
  Findings findings;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    update(&this->placements, &findings);
    this->has_platform_placements = true;
    this->Publish([this](InForce* next) {
      next->placement = UnitePlacements(this->placements);
    });
  }
  LogPlacementFindings(findings);
}

void Distribution::WatchPlacements() {
  KindWatch watch;
  watch.kind = objectapi::kPlacementKind;
  watch.list_interval = kSlowListInterval;
  watch.call_timeout = Milliseconds{this->settings.platform_call_timeout_ms};
  watch.on_list = [this](const objectapi::ObjectList& list) {
    this->UpdatePlacements(
        [&list](RegionPlacements* regions, Findings* findings) {
          ReplacePlacements(regions, list, findings);
        });
  };
  watch.on_changes = [this](const objectapi::ChangeBatch& batch) {
    this->UpdatePlacements(
        [&batch](RegionPlacements* regions, Findings* findings) {
          ChangePlacements(regions, batch, findings);
        });
  };
  RunKindWatch(watch, this->connection, &this->stop);
}

// Leaving VMs.

void Distribution::PublishLeaving() {
  std::set<std::string> ids = LeavingIds(this->leaving);
  // The list of VMs changes often; few changes are about leaving.
  const std::shared_ptr<const InForce> current = this->holder->Get();
  if (ids == current->leaving)
    return;
  for (const std::string& id : current->leaving) {
    if (ids.count(id) == 0 && this->hooks.on_endpoint_live)
      this->hooks.on_endpoint_live(id);
  }
  this->Publish([&ids](InForce* next) { next->leaving = std::move(ids); });
}

void Distribution::WatchVms() {
  KindWatch watch;
  watch.kind = objectapi::kVmKind;
  watch.list_interval = kSlowListInterval;
  watch.call_timeout = Milliseconds{this->settings.platform_call_timeout_ms};
  watch.on_list = [this](const objectapi::ObjectList& list) {
    std::lock_guard<std::mutex> lock(this->mutex);
    ReplaceVms(&this->leaving, list);
    this->PublishLeaving();
  };
  watch.on_changes = [this](const objectapi::ChangeBatch& batch) {
    std::lock_guard<std::mutex> lock(this->mutex);
    ChangeVms(&this->leaving, batch);
    this->PublishLeaving();
  };
  RunKindWatch(watch, this->connection, &this->stop);
}

void Distribution::NoteLeaving(std::string_view id) {
  std::lock_guard<std::mutex> lock(this->mutex);
  if (NoteLeavingId(&this->leaving, id))
    this->PublishLeaving();
}

}  // namespace coltsfootvane
