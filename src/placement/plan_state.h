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
  std::vector<const DeclaredItem*> adapters;  ///< Those of a model.
  /// Ascending indices of the endpoints whose ledger names the item, so that
  /// queries need not scan all endpoints.
  std::vector<std::size_t> holders;

  bool IsAdapter() const { return !this->model.empty(); }
};

/// The endpoints as they will be once all commands planned so far have taken
/// effect. Endpoints are identified by their index in PlanInput::endpoints.
class PlanState {
 public:
  explicit PlanState(const PlanInput& input);

  const DeclaredItem* FindItem(std::string_view name) const;
  std::size_t EndpointCount() const { return this->endpoints.size(); }
  const PlanEndpoint& At(std::size_t i) const { return this->endpoints[i]; }
  std::string_view DataCentreOf(std::size_t i) const {
    return this->endpoints[i].endpoint->data_centre;
  }

  /// Returns whether the declared version is loaded or being loaded there, as
  /// well as the model of an adapter. False if the endpoint is leaving or an
  /// unload of the item is open.
  bool IsPresent(std::size_t i, const DeclaredItem& item) const;
  /// As IsPresent(), but the copy is ready already and no unload of it is open.
  bool IsServing(std::size_t i, const DeclaredItem& item) const;
  int CountPresent(const DeclaredItem& item) const;
  /// Counts the serving copies on endpoints other than `except`; with
  /// EndpointCount() for `except`, those on all endpoints.
  int CountServing(const DeclaredItem& item, std::size_t except) const;

  /// Returns the ascending indices of the endpoints whose ledger names the
  /// item.
  const std::vector<std::size_t>& HoldersOf(const DeclaredItem& item) const {
    return item.holders;
  }

  bool HasAnyVersion(std::size_t i, std::string_view item) const;
  bool Fits(std::size_t i, const DeclaredItem& item) const;
  /// Returns whether the item is absent there and fits, and the endpoint is not
  /// claimed.
  bool CanBeLoaded(std::size_t i, const DeclaredItem& item) const;
  /// Returns the memory that is neither charged nor needed for pending
  /// adapters: those without a copy whose model is present there.
  std::int64_t FreeMemory(std::size_t i) const;
  /// Returns the memory of a model and of its adapters that have no copy.
  std::int64_t GroupMemory(const DeclaredItem& model) const;

  /// Returns the memory of a loaded model and of its adapters there.
  std::int64_t MemoryWithAdapters(std::size_t i,
                                  const LoadedItem& loaded) const;

  /// Returns whether every declared item would keep a serving copy if this one,
  /// with its adapters there, were unloaded.
  bool CanRemove(std::size_t i, const LoadedItem& loaded) const;

  /// Returns whether the budget and some endpoint allow another model load.
  bool CanIssueModelLoad() const;

  /// Plans a load: IssueLoad() and Reserve().
  void Load(std::size_t i, const DeclaredItem& item);
  /// Plans a load without issuing its command.
  void Reserve(std::size_t i, const DeclaredItem& item);
  void DropReservation(std::size_t i, const DeclaredItem& item);
  /// Issues the command of a planned load if the endpoint takes one and the
  /// budget allows it; otherwise sets `waiting`.
  void IssueLoad(std::size_t i, const DeclaredItem& item);
  /// Excludes the endpoint from all further loads of this plan, so that memory
  /// that becomes free there is kept.
  void Claim(std::size_t i) { this->claimed[i] = true; }
  bool IsClaimed(std::size_t i) const { return this->claimed[i]; }
  /// Issues an unload. The adapters of a model are unloaded first; the model
  /// follows in a later plan.
  void Unload(std::size_t i, const LoadedItem& loaded);

  /// Sorted by memory in descending order, then by name.
  std::vector<const DeclaredItem*> models;
  std::vector<const DeclaredItem*> adapters;
  std::vector<coltsfootvane::PlannedCommand> commands;
  bool waiting = false;  ///< A planned command was postponed.

 private:
  /// Memory charged to an endpoint.
  struct Charges {
    std::int64_t running_mb = 0;    ///< If the endpoint has not restarted.
    std::int64_t restarted_mb = 0;  ///< If it has restarted unnoticed.
    std::optional<std::int64_t> pending_adapters_mb;
  };

  const Charges& ChargesOf(std::size_t i) const;
  std::int64_t PendingAdapterMemory(std::size_t i) const;
  void InvalidateCharges(std::size_t i, bool adapter);
  bool IsInLedger(std::size_t i, const DeclaredItem& item) const;
  bool IsLoading(std::size_t i, const DeclaredItem& item) const;
  void FillInAdapterModels();
  void IndexHolders();
  void Declare(const Configuration& configuration);
  void Issue(std::size_t i, const endpoint::Command& command);
  bool CanIssue(std::size_t i, bool adapter) const;

  std::vector<PlanEndpoint> endpoints;
  std::vector<int> adapter_commands;  ///< By endpoint, in this plan.
  std::vector<int> model_commands;    ///< By endpoint, in this plan.
  std::vector<bool> claimed;          ///< By endpoint.
  /// Computed on demand and cached until the endpoint changes, since a plan
  /// queries them often in between.
  mutable std::vector<std::optional<Charges>> charges;
  int max_model_batch;
  std::map<std::string_view, DeclaredItem> declared;
  int model_load_budget;
  int adapter_load_budget;
};

}  // namespace coltsfootvane::detail

#endif  // COLTSFOOTVANE_PLACEMENT_PLAN_STATE_H_
