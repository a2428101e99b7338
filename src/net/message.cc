#include "net/message.h"

#include <algorithm>
#include <array>

#include "base/name_text.h"

namespace coltsfootvane::net {
namespace {

constexpr std::array<std::string_view, 9> kConnectionFields = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authenticate",
    "proxy-authorization"};

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

bool ListHasToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    if (EqualsIgnoringCase(Trim(list.substr(0, comma)), token))
      return true;
    if (comma == std::string_view::npos)
      return false;
    list.remove_prefix(comma + 1);
  }
  return false;
}

void AppendFields(const Fields& fields, std::string* text) {
  for (const Field& field : fields) {
    text->append(field.name).append(": ").append(field.value).append("\r\n");
  }
  text->append("\r\n");
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

const Field* FindField(const Fields& fields, std::string_view name) {
  for (const Field& field : fields) {
    if (EqualsIgnoringCase(field.name, name))
      return &field;
  }
  return nullptr;
}

std::string_view FieldValue(const Fields& fields, std::string_view name) {
  const Field* const field = FindField(fields, name);
  return field == nullptr ? std::string_view() : std::string_view(field->value);
}

bool HasToken(const Fields& fields,
              std::string_view name,
              std::string_view token) {
  return std::any_of(fields.begin(), fields.end(), [&](const Field& field) {
    return EqualsIgnoringCase(field.name, name) &&
           ListHasToken(field.value, token);
  });
}

bool IsConnectionField(const Fields& fields, std::string_view name) {
  for (const std::string_view known : kConnectionFields) {
    if (EqualsIgnoringCase(name, known))
      return true;
  }
  return HasToken(fields, "connection", name);
}

bool KeepsConnection(const Fields& fields, int minor_version) {
  if (HasToken(fields, "connection", "close"))
    return false;
  return minor_version >= 1 || HasToken(fields, "connection", "keep-alive");
}

std::size_t FieldBytes(const Fields& fields) {
  std::size_t bytes = fields.capacity() * sizeof(Field);
  for (const Field& field : fields)
    bytes += field.name.capacity() + field.value.capacity();
  return bytes;
}

bool IsLegalHead(const RequestHead& head) {
  return IsRequestTarget(head.target) &&
         std::all_of(
             head.fields.begin(), head.fields.end(),
             [](const Field& field) { return IsFieldValue(field.value); });
}

std::string FormatHead(const RequestHead& head) {
  std::string text = head.method;
  text.append(" ").append(head.target).append(" HTTP/1.1\r\n");
  AppendFields(head.fields, &text);
  return text;
}

std::string FormatHead(const ResponseHead& head) {
  std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
  text.append(head.reason.empty() ? ReasonOf(head.status)
                                  : std::string_view(head.reason));
  text.append("\r\n");
  AppendFields(head.fields, &text);
  return text;
}

std::string_view ReasonOf(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace coltsfootvane::net
