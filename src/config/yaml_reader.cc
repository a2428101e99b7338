#include "config/yaml_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <sstream>
#include <tuple>
#include <utility>

namespace coltsfootvane {
namespace {

constexpr std::size_t kMaxNameLength = 100;
// yaml-cpp gives this tag to quoted scalars; plain ones have "?".
constexpr char kQuotedTag[] = "!";

Place PlaceOfMark(const YamlSource& source, const YAML::Mark& mark) {
  return Place{source.file, mark.line + 1, mark.column + 1};
}

std::string Quote(std::string_view key) {
  return "'" + std::string(key) + "'";
}

std::string FormatNumber(double value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool IsName(std::string_view text) {
  const bool starts_well = !text.empty() && text.front() != '.' &&
                           text.front() != '_' && text.front() != '-';
  return starts_well && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

/// Decodes an unquoted scalar; a quoted number is a text.
template <class T>
bool DecodePlain(const YAML::Node& node, T* out) {
  return node.IsScalar() && node.Tag() != kQuotedTag &&
         YAML::convert<T>::decode(node, *out);
}

}  // namespace

std::optional<YAML::Node> LoadYaml(const YamlSource& source,
                                   std::string_view text) {
  try {
    const std::vector<YAML::Node> documents = YAML::LoadAll(std::string(text));
    if (documents.empty())
      return YAML::Node();
    if (documents.size() > 1)
      AddFinding(source.findings, PlaceOf(source, documents[1]),
                 "a second YAML document in the file");
    return documents.front();
  } catch (const YAML::Exception& error) {
    AddFinding(source.findings, PlaceOfMark(source, error.mark),
               "malformed YAML: " + error.msg);
    return std::nullopt;
  }
}

Place PlaceOf(const YamlSource& source, const YAML::Node& node) {
  return PlaceOfMark(source, node.Mark());
}

void AddFinding(Findings* findings, const Place& place, std::string message) {
  findings->push_back(Finding{place, std::move(message)});
}

void SortFindings(Findings* findings) {
  std::stable_sort(findings->begin(), findings->end(),
                   [](const Finding& left, const Finding& right) {
                     return std::tie(left.place.file, left.place.line,
                                     left.place.column, left.message) <
                            std::tie(right.place.file, right.place.line,
                                     right.place.column, right.message);
                   });
}

MapReader::MapReader(const YamlSource& source, const YAML::Node& node)
    : source(source), place(PlaceOf(source, node)), is_map(node.IsMap()) {
  if (!this->is_map) {
    AddFinding(this->source.findings, this->place,
               "must be a mapping of keys to values");
    return;
  }
  for (const auto& entry : node)
    this->AddEntry(entry.first, entry.second);
}

void MapReader::AddEntry(const YAML::Node& key, const YAML::Node& value) {
  const Place key_place = PlaceOf(this->source, key);
  if (!key.IsScalar()) {
    AddFinding(this->source.findings, key_place, "a key must be a text");
    return;
  }
  const std::string& name = key.Scalar();
  const bool duplicate =
      std::any_of(this->entries.begin(), this->entries.end(),
                  [&name](const Entry& entry) { return entry.key == name; });
  if (duplicate) {
    AddFinding(this->source.findings, key_place,
               "duplicate key " + Quote(name));
    return;
  }
  this->entries.push_back(Entry{name, key_place, value});
}

const YAML::Node* MapReader::Find(std::string_view key, Presence presence) {
  for (Entry& entry : this->entries) {
    if (entry.key == key) {
      entry.known = true;
      return &entry.value;
    }
  }
  if (this->is_map && presence == Presence::kRequired)
    AddFinding(this->source.findings, this->place, "missing key " + Quote(key));
  return nullptr;
}

void MapReader::ReportUnknownKeys() const {
  for (const Entry& entry : this->entries) {
    if (!entry.known)
      AddFinding(this->source.findings, entry.place,
                 "unknown key " + Quote(entry.key));
  }
}

void MapReader::Report(const YAML::Node& node, std::string message) const {
  AddFinding(this->source.findings, PlaceOf(this->source, node),
             std::move(message));
}

Place MapReader::PlaceOfKey(std::string_view key) const {
  for (const Entry& entry : this->entries) {
    if (entry.key == key)
      return entry.place;
  }
  return this->place;
}

bool ReadText(MapReader* map,
              std::string_view key,
              Presence presence,
              std::string* out) {
  const YAML::Node* node = map->Find(key, presence);
  if (node == nullptr)
    return false;
  if (!node->IsScalar() || node->Scalar().empty()) {
    map->Report(*node, Quote(key) + " must be a text that is not empty");
    return false;
  }
  *out = node->Scalar();
  return true;
}

bool ReadName(MapReader* map,
              std::string_view key,
              Presence presence,
              std::string* out) {
  const YAML::Node* node = map->Find(key, presence);
  if (node == nullptr)
    return false;
  if (!node->IsScalar() || !IsName(node->Scalar())) {
    map->Report(*node, Quote(key) +
                           " must be a name: at most 100 letters, digits, '.', "
                           "'_' or '-', starting with a letter or digit");
    return false;
  }
  *out = node->Scalar();
  return true;
}

bool ReadNumber(MapReader* map,
                std::string_view key,
                Presence presence,
                Range<double> range,
                double* out) {
  const YAML::Node* node = map->Find(key, presence);
  if (node == nullptr)
    return false;
  double value = 0;
  // The comparison is written so that NaN is out of range.
  if (!DecodePlain(*node, &value) ||
      !(value >= range.least && value <= range.most)) {
    map->Report(*node, Quote(key) + " must be a number from " +
                           FormatNumber(range.least) + " to " +
                           FormatNumber(range.most));
    return false;
  }
  *out = value;
  return true;
}

bool ReadBool(MapReader* map,
              std::string_view key,
              Presence presence,
              bool* out) {
  const YAML::Node* node = map->Find(key, presence);
  if (node == nullptr)
    return false;
  bool value = false;
  if (!DecodePlain(*node, &value)) {
    map->Report(*node, Quote(key) + " must be true or false");
    return false;
  }
  *out = value;
  return true;
}

std::optional<http::Address> AddressOf(const MapReader& map,
                                       std::string_view key,
                                       const YAML::Node& node) {
  http::Address address;
  if (node.IsScalar())
    address = http::ParseAddress(node.Scalar());
  in_addr number{};
  if (address.port < 1 || address.port > 65535 ||
      ::inet_pton(AF_INET, address.host.c_str(), &number) != 1) {
    map.Report(node, Quote(key) + " must be IPv4:PORT, with port 1 to 65535");
    return std::nullopt;
  }
  return address;
}

bool ReadAddress(MapReader* map,
                 std::string_view key,
                 Presence presence,
                 http::Address* out) {
  const YAML::Node* node = map->Find(key, presence);
  if (node == nullptr)
    return false;
  const std::optional<http::Address> address = AddressOf(*map, key, *node);
  if (address)
    *out = *address;
  return address.has_value();
}

void ReadList(MapReader* map,
              std::string_view key,
              const std::function<void(const YAML::Node&)>& read) {
  const YAML::Node* node = map->Find(key, Presence::kOptional);
  if (node == nullptr)
    return;
  if (!node->IsSequence()) {
    map->Report(*node, Quote(key) + " must be a list");
    return;
  }
  for (const YAML::Node& item : *node)
    read(item);
}

namespace detail {

std::optional<std::int64_t> ReadWholeNumber(MapReader* map,
                                            std::string_view key,
                                            Presence presence,
                                            Range<std::int64_t> range) {
  const YAML::Node* node = map->Find(key, presence);
  if (node == nullptr)
    return std::nullopt;
  std::int64_t value = 0;
  if (!DecodePlain(*node, &value) || value < range.least ||
      value > range.most) {
    map->Report(*node, Quote(key) + " must be a whole number from " +
                           std::to_string(range.least) + " to " +
                           std::to_string(range.most));
    return std::nullopt;
  }
  return value;
}

void ReportChoice(const MapReader& map,
                  std::string_view key,
                  const YAML::Node& node,
                  gsl::span<const std::string_view> names) {
  std::string list;
  for (const std::string_view name : names)
    list += (list.empty() ? "" : ", ") + std::string(name);
  map.Report(node, Quote(key) + " must be one of " + list);
}

}  // namespace detail
}  // namespace coltsfootvane
