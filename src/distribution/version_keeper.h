#ifndef COLTSFOOTVANE_DISTRIBUTION_VERSION_KEEPER_H_
#define COLTSFOOTVANE_DISTRIBUTION_VERSION_KEEPER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "config/bundle.h"

namespace coltsfootvane {

/// The version in force and the newest one that could not be parsed.
struct VersionKeeper {
  std::int64_t version = 0;  ///< 0 before the first.
  std::string digest;
  std::int64_t refused_version = 0;
  std::string refused_digest;
};

enum class HeadVerdict {
  kNewer,        ///< To be fetched and taken into force.
  kInForce,      ///< In force already.
  kLower,        ///< Below the version in force; never taken.
  kOtherDigest,  ///< The version in force with another digest; never taken.
  kRefused,      ///< Fetched before and not parsed.
};

HeadVerdict JudgeHead(const VersionKeeper& keeper,
                      std::int64_t version,
                      std::string_view digest);

/// Records that `head`, judged as kNewer, is in force.
void RecordInForce(VersionKeeper* keeper, const ConfigurationHead& head);

/// Records that `head` could not be parsed, so that it is not fetched again.
void RecordRefused(VersionKeeper* keeper, const ConfigurationHead& head);

/// Texts of parts by digest.
using PartTexts = std::map<std::string, std::string, std::less<>>;

/// Returns the texts of `bundle` under digests computed from them.
PartTexts TextsOf(const Bundle& bundle);

/// Returns the digests of `head` without a text, each once.
std::vector<std::string> MissingParts(const ConfigurationHead& head,
                                      const PartTexts& texts);

/// Returns the bundle that `head` names. Errors: kInvalid if a part is absent,
/// a name occurs twice, or a digest does not match.
Result<Bundle> AssembleBundle(const ConfigurationHead& head,
                              const PartTexts& texts);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_DISTRIBUTION_VERSION_KEEPER_H_
