#ifndef COLTSFOOTVANE_CONFIG_YAML_READER_H_
#define COLTSFOOTVANE_CONFIG_YAML_READER_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <gsl/span>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"
#include "http/message.h"

namespace coltsfootvane {

/// The file that is being read and where its faults are collected.
struct YamlSource {
  std::string file;
  Findings* findings = nullptr;
};

/// Parses `text`. Malformed YAML and a second document are findings. Returns
/// nothing if malformed, and a null node for an empty document.
std::optional<YAML::Node> LoadYaml(const YamlSource& source,
                                   std::string_view text);

Place PlaceOf(const YamlSource& source, const YAML::Node& node);

void AddFinding(Findings* findings, const Place& place, std::string message);

/// Sorts by file, line, column and message.
void SortFindings(Findings* findings);

enum class Presence { kOptional, kRequired };

/// An inclusive range.
template <class T>
struct Range {
  T least;
  T most;
};

template <class E>
struct Choice {
  std::string_view name;
  E value;
};

/// The entries of one YAML mapping. Every key must be asked for before
/// ReportUnknownKeys(). A duplicate key is a finding; its first value counts.
class MapReader {
 public:
  /// A `node` that is no mapping is a finding and reads as an empty mapping.
  MapReader(const YamlSource& source, const YAML::Node& node);

  /// Returns the value of `key`, or null. An absent required key is a finding.
  const YAML::Node* Find(std::string_view key, Presence presence);

  void ReportUnknownKeys() const;

  /// Adds a finding at `node`.
  void Report(const YAML::Node& node, std::string message) const;

  /// Returns the place of `key`, or of the mapping if the key is absent.
  Place PlaceOfKey(std::string_view key) const;

  const YamlSource& Source() const { return this->source; }
  const Place& MapPlace() const { return this->place; }

 private:
  struct Entry {
    std::string key;
    Place place;
    YAML::Node value;
    bool known = false;
  };

  void AddEntry(const YAML::Node& key, const YAML::Node& value);

  YamlSource source;
  Place place;
  bool is_map = false;
  std::vector<Entry> entries;
};

// Each function reads one value, leaves `out` as it is if the key is absent or
// faulty, and returns whether it was set.

/// Any text that is not empty.
bool ReadText(MapReader* map,
              std::string_view key,
              Presence presence,
              std::string* out);

/// A name of letters, digits, `.`, `_` and `-` that starts with a letter or
/// digit, at most 100 characters: names become parts of URLs and object names.
bool ReadName(MapReader* map,
              std::string_view key,
              Presence presence,
              std::string* out);

bool ReadNumber(MapReader* map,
                std::string_view key,
                Presence presence,
                Range<double> range,
                double* out);

bool ReadBool(MapReader* map,
              std::string_view key,
              Presence presence,
              bool* out);

/// An IPv4 number and a port, `host:port`.
bool ReadAddress(MapReader* map,
                 std::string_view key,
                 Presence presence,
                 http::Address* out);

/// Parses the address in `node`; a fault is a finding.
std::optional<http::Address> AddressOf(const MapReader& map,
                                       std::string_view key,
                                       const YAML::Node& node);

/// Calls `read` for each item of the list `key`.
void ReadList(MapReader* map,
              std::string_view key,
              const std::function<void(const YAML::Node&)>& read);

namespace detail {

std::optional<std::int64_t> ReadWholeNumber(MapReader* map,
                                            std::string_view key,
                                            Presence presence,
                                            Range<std::int64_t> range);

void ReportChoice(const MapReader& map,
                  std::string_view key,
                  const YAML::Node& node,
                  gsl::span<const std::string_view> names);

}  // namespace detail

template <class T>
bool ReadInteger(MapReader* map,
                 std::string_view key,
                 Presence presence,
                 Range<std::int64_t> range,
                 T* out) {
  const auto value = detail::ReadWholeNumber(map, key, presence, range);
  if (value)
    *out = static_cast<T>(*value);
  return value.has_value();
}

/// One of the names in `choices`.
template <class E>
bool ReadChoice(MapReader* map,
                std::string_view key,
                Presence presence,
                gsl::span<const Choice<E>> choices,
                E* out) {
  const YAML::Node* node = map->Find(key, presence);
  if (node == nullptr)
    return false;
  std::vector<std::string_view> names;
  for (const Choice<E>& choice : choices) {
    if (node->IsScalar() && node->Scalar() == choice.name) {
      *out = choice.value;
      return true;
    }
    names.push_back(choice.name);
  }
  detail::ReportChoice(*map, key, *node, names);
  return false;
}

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_CONFIG_YAML_READER_H_
