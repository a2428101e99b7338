#include "soak_options.h"

#include <cstdlib>

namespace coltsfootvane::testing {

int NumberOf(const char* variable, int fallback) {
  const char* const text = std::getenv(variable);
  return text == nullptr ? fallback : std::atoi(text);
}

}  // namespace coltsfootvane::testing
