#ifndef COLTSFOOTVANE_TESTS_SUPPORT_STORE_TARGET_H_
#define COLTSFOOTVANE_TESTS_SUPPORT_STORE_TARGET_H_

#include <map>
#include <string>
#include <string_view>

#include "base/result.h"

namespace coltsfootvane::testing {

/// What a call to the store asks for, decoded.
struct StoreTarget {
  std::string kind;
  std::string name;
  std::map<std::string, std::string> query;
};

/// Reads `/objects/KIND[/NAME][?a=b&c=d]` as strictly as a real server does:
/// the query as a form, in which `+` is a blank. Errors: kInvalid for a target
/// that is not legal, a parameter that the store does not know or that is given
/// twice, and a value that is no number where one is due.
Result<StoreTarget> ReadStoreTarget(std::string_view text);

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_SUPPORT_STORE_TARGET_H_
