#include "config/bundle.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "base/digest.h"
#include "config/check.h"
#include "config/part.h"
#include "config/sections.h"

namespace coltsfootvane {
namespace {

namespace fs = std::filesystem;

Result<std::string> ReadText(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (file && fs::file_size(path) > 0)
    text << file.rdbuf();
  if (!file || !text)
    return Error{ErrorCode::kInvalid, path.string() + " cannot be read"};
  return text.str();
}

Result<Bundle> ReadFiles(const fs::path& directory) {
  std::vector<BundlePart> parts;
  for (const fs::directory_entry& entry : fs::directory_iterator(directory)) {
    const fs::path& path = entry.path();
    // Skipping such a file without a word would drop what it declares.
    if (path.extension() == ".yml")
      return Error{ErrorCode::kInvalid,
                   path.string() + " must be renamed to end in .yaml"};
    if (path.extension() != ".yaml")
      continue;
    Result<std::string> text = ReadText(path);
    if (!text)
      return text.error();
    parts.push_back({path.filename().string(), std::move(text.value()), ""});
  }
  if (parts.empty())
    return Error{ErrorCode::kInvalid,
                 directory.string() + " holds no *.yaml file"};
  return MakeBundle(std::move(parts));
}

/// Returns false if the part cannot be stored at the platform.
bool CheckPart(const BundlePart& part, Findings* findings) {
  const Result<std::string> spec = FormatPart(part.text);
  if (!spec) {
    AddFinding(findings, Place{part.name}, spec.error().message);
    return false;
  }
  if (spec.value().size() > kMaxPartBytes) {
    AddFinding(findings, Place{part.name},
               "the file is above 1 MB; split it into several");
    return false;
  }
  return true;
}

}  // namespace

Bundle MakeBundle(std::vector<BundlePart> parts) {
  std::sort(parts.begin(), parts.end(),
            [](const BundlePart& left, const BundlePart& right) {
              return left.name < right.name;
            });
  std::string names_and_digests;
  for (BundlePart& part : parts) {
    part.digest = DigestHex(part.text);
    names_and_digests += part.name + '\n' + part.digest + '\n';
  }
  return Bundle{std::move(parts), DigestHex(names_and_digests)};
}

Result<Bundle> ReadBundle(const std::string& directory) {
  std::error_code error;
  if (!fs::is_directory(directory, error))
    return Error{ErrorCode::kNotFound, directory + " is not a directory"};
  try {
    return ReadFiles(directory);
  } catch (const fs::filesystem_error& failure) {
    return Error{ErrorCode::kInvalid, failure.what()};
  }
}

Configuration ParseConfiguration(const Bundle& bundle, Findings* findings) {
  ParsedSections sections;
  for (const BundlePart& part : bundle.parts) {
    if (!CheckPart(part, findings))
      continue;
    const YamlSource source{part.name, findings};
    const std::optional<YAML::Node> document = LoadYaml(source, part.text);
    if (document && !document->IsNull())
      ReadPartSections(source, *document, &sections);
  }
  CheckSections(sections, findings);
  SortFindings(findings);
  return std::move(sections.configuration);
}

}  // namespace coltsfootvane
