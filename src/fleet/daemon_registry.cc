#include "fleet/daemon_registry.h"

#include <utility>

namespace coltsfootvane::fleet {
namespace {

using BoostError = boost::system::error_code;

constexpr char kKind[] = "coltsfootvane-daemons";
constexpr char kAddressField[] = "address";
constexpr Milliseconds kRetryDelay{1000};
constexpr Milliseconds kListInterval{10'000};
/// Plus up to as much. A new daemon reports to all that are listed, so that the
/// others need no list to find it.
constexpr Milliseconds kRareListInterval{60'000};
/// A store that comes back from a copy has lost some seconds.
constexpr Milliseconds kMaxCopyAge{120'000};
/// The daemons of a fleet write again within this time.
constexpr Milliseconds kNewEraSpread{1000};

}  // namespace

DaemonRegistry::DaemonRegistry(boost::asio::io_context* io,
                               const store::ObjectStore* object_store,
                               std::string name,
                               const boost::asio::ip::address& own_address,
                               Found on_found)
    : timer(io),
      store(object_store),
      daemon_name(std::move(name)),
      address(own_address.to_string()),
      found(std::move(on_found)),
      random(std::random_device()()) {}

void DaemonRegistry::Start() {
  this->Announce();
}

/// An entry that is older than any copy is in the copy as well.
void DaemonRegistry::OnNewEra() {
  const TimePoint now = BootNow();
  const bool is_in_copy = this->announced_at != TimePoint() &&
                          now - this->announced_at > kMaxCopyAge;
  if (!this->announced || is_in_copy)
    return;
  const auto spread = static_cast<std::uint64_t>(kNewEraSpread.count());
  this->announced = false;
  this->announced_at = TimePoint();
  this->registers_again = true;
  this->RunAfter(
      Milliseconds(static_cast<std::int64_t>(this->random() % spread)),
      [this] { this->RegisterAgain(); });
}

/// Most copies have the entry, so that reading it is the only call. The others
/// are known already and need no list.
void DaemonRegistry::RegisterAgain() {
  store::CountCall(*this->store, store::CallCause::kRegistry,
                   store::Freshness::kLatest);
  this->store->read(kKind, this->daemon_name, store::Freshness::kLatest,
                    [this](const Result<store::Object>& own) {
                      if (own && own.value().spec == this->OwnEntry().spec) {
                        this->OnRegisteredAgain();
                      } else if (own) {
                        this->registers_again = false;
                        this->UpdateEntry(own.value().place);
                      } else if (own.error().code == ErrorCode::kNotFound) {
                        this->CreateAgain();
                      } else {
                        this->RunAfter(kRetryDelay,
                                       [this] { this->RegisterAgain(); });
                      }
                    });
}

void DaemonRegistry::CreateAgain() {
  store::CountCall(*this->store, store::CallCause::kRegistry,
                   store::Freshness::kLatest);
  this->store->create(
      kKind, this->OwnEntry(), [this](const Result<store::Object>& created) {
        if (created)
          this->OnRegisteredAgain();
        else
          this->RunAfter(kRetryDelay, [this] { this->RegisterAgain(); });
      });
}

void DaemonRegistry::OnRegisteredAgain() {
  this->registers_again = false;
  this->announced = true;
  this->announced_at = BootNow();
  this->RunAfter(kListInterval, [this] { this->ListAgain(); });
}

store::Object DaemonRegistry::OwnEntry() const {
  store::Object object;
  object.name = this->daemon_name;
  object.spec = {{kAddressField, this->address}};
  return object;
}

void DaemonRegistry::Announce() {
  store::CountCall(*this->store, store::CallCause::kRegistry,
                   store::Freshness::kLatest);
  this->store->create(
      kKind, this->OwnEntry(), [this](const Result<store::Object>& created) {
        this->announced = static_cast<bool>(created);
        if (created || created.error().code == ErrorCode::kConflict)
          this->List(store::Freshness::kLatest);
        else
          this->RunAfter(kRetryDelay, [this] { this->Announce(); });
      });
}

/// Replaces the entry of an earlier process, which has another address.
void DaemonRegistry::UpdateEntry(const store::Place& place) {
  store::Object own = this->OwnEntry();
  own.place = place;
  store::CountCall(*this->store, store::CallCause::kRegistry,
                   store::Freshness::kLatest);
  this->store->replace(
      kKind, own, [this](const Result<store::Object>& replaced) {
        this->announced = static_cast<bool>(replaced);
        if (replaced)
          this->List(store::Freshness::kLatest);
        else
          this->RunAfter(kRetryDelay, [this] { this->Announce(); });
      });
}

void DaemonRegistry::List(store::Freshness freshness) {
  store::CountCall(*this->store, store::CallCause::kRegistry, freshness);
  this->store->list(kKind, {freshness},
                    [this](const Result<store::Listing>& listing) {
                      this->OnListing(listing);
                    });
}

void DaemonRegistry::OnListing(const Result<store::Listing>& listing) {
  const store::Object* other_own = nullptr;
  bool lists_own = false;
  if (listing) {
    for (const store::Object& object : listing.value().objects) {
      lists_own = lists_own || object.name == this->daemon_name;
      if (object.name == this->daemon_name &&
          object.spec != this->OwnEntry().spec)
        other_own = &object;
      const auto field = object.spec.find(kAddressField);
      if (field == object.spec.end() || !field->is_string())
        continue;
      BoostError ec;
      const auto ip =
          boost::asio::ip::make_address(field->get<std::string>(), ec);
      if (!ec)
        this->found(ip);
    }
  }
  // The answer to a list may be the first word of a new era.
  if (this->registers_again)
    return;
  if (!this->announced && !lists_own) {
    this->RunAfter(kRetryDelay, [this] { this->Announce(); });
    return;
  }
  if (!this->announced && other_own != nullptr) {
    this->UpdateEntry(other_own->place);
    return;
  }
  this->announced = true;
  if (this->announced_at == TimePoint())
    this->announced_at = BootNow();
  this->RunAfter(kListInterval, [this] { this->ListAgain(); });
}

void DaemonRegistry::ListAgain() {
  const TimePoint now = BootNow();
  if (!this->lists_rarely || !this->lists_rarely()) {
    this->rare_list_at = TimePoint();
    this->List(store::Freshness::kStale);
    return;
  }
  // Not all daemons that started together list together.
  const auto jitter = Milliseconds(static_cast<std::int64_t>(
      this->random() % static_cast<std::uint64_t>(kRareListInterval.count())));
  const bool due =
      this->rare_list_at != TimePoint() && now >= this->rare_list_at;
  if (due || this->rare_list_at == TimePoint())
    this->rare_list_at = now + kRareListInterval + jitter;
  if (due)
    this->List(store::Freshness::kStale);
  else
    this->RunAfter(kListInterval, [this] { this->ListAgain(); });
}

void DaemonRegistry::RunAfter(Milliseconds delay,
                              std::function<void()> action) {
  this->timer.Set(delay, std::move(action));
}

}  // namespace coltsfootvane::fleet
