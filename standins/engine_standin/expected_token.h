#ifndef COLTSFOOTVANE_STANDINS_ENGINE_STANDIN_EXPECTED_TOKEN_H_
#define COLTSFOOTVANE_STANDINS_ENGINE_STANDIN_EXPECTED_TOKEN_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/digest.h"

namespace coltsfootvane::standins {

/// Returns what the text of a completion depends on: the body, which includes
/// the model and the seed, without `stream` and `priority`.
inline std::string TextKey(nlohmann::json body) {
  body.erase("stream");
  body.erase("priority");
  return body.dump();
}

inline std::string TokenOf(std::string_view text_key, std::int64_t n) {
  const std::uint64_t hash =
      Hash64(text_key, static_cast<std::uint64_t>(n)) & 0xFFFFFFU;
  return " t" + std::to_string(hash);
}

/// Returns the token that the stand-in sends as event `n`, from 1, for the
/// request body `body`.
inline std::string ExpectedToken(std::string_view body, std::int64_t n) {
  return TokenOf(TextKey(nlohmann::json::parse(body)), n);
}

}  // namespace coltsfootvane::standins

#endif  // COLTSFOOTVANE_STANDINS_ENGINE_STANDIN_EXPECTED_TOKEN_H_
