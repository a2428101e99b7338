#ifndef COLTSFOOTVANE_NET_MESSAGE_H_
#define COLTSFOOTVANE_NET_MESSAGE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootvane::net {

struct Field {
  std::string name;
  std::string value;
};
/// Header fields in the order of the message.
using Fields = std::vector<Field>;

struct RequestHead {
  std::string method;
  std::string target;     ///< Path and query.
  int minor_version = 1;  ///< Of HTTP/1.
  Fields fields;
};

struct ResponseHead {
  int status = 0;
  std::string reason;
  int minor_version = 1;  ///< Of HTTP/1.
  Fields fields;
};

/// Compares field names and tokens, which are not case-sensitive.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/// Returns the first field of that name, or nullptr.
const Field* FindField(const Fields& fields, std::string_view name);

/// Returns the value of the first field of that name, or an empty view.
std::string_view FieldValue(const Fields& fields, std::string_view name);

/// Returns whether the comma-separated value of a field has the token.
bool HasToken(const Fields& fields,
              std::string_view name,
              std::string_view token);

/// Returns whether the field concerns one connection only and is not
/// forwarded; `fields` are those of the same message.
bool IsConnectionField(const Fields& fields, std::string_view name);

/// Returns whether the sender allows another message on the connection.
bool KeepsConnection(const Fields& fields, int minor_version);

/// Returns the memory of the fields, which are many if they are short.
std::size_t FieldBytes(const Fields& fields);

/// Returns whether recipients read the head as it is meant: no text in it ends
/// a line or the target.
bool IsLegalHead(const RequestHead& head);

/// Formats the head with its final empty line.
std::string FormatHead(const RequestHead& head);
std::string FormatHead(const ResponseHead& head);

/// Returns the standard reason phrase of a status.
std::string_view ReasonOf(int status);

}  // namespace coltsfootvane::net

#endif  // COLTSFOOTVANE_NET_MESSAGE_H_
