#ifndef COLTSFOOTVANE_ENTRY_ROUTE_H_
#define COLTSFOOTVANE_ENTRY_ROUTE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "config/configuration.h"
#include "entry/refusal.h"
#include "http/message.h"

namespace coltsfootvane {

enum class CallKind { kModelList, kCompletion, kService };

/// A caller's request after validation and routing.
struct RoutedCall {
  CallKind kind = CallKind::kModelList;
  Priority priority = Priority::kInteractive;
  std::string caller;  ///< Empty if the configuration declares no callers.
  std::string path;    ///< Percent-decoded.
  std::string item;    ///< Model, adapter or service.

  // Completions only.
  std::string body;  ///< JSON, with `priority` and `seed` set.
  bool streamed = false;
  std::int64_t resume_after = 0;  ///< Id of the last event received.
  std::int64_t seed = 0;
  std::uint64_t prefix_hash = 0;  ///< 0 for none.

  // Service calls only.
  bool is_read = false;       ///< May be retried.
  bool irreversible = false;  ///< Must run at most once.
  std::string key;            ///< `Idempotency-Key` of an irreversible call.
};

/// JSON bodies nested more deeply are refused, because serializing them
/// recurses once per level.
inline constexpr int kMaxJsonDepth = 100;
inline constexpr std::size_t kMaxKeyBytes = 255;
/// Leading bytes of the prompt that are hashed to prefer an endpoint that has
/// the prefix cached.
inline constexpr std::size_t kPrefixBytes = 256;

/// Validates and routes `request`. `new_seed` is used if the body has no seed.
std::variant<RoutedCall, Refusal> RouteRequest(
    const Configuration& configuration,
    const http::Request& request,
    std::int64_t new_seed,
    const NotSentProof& proof);

/// Returns the OpenAI model list of all models and adapters, as JSON.
std::string FormatModelList(const Configuration& configuration);

/// Returns the route with the longest prefix of `path`, or null. A prefix
/// matches whole path segments only.
const Route* FindRoute(const Configuration& configuration,
                       std::string_view path);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_ROUTE_H_
