#ifndef COLTSFOOTVANE_PLACEMENT_PLAN_STATE_H_
#define COLTSFOOTVANE_PLACEMENT_PLAN_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "placement/plan.h"

namespace coltsfootvane::detail {

/// A declared model or adapter.
struct DeclaredItem {
  std::string_view name;
  std::string_view version;
  std::string_view model;  ///< Empty for a model.
  std::int64_t memory_mb = 0;
  int min_copies = 1;
  std::vector<const DeclaredItem*> adapters;  ///< Of a model.
  /// Endpoints whose ledger names it, in order. Spares a search of all of them.
  std::vector<std::size_t> holders;

  bool IsAdapter() const { return !this->model.empty(); }
};

/// The endpoints as they will be once all orders given so far are done.
class PlanState {
 public:
  explicit PlanState(const PlanInput& input);

  const DeclaredItem* Find(std::string_view name) const;
  std::size_t EndpointCount() const { return this->endpoints.size(); }
  const PlanEndpoint& At(std::size_t i) const { return this->endpoints[i]; }
  std::string_view DataCentreOf(std::size_t i) const {
    return this->endpoints[i].endpoint->data_centre;
  }

  /// Returns whether the endpoint stays and has, or is loading, the declared
  /// version, and the model of an adapter.
  bool IsPresent(std::size_t i, const DeclaredItem& item) const;
  /// As IsPresent(), ready and without an open unload.
  bool IsSafe(std::size_t i, const DeclaredItem& item) const;
  int CountPresent(const DeclaredItem& item) const;
  /// Counts safe copies on endpoints other than `except`.
  int CountSafe(const DeclaredItem& item, std::size_t except) const;

  /// Returns the endpoints whose ledger names the item, in order.
  const std::vector<std::size_t>& HoldersOf(const DeclaredItem& item) const {
    return item.holders;
  }

  bool HasAnyVersion(std::size_t i, std::string_view item) const;
  bool Fits(std::size_t i, const DeclaredItem& item) const;
  /// Returns whether the item is absent there and fits.
  bool CanBeLoaded(std::size_t i, const DeclaredItem& item) const;
  /// Memory that is neither charged nor kept for adapters without a copy.
  std::int64_t FreeMemory(std::size_t i) const;
  /// Memory of a model and of its adapters that have no copy.
  std::int64_t GroupMemory(const DeclaredItem& model) const;

  /// Memory of a loaded model and of its adapters there.
  std::int64_t MemoryWithAdapters(std::size_t i,
                                  const LoadedItem& loaded) const;

  /// Returns whether every declared item would keep a safe copy elsewhere if
  /// this one, with its adapters there, were unloaded.
  bool CanRemove(std::size_t i, const LoadedItem& loaded) const;

  /// Returns whether the weight store and an endpoint take another model load.
  bool CanOrderModels() const;

  /// Plans a load; gives an order only if the endpoint is free and the budget
  /// lasts.
  void Load(std::size_t i, const DeclaredItem& item);
  /// Plans a load without an order.
  void Reserve(std::size_t i, const DeclaredItem& item);
  void DropReservation(std::size_t i, const DeclaredItem& item);
  /// Gives the order of a planned load if the endpoint is free and the budget
  /// lasts.
  void Order(std::size_t i, const DeclaredItem& item);
  /// Keeps what becomes free there from all further loads of this plan.
  void Claim(std::size_t i) { this->claimed[i] = true; }
  bool IsClaimed(std::size_t i) const { return this->claimed[i]; }
  /// Orders an unload; adapters of a model go first.
  void Unload(std::size_t i, const LoadedItem& loaded);

  /// In order of memory, largest first, then by name.
  std::vector<const DeclaredItem*> models;
  std::vector<const DeclaredItem*> adapters;
  std::vector<coltsfootvane::Order> orders;
  bool waiting = false;  ///< A command is planned without an order.

 private:
  struct Charges {
    std::int64_t running_mb = 0;
    std::int64_t restarted_mb = 0;  ///< If the endpoint has restarted.
    std::optional<std::int64_t> kept_mb;
  };

  const Charges& ChargesOf(std::size_t i) const;
  std::int64_t KeptMemory(std::size_t i) const;
  void ForgetMemory(std::size_t i, bool adapter);
  bool IsNamedAt(std::size_t i, const DeclaredItem& item) const;
  bool IsLoading(std::size_t i, const DeclaredItem& item) const;
  void CompleteAdapters();
  void IndexHolders();
  void Declare(const Configuration& configuration);
  void GiveOrder(std::size_t i, const endpoint::Command& command);
  bool CanOrder(std::size_t i, bool adapter) const;

  std::vector<PlanEndpoint> endpoints;
  std::vector<int> adapter_orders;  ///< By endpoint, in this plan.
  std::vector<int> model_orders;    ///< By endpoint, in this plan.
  std::vector<bool> claimed;        ///< By endpoint.
  /// Computed on demand; a plan asks often between two changes.
  mutable std::vector<std::optional<Charges>> charges;
  int model_batch;
  std::map<std::string_view, DeclaredItem> declared;
  int model_loads;
  int adapter_loads;
};

}  // namespace coltsfootvane::detail

#endif  // COLTSFOOTVANE_PLACEMENT_PLAN_STATE_H_
