#ifndef COLTSFOOTVANE_APP_EXIT_CODES_H_
#define COLTSFOOTVANE_APP_EXIT_CODES_H_

namespace coltsfootvane {

// Exit codes of all commands; see docs/COMMANDS.md.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitConflict = 3;

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_APP_EXIT_CODES_H_
