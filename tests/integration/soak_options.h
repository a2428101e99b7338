#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_SOAK_OPTIONS_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_SOAK_OPTIONS_H_

namespace coltsfootvane::testing {

/// Returns the number in an environment variable, by which soaks are run with
/// other seeds by hand, or `fallback` if it is not set.
int NumberOf(const char* variable, int fallback);

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_SOAK_OPTIONS_H_
