#include "distribution/version_keeper.h"

#include <set>
#include <utility>

#include "base/digest.h"

namespace coltsfootvane {

HeadVerdict JudgeHead(const VersionKeeper& keeper,
                      std::int64_t version,
                      std::string_view digest) {
  if (version < keeper.version || version < 1)
    return HeadVerdict::kLower;
  if (version == keeper.version) {
    return digest == keeper.digest ? HeadVerdict::kInForce
                                   : HeadVerdict::kOtherDigest;
  }
  if (version == keeper.refused_version && digest == keeper.refused_digest)
    return HeadVerdict::kRefused;
  return HeadVerdict::kNewer;
}

void RecordInForce(VersionKeeper* keeper, const ConfigurationHead& head) {
  keeper->version = head.version;
  keeper->digest = head.digest;
}

void RecordRefused(VersionKeeper* keeper, const ConfigurationHead& head) {
  keeper->refused_version = head.version;
  keeper->refused_digest = head.digest;
}

PartTexts TextsOf(const Bundle& bundle) {
  PartTexts texts;
  for (const BundlePart& part : bundle.parts)
    texts[DigestHex(part.text)] = part.text;
  return texts;
}

std::vector<std::string> MissingParts(const ConfigurationHead& head,
                                      const PartTexts& texts) {
  std::set<std::string> missing;
  for (const PartReference& part : head.parts) {
    if (texts.count(part.digest) == 0)
      missing.insert(part.digest);
  }
  return {missing.begin(), missing.end()};
}

Result<Bundle> AssembleBundle(const ConfigurationHead& head,
                              const PartTexts& texts) {
  std::vector<BundlePart> parts;
  std::set<std::string> names;
  for (const PartReference& part : head.parts) {
    const auto found = texts.find(part.digest);
    if (found == texts.end())
      return Error{ErrorCode::kInvalid, "part " + part.name + " is absent"};
    if (DigestHex(found->second) != part.digest)
      return Error{ErrorCode::kInvalid,
                   "part " + part.name + " has another digest"};
    if (!names.insert(part.name).second)
      return Error{ErrorCode::kInvalid, "part " + part.name + " occurs twice"};
    parts.push_back({part.name, found->second, part.digest});
  }
  Bundle bundle = MakeBundle(std::move(parts));
  if (bundle.digest != head.digest)
    return Error{ErrorCode::kInvalid, "parts do not match the head's digest"};
  return bundle;
}

}  // namespace coltsfootvane
