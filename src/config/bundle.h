#ifndef COLTSFOOTVANE_CONFIG_BUNDLE_H_
#define COLTSFOOTVANE_CONFIG_BUNDLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"
#include "base/result.h"
#include "config/configuration.h"

namespace coltsfootvane {

/// One file of a configuration directory.
struct BundlePart {
  std::string name;  ///< File name relative to the directory.
  std::string text;
  std::string digest;  ///< DigestHex(text).
};

/// The files of a configuration directory, sorted by name.
struct Bundle {
  std::vector<BundlePart> parts;
  std::string digest;  ///< Over names and digests of all parts.
};

/// Names one part in a head.
struct PartReference {
  std::string name;
  std::string digest;
};

/// The spec of the platform object `config/head`.
struct ConfigurationHead {
  std::int64_t version = 0;
  std::string digest;
  std::vector<PartReference> parts;
  std::string changed_by;
  std::int64_t based_on = 0;
};

/// Builds a bundle from files' names and texts, in any order.
Bundle MakeBundle(std::vector<BundlePart> parts);

/// Reads all `*.yaml` files of `directory`. Errors: kInvalid, kNotFound.
Result<Bundle> ReadBundle(const std::string& directory);

/// Parses and checks a bundle. Every fault is added to `findings`: unknown or
/// duplicate key, wrong type, value out of range, reference to nothing, a
/// part above 1 MB, models that cannot fit in memory. The result is valid only
/// if none was added.
Configuration ParseConfiguration(const Bundle& bundle, Findings* findings);

/// Returns one line per added (`+`), removed (`-`) or changed (`~`) object.
std::vector<std::string> DiffConfigurations(const Configuration& from,
                                            const Configuration& to);

std::string FormatHead(const ConfigurationHead& head);
Result<ConfigurationHead> ParseHead(std::string_view json);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_CONFIG_BUNDLE_H_
