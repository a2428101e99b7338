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

namespace coltsfootvane::store {

struct Object {
  std::string name;
  std::int64_t revision = 0;  ///< Of its last change; 0 if not known.
  nlohmann::json spec;        ///< Null if it cannot be read.
  std::string fault;          ///< Why it cannot be read, else empty.
};

struct Listing {
  std::vector<Object> objects;
  std::int64_t revision = 0;  ///< Of the store; a watch goes on from here.
  std::int64_t since = 0;     ///< Of the follower's view before, 0 if none.
};

struct Change {
  Object object;
  bool deleted = false;
};

struct Changes {
  std::vector<Change> changes;
  std::int64_t revision = 0;  ///< The next watch goes on from here.
  std::int64_t since = 0;     ///< Of the follower's view before.
};

enum class Freshness {
  kLatest,  ///< Linearizable.
  kStale,   ///< May be seconds old, and costs little.
};

template <class T>
using Handler = std::function<void(Result<T>)>;

/// Asynchronous access to objects that are replaced conditionally. Errors:
/// kNotSent and kRefused if nothing was done, kConflict if the condition did
/// not hold, kNotFound, kGone if the history of a watch is gone, kUnknown if a
/// call may have been done or may still be.
struct ObjectStore {
  std::function<void(const std::string& kind, Freshness, Handler<Listing>)>
      list;
  std::function<void(const std::string& kind,
                     std::int64_t revision,
                     Milliseconds wait,
                     Freshness,
                     Handler<Changes>)>
      watch;
  std::function<void(const std::string& kind,
                     const std::string& name,
                     Freshness,
                     Handler<Object>)>
      read;
  /// Fails with kConflict if the object exists.
  std::function<void(const std::string& kind, const Object&, Handler<Object>)>
      create;
  /// Replaces the object if it still has the revision.
  std::function<void(const std::string& kind, const Object&, Handler<Object>)>
      replace;
  /// Calls that are made from now on use new connections, since those in use
  /// may be silent for good; may be empty.
  std::function<void()> renew_connections;
  /// Counts the calls by cause; may be null.
  std::shared_ptr<CallTally> tally;
};

}  // namespace coltsfootvane::store

#endif  // COLTSFOOTVANE_STORE_OBJECT_STORE_H_
