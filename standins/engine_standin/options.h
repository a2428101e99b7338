#ifndef COLTSFOOTVANE_STANDINS_ENGINE_STANDIN_OPTIONS_H_
#define COLTSFOOTVANE_STANDINS_ENGINE_STANDIN_OPTIONS_H_

#include <cstdint>
#include <string>

namespace coltsfootvane::standins {

struct EngineOptions {
  std::string listen;
  std::string id = "engine";
  std::int64_t memory_mb = 0;
  int slots = 8;  ///< Concurrent generations.
  int load_ms = 300;
  int adapter_load_ms = 10;
  int first_token_ms = 40;
  int token_ms = 10;
  /// Generations from which the time per token rises in proportion.
  int knee = 8;
  bool checks_fencing = false;
  int tokens = 20;  ///< Length when `max_tokens` is absent.
  int load_report_lag_ms = 1000;
};

}  // namespace coltsfootvane::standins

#endif  // COLTSFOOTVANE_STANDINS_ENGINE_STANDIN_OPTIONS_H_
