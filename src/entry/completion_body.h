#ifndef COLTSFOOTVANE_ENTRY_COMPLETION_BODY_H_
#define COLTSFOOTVANE_ENTRY_COMPLETION_BODY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"
#include "config/configuration.h"

namespace coltsfootvane {

/// What the entry needs to know of a completion's body.
struct CompletionBody {
  std::string item;
  bool streamed = false;
  bool has_seed = false;
  std::int64_t seed = 0;
  std::uint64_t prefix_hash = 0;
  std::string text;  ///< The body with `priority` and `seed`.
};

/// Parses and completes the body of a completion; unknown members pass through.
/// Errors: kInvalid, saying what is wrong.
Result<CompletionBody> ParseCompletionBody(std::string_view text,
                                           bool chat,
                                           Priority priority,
                                           std::int64_t new_seed);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_COMPLETION_BODY_H_
