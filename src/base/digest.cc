#include "base/digest.h"

#include <xxhash.h>

#include <cstdio>
#include <random>

namespace coltsfootvane {
namespace {

std::string ToHex(std::uint64_t high, std::uint64_t low) {
  char text[33];
  std::snprintf(text, sizeof(text), "%016llx%016llx",
                static_cast<unsigned long long>(high),
                static_cast<unsigned long long>(low));
  return text;
}

}  // namespace

std::string DigestHex(std::string_view data) {
  const XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
  return ToHex(hash.high64, hash.low64);
}

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string RandomId() {
  std::random_device device;
  const auto next = [&device] {
    return (static_cast<std::uint64_t>(device()) << 32) | device();
  };
  const std::uint64_t high = next();
  return ToHex(high, next());
}

}  // namespace coltsfootvane
