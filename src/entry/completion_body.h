#ifndef COLTSFOOTVANE_ENTRY_COMPLETION_BODY_H_
#define COLTSFOOTVANE_ENTRY_COMPLETION_BODY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"
#include "config/configuration.h"

namespace coltsfootvane {

/// The parts of a completion request body that the entry listener uses.
struct CompletionBody {
  std::string item;
  bool streamed = false;
  bool has_seed = false;
  std::int64_t seed = 0;
  std::uint64_t prefix_hash = 0;
  std::string text;  ///< The JSON body, with `priority` and `seed` set.
};

/// Parses the body of a completion request and sets `priority` and, if missing,
/// `seed`. Unknown members are kept. Errors: kInvalid, with a description.
Result<CompletionBody> ParseCompletionBody(std::string_view text,
                                           bool chat,
                                           Priority priority,
                                           std::int64_t new_seed);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_COMPLETION_BODY_H_
