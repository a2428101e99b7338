#include "support/store_target.h"

#include <algorithm>
#include <array>

#include "base/name_text.h"

namespace coltsfootvane::testing {
namespace {

constexpr std::string_view kPrefix = "/objects/";
constexpr std::array<std::string_view, 3> kNumbers = {"watch", "waitMs",
                                                      "serializable"};
constexpr std::string_view kAfter = "after";

Error Malformed(std::string_view what) {
  return {ErrorCode::kInvalid, std::string(what)};
}

Result<std::string> DecodeFormValue(std::string_view text) {
  std::string value(text);
  std::replace(value.begin(), value.end(), '+', ' ');
  return PercentDecode(value);
}

bool IsNumber(std::string_view text) {
  return !text.empty() &&
         text.find_first_not_of("0123456789") == std::string_view::npos;
}

Result<bool> ReadParameter(std::string_view pair, StoreTarget* target) {
  const std::size_t equals = pair.find('=');
  if (equals == std::string_view::npos)
    return Malformed("parameter without a value");
  const Result<std::string> name = DecodeFormValue(pair.substr(0, equals));
  const Result<std::string> value = DecodeFormValue(pair.substr(equals + 1));
  if (!name || !value)
    return Malformed("parameter that cannot be decoded");
  const bool is_number = std::find(kNumbers.begin(), kNumbers.end(),
                                   name.value()) != kNumbers.end();
  if (!is_number && name.value() != kAfter)
    return Malformed("unknown parameter");
  if (is_number && !IsNumber(value.value()))
    return Malformed("parameter that is no number");
  if (!target->query.emplace(name.value(), value.value()).second)
    return Malformed("parameter given twice");
  return true;
}

}  // namespace

Result<StoreTarget> ReadStoreTarget(std::string_view text) {
  if (!IsRequestTarget(text) || text.substr(0, kPrefix.size()) != kPrefix)
    return Malformed("illegal target");
  const std::size_t question = std::min(text.find('?'), text.size());
  std::string_view path = text.substr(0, question);
  path.remove_prefix(kPrefix.size());
  const std::size_t slash = std::min(path.find('/'), path.size());
  StoreTarget target;
  const Result<std::string> kind = PercentDecode(path.substr(0, slash));
  const Result<std::string> name =
      PercentDecode(path.substr(std::min(slash + 1, path.size())));
  target.kind = kind.value();
  target.name = name.value();
  if (target.kind.empty() || (slash < path.size() && target.name.empty()))
    return Malformed("no kind or name");
  std::string_view query = text.substr(std::min(question + 1, text.size()));
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const Result<bool> read = ReadParameter(query.substr(0, end), &target);
    if (!read)
      return read.error();
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return target;
}

}  // namespace coltsfootvane::testing
