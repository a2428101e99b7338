#include "fleet/daemon_registry.h"

#include <utility>

namespace coltsfootvane::fleet {
namespace {

using BoostError = boost::system::error_code;

constexpr char kKind[] = "coltsfootvane-daemons";
constexpr char kAddressField[] = "address";
constexpr Milliseconds kRetryDelay{1000};
constexpr Milliseconds kListInterval{10'000};

}  // namespace

DaemonRegistry::DaemonRegistry(boost::asio::io_context* io,
                               const store::ObjectStore* object_store,
                               std::string name,
                               const boost::asio::ip::address& own_address,
                               Found on_found)
    : timer(*io),
      store(object_store),
      daemon_name(std::move(name)),
      address(own_address.to_string()),
      found(std::move(on_found)) {}

void DaemonRegistry::Start() {
  this->Announce();
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
        if (created) {
          this->List(store::Freshness::kLatest);
          return;
        }
        if (created.error().code == ErrorCode::kConflict) {
          this->UpdateEntry();
          return;
        }
        this->RunAfter(kRetryDelay, [this] { this->Announce(); });
      });
}

/// Replaces the entry of an earlier process if it has another address.
void DaemonRegistry::UpdateEntry() {
  store::CountCall(*this->store, store::CallCause::kRegistry,
                   store::Freshness::kLatest);
  this->store->read(
      kKind, this->daemon_name, store::Freshness::kLatest,
      [this](const Result<store::Object>& entry) {
        if (!entry) {
          this->RunAfter(kRetryDelay, [this] { this->Announce(); });
          return;
        }
        store::Object own = this->OwnEntry();
        if (entry.value().spec == own.spec) {
          this->List(store::Freshness::kLatest);
          return;
        }
        own.revision = entry.value().revision;
        store::CountCall(*this->store, store::CallCause::kRegistry,
                         store::Freshness::kLatest);
        this->store->replace(
            kKind, own, [this](const Result<store::Object>& replaced) {
              if (replaced)
                this->List(store::Freshness::kLatest);
              else
                this->RunAfter(kRetryDelay, [this] { this->Announce(); });
            });
      });
}

void DaemonRegistry::List(store::Freshness freshness) {
  store::CountCall(*this->store, store::CallCause::kRegistry, freshness);
  this->store->list(
      kKind, freshness, [this](const Result<store::Listing>& listing) {
        if (listing) {
          for (const store::Object& object : listing.value().objects) {
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
        this->RunAfter(kListInterval,
                       [this] { this->List(store::Freshness::kStale); });
      });
}

void DaemonRegistry::RunAfter(Milliseconds delay,
                              std::function<void()> action) {
  this->timer.expires_after(delay);
  this->timer.async_wait([action = std::move(action)](const BoostError& ec) {
    if (!ec)
      action();
  });
}

}  // namespace coltsfootvane::fleet
