#ifndef COLTSFOOTVANE_BASE_DIGEST_H_
#define COLTSFOOTVANE_BASE_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfootvane {

/// Returns the 128-bit XXH3 hash of `data` as 32 hexadecimal digits.
std::string DigestHex(std::string_view data);

/// Returns the 64-bit XXH3 hash of `data` mixed with `seed`.
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

/// Returns 32 random hexadecimal digits from the system's random source.
std::string RandomId();

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_BASE_DIGEST_H_
