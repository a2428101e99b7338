#include "soak_teams.h"

#include <algorithm>
#include <utility>

#include "replica_site.h"

namespace coltsfootvane::testing {
namespace {

constexpr char kOpenTeam[] = "readers";
constexpr char kLimitedTeam[] = "printers";
/// All keys begin so, unknown ones too.
constexpr char kKeyPrefix[] = "soak-key-";
constexpr char kOpenKey[] = "soak-key-readers";
constexpr char kLimitedKey[] = "soak-key-printers";
constexpr char kUnknownKey[] = "soak-key-nobody";

/// The team sends about 25 requests a second, so that each of several daemons
/// would let it exceed the bound by itself if it had the whole quota.
constexpr int kRatePerS = 5;
constexpr int kBurst = 5;
constexpr int kWindowS = 4;
constexpr double kOverrun = 0.1;
constexpr int kSlack = 5;

std::string ValuesOf(const net::Fields& fields, const std::string& name) {
  std::string values;
  for (const net::Field& field : fields) {
    if (net::FindField({field}, name) != nullptr)
      values += field.value + ";";
  }
  return values;
}

}  // namespace

nlohmann::json TeamsConfig() {
  nlohmann::json config = BooksConfig(1);
  nlohmann::json route = config["routes"][0];
  route["name"] = route["pathPrefix"] = "/public/";
  route["public"] = true;
  config["routes"].push_back(route);
  config["tenants"] = {{{"name", kOpenTeam}, {"apiKeys", {kOpenKey}}},
                       {{"name", kLimitedTeam},
                        {"apiKeys", {kLimitedKey}},
                        {"unit", "request"},
                        {"ratePerS", kRatePerS},
                        {"burst", kBurst}}};
  return config;
}

std::string QuotaSettings() {
  return "bounds.quotaWindowS=" + std::to_string(kWindowS) +
         "\nbounds.quotaOverrun=" + std::to_string(kOverrun) +
         "\nbounds.quotaSlack=" + std::to_string(kSlack) + "\n";
}

SoakCaller SoakTeams::KnownCaller() {
  return {{{"Key", kOpenKey}}, kOpenTeam};
}

SoakCaller SoakTeams::AnyCaller(std::mt19937* random) {
  const SoakCaller others[] = {KnownCaller(),
                               {{{"Key", kUnknownKey}}, ""},
                               {{{"Key", kOpenKey}, {"Key", kOpenKey}}, ""},
                               {{{"Key", kOpenKey}, {"Key", kLimitedKey}}, ""},
                               {{{"Key", ""}}, ""},
                               {{}, ""}};
  SoakCaller caller{{{"Key", kLimitedKey}}, kLimitedTeam};
  if ((*random)() % 2 == 0)
    caller = others[(*random)() % std::size(others)];
  if ((*random)() % 2 == 0)
    caller.fields.push_back({"Tenant", kOpenTeam});
  if ((*random)() % 4 == 0)
    caller.fields.push_back({"Tenant", "made-up"});
  return caller;
}

void SoakTeams::OnCall(const std::string& id,
                       const std::string& path,
                       SoakCaller caller) {
  this->calls[id] = {path.find("/public/") == 0, std::move(caller)};
}

void SoakTeams::OnArrival(const std::string& id,
                          const ReceivedRequest& request) {
  const Call& call = this->calls[id];
  const std::string& team = call.caller.team;
  if (team.empty() && !call.is_public)
    this->on_violation(id + " reaches an endpoint without a known key");
  const std::string named = ValuesOf(request.head.fields, "Tenant");
  const std::string expected = team.empty() ? "" : team + ";";
  if (named != expected)
    this->on_violation(id + " of team '" + expected + "' names '" + named +
                       "' to an endpoint");
  if (!ValuesOf(request.head.fields, "Key").empty())
    this->on_violation(id + " carries a Key field to an endpoint");
  for (const net::Field& field : request.head.fields) {
    if (ShowsSoakKey(field.name + field.value))
      this->on_violation(id + " shows a key to an endpoint in " + field.name);
  }
}

void SoakTeams::OnRun(const std::string& id) {
  if (this->calls[id].caller.team == kLimitedTeam)
    this->runs.push_back(Clock::now());
}

void SoakTeams::OnAnswer(const std::string& id,
                         int status,
                         bool may_lack_config) {
  const Call& call = this->calls[id];
  const bool needs_key = call.caller.team.empty() && !call.is_public;
  if (this->IsQuotaRefusal(id, status))
    ++this->quota_refusals;
  if (needs_key ? status == 401 || (may_lack_config && status == 503)
                : status != 401)
    return;
  this->on_violation(id + " of team '" + call.caller.team + "' got " +
                     std::to_string(status));
}

bool SoakTeams::IsQuotaRefusal(const std::string& id, int status) const {
  const auto call = this->calls.find(id);
  return status == 429 && call != this->calls.end() &&
         call->second.caller.team == kLimitedTeam;
}

void SoakTeams::CheckQuota() {
  constexpr double kBound =
      (kRatePerS * kWindowS + kBurst) * (1 + kOverrun) + kSlack;
  constexpr Milliseconds kWindow{kWindowS * 1000};
  std::size_t first = 0;
  for (std::size_t last = 0; last < this->runs.size(); ++last) {
    while (this->runs[last] - this->runs[first] >= kWindow)
      ++first;
    this->most_in_window =
        std::max(this->most_in_window, static_cast<int>(last - first + 1));
  }
  if (this->most_in_window > kBound)
    this->on_violation("a window of the quota has " +
                       std::to_string(this->most_in_window) + " runs");
  if (this->quota_refusals == 0 || this->runs.empty())
    this->on_violation("the quota was not reached, or nothing ran within it");
}

bool ShowsSoakKey(const std::string& text) {
  return text.find(kKeyPrefix) != std::string::npos;
}

}  // namespace coltsfootvane::testing
