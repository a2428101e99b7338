#ifndef COLTSFOOTVANE_FLEET_STORE_BATCHES_H_
#define COLTSFOOTVANE_FLEET_STORE_BATCHES_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/result.h"
#include "fleet/gen/fleet_types.h"
#include "gateway/endpoint.h"
#include "store/place.h"

namespace coltsfootvane::fleet {

/// The latest changes of endpoints that this daemon knows. Each batch begins at
/// or before the end of the one before it.
struct BatchLog {
  std::deque<gen::StoreBatch> batches;
  /// The end of the last batch; where the log begins if there is none.
  store::Place covered_to;
};

/// Places in the history of the store: from the first to the second one, a
/// batch may be applied, and the third one is reached by it.
struct BatchRange {
  store::Place from;
  store::Place base_until;
  store::Place to;
};

BatchRange RangeOf(const gen::StoreBatch& batch);
/// `from` and `base_until` are of one era, which may be earlier than that of
/// `to`.
void SetRange(const BatchRange& range, gen::StoreBatch* batch);
/// Returns the place of one of the batch's changes.
store::Place PlaceOf(const gen::EndpointNews& change,
                     const gen::StoreBatch& batch);

enum class BatchFit {
  kKnown,    ///< The view already holds all of its changes.
  kApplies,  ///< The view may be brought forward by it.
  kGap,      ///< Changes before it, or within it, are missing.
};

/// Returns how a batch fits a view that holds all changes up to `known`.
BatchFit Fit(const gen::StoreBatch& batch, const store::Place& known);

/// Returns whether a change of a batch that applies is to be applied: it is
/// newer than the view, and not the removal of an entry that has returned
/// before the place of the view.
bool IsNews(const gen::StoreBatch& batch,
            std::size_t position,
            const store::Place& known);

/// Appends a batch. The log begins anew if changes before it are missing.
void Append(const gen::StoreBatch& batch, BatchLog* log);

/// Returns the batches that bring a view from `known` to the end of the log.
/// Errors: kGone if the log does not reach back that far.
Result<std::vector<gen::StoreBatch>> BatchesSince(const BatchLog& log,
                                                  const store::Place& known);

/// Returns the last batches of the log, as many as are small enough to be
/// repeated beside news, in order.
std::vector<gen::StoreBatch> LastBatches(const BatchLog& log,
                                         std::size_t max_bytes);

/// Splits a batch into consecutive ones that fit into a datagram each. Changes
/// that do not fit alone are marked as left out.
std::vector<gen::StoreBatch> SplitBatch(const gen::StoreBatch& batch);
/// Groups batches so that each group fits into a datagram.
std::vector<std::vector<gen::StoreBatch>> GroupBatches(
    const std::vector<gen::StoreBatch>& batches);

/// Orders the changes between two listings so that those by which endpoints
/// leave come first, and the rest by revision.
void OrderListed(std::vector<gen::EndpointNews>* changes);

/// Returns about how many bytes the changes take in a datagram.
std::size_t SizeOf(const gen::StoreBatch& batch);

gen::EndpointFields ToWire(const gateway::EndpointEntry& entry);
/// Errors: kInvalid if the fields name no usable endpoint.
Result<gateway::EndpointEntry> FromWire(const std::string& id,
                                        const gen::EndpointFields& fields);

}  // namespace coltsfootvane::fleet

#endif  // COLTSFOOTVANE_FLEET_STORE_BATCHES_H_
