#ifndef COLTSFOOTVANE_STORE_OBJECT_STORE_H_
#define COLTSFOOTVANE_STORE_OBJECT_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "store/call_tally.h"
#include "store/era_tracker.h"
#include "store/place.h"

namespace coltsfootvane::store {

struct Object {
  std::string name;
  Place place;          ///< Of its last change; unknown if not stated.
  nlohmann::json spec;  ///< Null if it cannot be read.
  /// The spec as JSON text, in its place, of a kind that is read item by item.
  std::string text;
  std::string fault;  ///< Why it cannot be read, else empty.
};

struct Listing {
  std::vector<Object> objects;
  Place place{};  ///< Of the store; a watch goes on from here.
  Place since{};  ///< Of the follower's view before; unknown if none.
};

struct Change {
  Object object;
  bool deleted = false;
};

struct Changes {
  std::vector<Change> changes;
  Place place{};  ///< The next watch goes on from here.
  Place since{};  ///< Of the follower's view before.
};

enum class Freshness {
  kLatest,  ///< Linearizable.
  kStale,   ///< May be seconds old, and costs little.
};

template <class T>
using Handler = std::function<void(Result<T>)>;

/// How a kind is listed.
struct ListRequest {
  Freshness freshness = Freshness::kLatest;
  /// Asked after each page; a listing that nobody wants any more ends, and its
  /// handler is not called. May be empty.
  std::function<bool()> is_wanted = nullptr;
  /// Called before the error of a listing that fails after some pages, with
  /// what they list. May be empty.
  std::function<void(const Listing&)> on_partial = nullptr;
};

/// Asynchronous access to objects that are replaced conditionally. Errors:
/// kNotSent and kRefused if nothing was done, kConflict if the condition did
/// not hold, kNotFound, kGone if the history of a watch is gone, kUnknown if a
/// call may have been done or may still be. The condition of a call is a place
/// in one era: in a later one, a watch fails with kGone and a write with
/// kConflict.
struct ObjectStore {
  /// Reads page by page within the bounds of listing_progress.h.
  std::function<
      void(const std::string& kind, const ListRequest&, Handler<Listing>)>
      list;
  std::function<void(const std::string& kind,
                     const Place& place,
                     Milliseconds wait,
                     Freshness,
                     Handler<Changes>)>
      watch;
  /// An object whose spec cannot be read has a fault and its place.
  std::function<void(const std::string& kind,
                     const std::string& name,
                     Freshness,
                     Handler<Object>)>
      read;
  /// Fails with kConflict if the object exists.
  std::function<void(const std::string& kind, const Object&, Handler<Object>)>
      create;
  /// Replaces the object if it is still the one of that place.
  std::function<void(const std::string& kind, const Object&, Handler<Object>)>
      replace;
  /// Returns when the last bytes of an answer about the kind came in, as some
  /// answers take their time on a narrow link; may be empty.
  std::function<TimePoint(const std::string& kind)> received_at;
  /// Calls that are made from now on use new connections, since those in use
  /// may be silent for good; may be empty.
  std::function<void()> renew_connections;
  /// Counts the calls by cause; may be null.
  std::shared_ptr<CallTally> tally;
  /// The era of the store, by its answers; never null.
  std::shared_ptr<EraTracker> eras = std::make_shared<EraTracker>();
};

}  // namespace coltsfootvane::store

#endif  // COLTSFOOTVANE_STORE_OBJECT_STORE_H_
