#ifndef COLTSFOOTVANE_STANDINS_PLATFORM_STANDIN_OBJECT_STORE_H_
#define COLTSFOOTVANE_STANDINS_PLATFORM_STANDIN_OBJECT_STORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "base/result.h"
#include "objectapi/object.h"

namespace coltsfootvane::standin {

/// Objects in memory with one growing version and, for each kind, a bounded
/// log of changes. Not safe to use from several threads.
class ObjectStore {
 public:
  explicit ObjectStore(std::size_t log_size) : log_size(log_size) {}

  /// Errors: kNotFound.
  Result<objectapi::Object> Read(std::string_view kind,
                                 std::string_view name) const;
  objectapi::ObjectList List(std::string_view kind) const;

  /// As Read() and List(), with the first version of each object.
  Result<objectapi::Object> ReadOldest(std::string_view kind,
                                       std::string_view name) const;
  objectapi::ObjectList ListOldest(std::string_view kind) const;

  /// Errors: kConflict if the name exists.
  Result<objectapi::Object> Create(const objectapi::Object& object);

  /// Errors: kNotFound, kConflict.
  Result<objectapi::Object> Update(const objectapi::Object& object);

  /// Returns the deleted object with the version of the deletion. Errors:
  /// kNotFound, kConflict.
  Result<objectapi::Object> Delete(const objectapi::Object& object);

  /// Errors: kGone if a later change has left the log.
  Result<objectapi::ChangeBatch> ChangesAfter(std::string_view kind,
                                              std::int64_t version) const;

 private:
  struct Entry {
    objectapi::Object current;
    objectapi::Object oldest;
  };
  struct KindState {
    std::map<std::string, Entry, std::less<>> entries;
    std::deque<objectapi::Change> log;
    std::int64_t last_dropped = 0;  ///< Version of the last change dropped.
  };

  const KindState* FindKind(std::string_view kind) const;
  const Entry* FindEntry(std::string_view kind, std::string_view name) const;
  /// Returns null after it set `error` if `object` is not at its version.
  Entry* FindAtVersion(const objectapi::Object& object, Error* error);
  void AppendToLog(objectapi::ChangeType type, const objectapi::Object& object);

  std::size_t log_size;
  std::int64_t version = 0;
  std::map<std::string, KindState, std::less<>> kinds;
};

}  // namespace coltsfootvane::standin

#endif  // COLTSFOOTVANE_STANDINS_PLATFORM_STANDIN_OBJECT_STORE_H_
