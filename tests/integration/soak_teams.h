#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_SOAK_TEAMS_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_SOAK_TEAMS_H_

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "support/loopback_server.h"

namespace coltsfootvane::testing {

/// What a call states about its team.
struct SoakCaller {
  net::Fields fields;  ///< `Key` and `Tenant`, as sent.
  std::string team;    ///< That its key names; empty if it names none.
};

/// Returns the configuration of a soak: BooksConfig(1), a public route
/// `/public/`, a team without a quota and one with a small quota.
nlohmann::json TeamsConfig();

/// Returns the lines of the settings file that bound the quota.
std::string QuotaSettings();

/// Callers with API keys of two teams and without, and what the daemons and the
/// endpoints must do with their requests.
class SoakTeams {
 public:
  /// Returns a caller with a key of the team without a quota.
  static SoakCaller KnownCaller();
  /// Returns one of the team with a quota in about half of the cases.
  static SoakCaller AnyCaller(std::mt19937* random);

  void OnCall(const std::string& id,
              const std::string& path,
              SoakCaller caller);
  /// A request has reached an endpoint, which may refuse it.
  void OnArrival(const std::string& id, const ReceivedRequest& request);
  /// An endpoint runs the request.
  void OnRun(const std::string& id);
  /// `status` is 0 without an answer. A daemon that may lack the configuration
  /// may answer 503 in place of 401.
  void OnAnswer(const std::string& id, int status, bool may_lack_config);
  /// Returns whether the call is one of the team with a quota and got 429.
  bool IsQuotaRefusal(const std::string& id, int status) const;
  /// Checks all windows of the quota.
  void CheckQuota();

  std::function<void(const std::string& text)> on_violation;
  int quota_refusals = 0;
  int most_in_window = 0;  ///< Runs of the team with a quota.

 private:
  struct Call {
    bool is_public = false;
    SoakCaller caller;
  };

  std::map<std::string, Call> calls;  ///< By id.
  std::vector<TimePoint> runs;        ///< Of the team with a quota.
};

/// Returns whether the text has an API key of a soak in it.
bool ShowsSoakKey(const std::string& text);

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_SOAK_TEAMS_H_
