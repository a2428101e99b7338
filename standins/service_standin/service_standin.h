#ifndef COLTSFOOTVANE_STANDINS_SERVICE_STANDIN_SERVICE_STANDIN_H_
#define COLTSFOOTVANE_STANDINS_SERVICE_STANDIN_SERVICE_STANDIN_H_

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "http/server.h"

namespace coltsfootvane::standins {

/// A plain service that counts the effects of each `Idempotency-Key`, and does
/// not itself prevent a second one.
class ServiceStandin {
 public:
  explicit ServiceStandin(int work_ms) : work_ms(work_ms) {}

  void Handle(const http::Request& request, http::ReplyStream& reply);

 private:
  struct Plan {
    bool refuse = false;
    bool lose_response = false;
    int delay_ms = 0;
    bool leaving = false;
  };

  Plan TakePlan(bool effect);
  void HandleCall(const http::Request& request, http::ReplyStream& reply);
  void HandleFaults(const http::Request& request, http::ReplyStream& reply);
  nlohmann::json Stats();
  nlohmann::json Perform(const http::Request& request);

  int work_ms;
  std::mutex mutex;
  std::map<std::string, int> effects;
  std::map<std::string, int> requests;  ///< Effects per `X-Request-Id`.
  int total = 0;
  int lookups = 0;
  int lose_response = 0;
  int refuse_first = 0;
  int delay_ms = 0;
  std::size_t pad_bytes = 0;  ///< Added to each answer to a POST.
  bool leaving = false;
};

}  // namespace coltsfootvane::standins

#endif  // COLTSFOOTVANE_STANDINS_SERVICE_STANDIN_SERVICE_STANDIN_H_
