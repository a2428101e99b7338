#ifndef COLTSFOOTVANE_CONFIG_SECTIONS_H_
#define COLTSFOOTVANE_CONFIG_SECTIONS_H_

#include <array>
#include <optional>

#include "config/configuration.h"
#include "config/yaml_reader.h"

namespace coltsfootvane {

/// What the parts read so far declare, with the places that checks over the
/// whole configuration report.
struct ParsedSections {
  Configuration configuration;
  /// Places of the classes that were declared.
  std::array<std::optional<Place>, kPriorityCount> class_places;
  std::optional<Place> weight_store_place;
  std::optional<Place> survival_goal_place;
};

/// Reads the top-level keys of one part and adds what it declares to
/// `sections`.
void ReadPartSections(const YamlSource& source,
                      const YAML::Node& document,
                      ParsedSections* sections);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_CONFIG_SECTIONS_H_
