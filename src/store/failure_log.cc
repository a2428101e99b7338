#include "store/failure_log.h"

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "store/events.h"

namespace coltsfootvane::store {
namespace {

constexpr Milliseconds kRepeatInterval{10'000};

/// Failures in a row of one operation on one kind.
struct Failures {
  int count = 0;
  std::string reason;  ///< Of the one that was logged last.
  TimePoint logged_at;
};

class FailureLog {
 public:
  explicit FailureLog(DecisionLog* decision_log) : log(decision_log) {}

  void Record(const char* operation,
              const std::string& kind,
              const Error* error);

 private:
  DecisionLog* log;
  std::map<std::string, Failures> failures;  ///< By operation and kind.
};

bool IsAnswer(const Error& error) {
  return error.code == ErrorCode::kConflict ||
         error.code == ErrorCode::kNotFound || error.code == ErrorCode::kGone;
}

/// `error` is null for a success.
void FailureLog::Record(const char* operation,
                        const std::string& kind,
                        const Error* error) {
  const std::string key = std::string(operation) + " " + kind;
  if (error == nullptr || IsAnswer(*error)) {
    this->failures.erase(key);
    return;
  }
  Failures& failed = this->failures[key];
  ++failed.count;
  const TimePoint now = BootNow();
  if (failed.count > 1 && failed.reason == error->message &&
      now < failed.logged_at + kRepeatInterval)
    return;
  failed.reason = error->message;
  failed.logged_at = now;
  this->log->Write(kStoreCallFailed, "",
                   "operation=" + std::string(operation) + " kind=" + kind +
                       " failures=" + std::to_string(failed.count) +
                       " reason=\"" + error->message + "\"");
}

template <class T>
Handler<T> Logged(const std::shared_ptr<FailureLog>& log,
                  const char* operation,
                  const std::string& kind,
                  Handler<T> handler) {
  return
      [log, operation, kind, handler = std::move(handler)](Result<T> result) {
        log->Record(operation, kind, result ? nullptr : &result.error());
        handler(std::move(result));
      };
}

}  // namespace

ObjectStore WithFailureLog(ObjectStore inner, DecisionLog* decision_log) {
  const auto log = std::make_shared<FailureLog>(decision_log);
  ObjectStore logged = inner;
  logged.list = [log, call = std::move(inner.list)](const std::string& kind,
                                                    const ListRequest& request,
                                                    Handler<Listing> handler) {
    call(kind, request, Logged(log, "list", kind, std::move(handler)));
  };
  logged.watch = [log, call = std::move(inner.watch)](
                     const std::string& kind, const Place& place,
                     Milliseconds wait, Freshness freshness,
                     Handler<Changes> handler) {
    call(kind, place, wait, freshness,
         Logged(log, "watch", kind, std::move(handler)));
  };
  logged.read = [log, call = std::move(inner.read)](
                    const std::string& kind, const std::string& name,
                    Freshness freshness, Handler<Object> handler) {
    call(kind, name, freshness, Logged(log, "read", kind, std::move(handler)));
  };
  logged.create = [log, call = std::move(inner.create)](
                      const std::string& kind, const Object& object,
                      Handler<Object> handler) {
    call(kind, object, Logged(log, "create", kind, std::move(handler)));
  };
  logged.replace = [log, call = std::move(inner.replace)](
                       const std::string& kind, const Object& object,
                       Handler<Object> handler) {
    call(kind, object, Logged(log, "replace", kind, std::move(handler)));
  };
  return logged;
}

}  // namespace coltsfootvane::store
