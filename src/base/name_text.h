#ifndef COLTSFOOTVANE_BASE_NAME_TEXT_H_
#define COLTSFOOTVANE_BASE_NAME_TEXT_H_

#include <string>
#include <string_view>

#include "base/result.h"

namespace coltsfootvane {

// Names that others have chosen, written for the place where they are to stand.
// Any bytes may be in them.

/// Returns the name as the value of a parameter in the query of a request
/// target (RFC 3986, section 2).
std::string QueryValue(std::string_view name);

/// Returns the name as one segment of the path of a request target. Errors:
/// kInvalid if it cannot be one: recipients drop `.` and `..`, and an empty one
/// names the collection.
Result<std::string> PathSegment(std::string_view name);

/// Returns what QueryValue() or PathSegment() was given. Errors: kInvalid if
/// `%` stands without two hexadecimal digits.
Result<std::string> PercentDecode(std::string_view text);

/// Returns whether every byte may stand in a request target (RFC 9112, section
/// 3.2), and each `%` has its digits.
bool IsRequestTarget(std::string_view text);

/// Returns whether the text reads the same as the value of a header field (RFC
/// 9110, section 5.5): without control bytes, and without blanks at its ends.
bool IsFieldValue(std::string_view text);

/// Returns whether a name can be the ID of an endpoint. It reads the same in a
/// path, a query, a header field, a datagram and a log line: 1 to 256
/// unreserved characters (RFC 3986, section 2.3), `:` or `@`, but neither `.`
/// nor `..`.
bool IsEndpointId(std::string_view name);

/// Returns the name as the value of a `key=value` pair in a log line: cut to 80
/// bytes, with `?` for a blank, a quote and what is not printable.
std::string Printable(std::string_view name);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_BASE_NAME_TEXT_H_
