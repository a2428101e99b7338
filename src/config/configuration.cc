#include "config/configuration.h"

#include <algorithm>

namespace coltsfootvane {
namespace {

constexpr std::array<std::string_view, kPriorityCount> kPriorityNames = {
    "interactive", "lookup", "overnight"};

/// Returns the first item whose `member` equals `name`, or null.
template <class T>
const T* FindBy(const std::vector<T>& items,
                std::string T::*member,
                std::string_view name) {
  const auto found = std::find_if(
      items.begin(), items.end(),
      [member, name](const T& item) { return item.*member == name; });
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

std::string_view PriorityName(Priority priority) {
  return kPriorityNames.at(static_cast<std::size_t>(priority));
}

std::optional<Priority> ParsePriority(std::string_view name) {
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    if (kPriorityNames.at(i) == name)
      return static_cast<Priority>(i);
  }
  return std::nullopt;
}

const Model* FindModel(const Configuration& configuration,
                       std::string_view name) {
  return FindBy(configuration.models, &Model::name, name);
}

const Adapter* FindAdapter(const Configuration& configuration,
                           std::string_view name) {
  return FindBy(configuration.adapters, &Adapter::name, name);
}

const Endpoint* FindEndpoint(const Configuration& configuration,
                             std::string_view id) {
  return FindBy(configuration.endpoints, &Endpoint::id, id);
}

const DataCentre* FindDataCentre(const Configuration& configuration,
                                 std::string_view name) {
  return FindBy(configuration.data_centres, &DataCentre::name, name);
}

const PriorityClass& ClassOf(const Configuration& configuration,
                             Priority priority) {
  return configuration.classes.at(static_cast<std::size_t>(priority));
}

}  // namespace coltsfootvane
