#ifndef COLTSFOOTVANE_OBJECTAPI_OBJECT_JSON_H_
#define COLTSFOOTVANE_OBJECTAPI_OBJECT_JSON_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "objectapi/object.h"

namespace coltsfootvane::objectapi {

// The JSON forms of docs/design.md, section 5. Resource versions are written as
// strings and read as strings or numbers.

/// Returns kInvalid if the spec is not JSON.
Result<std::string> FormatObject(const Object& object);

/// Errors: kInvalid.
Result<Object> ParseObject(std::string_view kind, std::string_view json);

/// Errors: kInvalid.
Result<ObjectList> ParseObjectList(std::string_view kind,
                                   std::string_view json);

/// Parses one line of a watch without its line break. Errors: kInvalid; kGone
/// for an ERROR line with code 410.
Result<Change> ParseWatchLine(std::string_view kind, std::string_view line);

/// Returns the body of a conditional delete.
std::string FormatPrecondition(std::int64_t resource_version);

}  // namespace coltsfootvane::objectapi

#endif  // COLTSFOOTVANE_OBJECTAPI_OBJECT_JSON_H_
