#include "config/stored_configuration.h"

#include <utility>

#include "config/part.h"

namespace coltsfootvane {
namespace {

// A whole part of 1 MB takes well below this over a working network.
constexpr Milliseconds kAttemptTime{2000};
constexpr objectapi::Backoff kBackoff{Milliseconds{50}, Milliseconds{1000}};

}  // namespace

bool IsTransient(ErrorCode code) {
  return code == ErrorCode::kNotSent || code == ErrorCode::kRateLimited ||
         code == ErrorCode::kUnknown || code == ErrorCode::kTimeout;
}

bool WaitForRetry(int attempt, const Error& error, TimePoint deadline) {
  const Milliseconds delay = objectapi::BackoffDelay(
      kBackoff, attempt, objectapi::RandomFraction(), error.retry_after_ms);
  if (Clock::now() + delay >= deadline)
    return false;
  std::this_thread::sleep_for(delay);
  return true;
}

TimePoint AttemptDeadline(TimePoint deadline) {
  return std::min(deadline, Clock::now() + kAttemptTime);
}

Result<StoredHead> ReadStoredHead(const objectapi::Connection& connection,
                                  TimePoint deadline) {
  const Result<objectapi::Object> object =
      RetryUntil(deadline, [&connection](TimePoint attempt_deadline) {
        return objectapi::ReadObject(connection, objectapi::kConfigKind,
                                     objectapi::kConfigHeadName,
                                     attempt_deadline);
      });
  if (!object && object.error().code == ErrorCode::kNotFound)
    return StoredHead{};
  if (!object)
    return object.error();
  Result<ConfigurationHead> head = ParseHead(object.value().spec);
  if (!head)
    return head.error();
  return StoredHead{std::move(head).value(), object.value().resource_version,
                    object.value().spec};
}

Result<Bundle> ReadStoredBundle(const objectapi::Connection& connection,
                                const ConfigurationHead& head,
                                TimePoint deadline) {
  if (head.version == 0)
    return MakeBundle({});
  std::vector<BundlePart> parts;
  for (const PartReference& reference : head.parts) {
    const Result<objectapi::Object> object = RetryUntil(
        deadline, [&connection, &reference](TimePoint attempt_deadline) {
          return objectapi::ReadObject(connection, objectapi::kConfigPartKind,
                                       reference.digest, attempt_deadline);
        });
    if (!object)
      return object.error();
    Result<std::string> text = ParsePart(object.value().spec);
    if (!text)
      return text.error();
    parts.push_back({reference.name, std::move(text).value(), ""});
  }
  Bundle bundle = MakeBundle(std::move(parts));
  if (bundle.digest != head.digest)
    return Error{ErrorCode::kInvalid, "the parts of version " +
                                          std::to_string(head.version) +
                                          " do not match its digest"};
  return bundle;
}

}  // namespace coltsfootvane
