#include "idempotency/record_expiry.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace coltsfootvane {
namespace {

using nlohmann::json;

constexpr int kTicksPerRetention = 50;
constexpr Milliseconds kMinTickInterval{1000};

std::int64_t TotalSpanMs(gsl::span<const ExpiryTick> ticks) {
  std::int64_t sum = 0;
  for (const ExpiryTick& tick : ticks)
    sum += tick.span_ms;
  return sum;
}

}  // namespace

Milliseconds TickInterval(Milliseconds retention) {
  return std::max(kMinTickInterval, retention / kTicksPerRetention);
}

bool AppendTick(ExpiryTicks* ticks,
                std::int64_t version,
                Milliseconds span,
                Milliseconds retention) {
  const bool in_order = ticks->empty() || version >= ticks->back().version;
  if (!in_order)
    ticks->clear();
  ticks->push_back({version, ticks->empty() ? 0 : span.count()});
  const std::int64_t max_age_ms = retention.count() * kSendingRetentionFactor;
  std::int64_t age = TotalSpanMs(*ticks);
  std::size_t dropped = 0;
  // The age of a tick is the sum of the spans after it. The first tick can be
  // dropped if the second one is old enough.
  while (dropped + 1 < ticks->size()) {
    age -= (*ticks)[dropped].span_ms;
    if (age - (*ticks)[dropped + 1].span_ms < max_age_ms)
      break;
    ++dropped;
  }
  ticks->erase(ticks->begin(),
               ticks->begin() + static_cast<std::ptrdiff_t>(dropped));
  return in_order;
}

std::int64_t HighestVersionOfMinAge(gsl::span<const ExpiryTick> ticks,
                                    Milliseconds age) {
  std::int64_t age_ms = 0;
  for (auto tick = ticks.rbegin(); tick != ticks.rend(); ++tick) {
    if (age_ms >= age.count())
      return tick->version;
    age_ms += tick->span_ms;
  }
  return 0;
}

bool IsExpired(gsl::span<const ExpiryTick> ticks,
               RecordState state,
               std::int64_t resource_version,
               std::int64_t list_version,
               Milliseconds retention) {
  if (ticks.empty() || list_version < ticks.back().version)
    return false;
  const int factor =
      state == RecordState::kSending ? kSendingRetentionFactor : 1;
  return resource_version <= HighestVersionOfMinAge(ticks, retention * factor);
}

std::string FormatExpiryTicks(const ExpiryTicks& ticks) {
  json list = json::array();
  for (const ExpiryTick& tick : ticks)
    list.push_back({tick.version, tick.span_ms});
  return json{{"ticks", std::move(list)}}.dump();
}

Result<ExpiryTicks> ParseExpiryTicks(std::string_view text) {
  try {
    const json spec = json::parse(text);
    ExpiryTicks ticks;
    for (const json& item : spec.at("ticks")) {
      const ExpiryTick tick{item.at(0).get<std::int64_t>(),
                            item.at(1).get<std::int64_t>()};
      const bool in_order =
          ticks.empty() || tick.version >= ticks.back().version;
      if (!in_order || tick.version < 0 || tick.span_ms < 0)
        return Error{ErrorCode::kInvalid, "ticks are out of order"};
      ticks.push_back(tick);
    }
    return ticks;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInvalid, error.what()};
  }
}

}  // namespace coltsfootvane
