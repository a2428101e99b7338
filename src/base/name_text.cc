#include "base/name_text.h"

#include <algorithm>
#include <charconv>

namespace coltsfootvane {
namespace {

constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
/// Beside kUnreserved, in the ID of an endpoint, as in `host:port`.
constexpr std::string_view kIdDelimiters = ":@";
/// Beside kUnreserved and `%`, in paths and queries.
constexpr std::string_view kTargetDelimiters = "!$&'()*+,;=:@/?";
constexpr std::size_t kDigits = 2;  ///< After a `%`.
constexpr int kHexadecimal = 16;
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxPrintableBytes = 80;

bool IsIn(std::string_view characters, char c) {
  return characters.find(c) != std::string_view::npos;
}

bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte < ' ' || byte == 0x7f;
}

/// Returns whether `digits` begins with two hexadecimal digits, and their byte.
bool ReadByte(std::string_view digits, char* byte) {
  if (digits.size() < kDigits)
    return false;
  unsigned value = 0;
  const char* const end = digits.data() + kDigits;
  const auto read = std::from_chars(digits.data(), end, value, kHexadecimal);
  *byte = static_cast<char>(value);
  return read.ec == std::errc() && read.ptr == end;
}

}  // namespace

std::string QueryValue(std::string_view name) {
  constexpr char kHexDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : name) {
    if (IsIn(kUnreserved, c)) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += kHexDigits[byte >> 4U];
    encoded += kHexDigits[byte & 15U];
  }
  return encoded;
}

Result<std::string> PathSegment(std::string_view name) {
  if (name.empty() || name == "." || name == "..")
    return Error{ErrorCode::kInvalid, "name cannot stand in a path"};
  return QueryValue(name);
}

Result<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    char c = text[i];
    if (c == '%') {
      if (!ReadByte(text.substr(i + 1), &c))
        return Error{ErrorCode::kInvalid, "percent sign without two digits"};
      i += kDigits;
    }
    decoded += c;
  }
  return decoded;
}

bool IsRequestTarget(std::string_view text) {
  const bool allowed = std::all_of(text.begin(), text.end(), [](char c) {
    return IsIn(kUnreserved, c) || IsIn(kTargetDelimiters, c) || c == '%';
  });
  return !text.empty() && allowed && PercentDecode(text).has_value();
}

bool IsFieldValue(std::string_view text) {
  if (text.empty())
    return true;
  return text.front() != ' ' && text.back() != ' ' &&
         std::none_of(text.begin(), text.end(), IsControl);
}

bool IsEndpointId(std::string_view name) {
  const bool allowed = std::all_of(name.begin(), name.end(), [](char c) {
    return IsIn(kUnreserved, c) || IsIn(kIdDelimiters, c);
  });
  return allowed && name.size() <= kMaxNameBytes &&
         PathSegment(name).has_value();
}

std::string Printable(std::string_view name) {
  std::string printable(name.substr(0, kMaxPrintableBytes));
  for (char& c : printable) {
    if (c <= ' ' || c > '~' || c == '"')
      c = '?';
  }
  return printable;
}

}  // namespace coltsfootvane
