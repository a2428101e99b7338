#ifndef COLTSFOOTVANE_ENTRY_REFUSAL_H_
#define COLTSFOOTVANE_ENTRY_REFUSAL_H_

#include <optional>
#include <string>

#include "http/message.h"

namespace coltsfootvane {

class SendTracker;

/// Proof that no byte of a request was written to an endpoint, except to those
/// that stated that they have not run it. Only a SendTracker makes one.
class NotSent {
 private:
  friend class SendTracker;
  NotSent() = default;
};

/// Follows whether a request was written to any endpoint. Used by one thread.
class SendTracker {
 public:
  /// To be called before a call to an endpoint is begun.
  void BeginCall() {
    this->sent_before = this->sent;
    this->sent = true;
  }

  /// The call that was begun last failed before its first byte, or the endpoint
  /// states that it has not run it.
  void CallNotSent() { this->sent = this->sent_before; }

  /// Returns nothing if a byte may have been written.
  std::optional<NotSent> Token() const {
    if (this->sent)
      return std::nullopt;
    return NotSent();
  }

 private:
  bool sent = false;
  bool sent_before = false;
};

/// Says to a caller that a request gets no response.
class Refusal {
 public:
  enum class Kind { kNotRun, kUnknown };

  /// `type` is a word for programs, `message` a sentence for people.
  /// `retry_after_ms` is 0 if nothing but the request itself is wrong.
  static Refusal NotRun(const NotSent& token,
                        int status,
                        std::string type,
                        std::string message,
                        int retry_after_ms);
  static Refusal Unknown(int status,
                         std::string type,
                         std::string message,
                         int retry_after_ms);

  Kind GetKind() const { return this->kind; }
  int Status() const { return this->status; }
  const std::string& Type() const { return this->type; }

  /// Returns `{"error":{"message","type","run"}}`.
  std::string Body() const;

  /// With `Retry-After` in seconds, rounded up, and `Retry-After-Ms`.
  http::Response ToResponse() const;

 private:
  Refusal(Kind kind,
          int status,
          std::string type,
          std::string message,
          int retry_after_ms);

  Kind kind;
  int status;
  std::string type;
  std::string message;
  int retry_after_ms;
};

/// Builds kNotRun if `tracker` shows that nothing was sent, else kUnknown.
Refusal RefuseBy(const SendTracker& tracker,
                 int status,
                 std::string type,
                 std::string message,
                 int retry_after_ms);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_REFUSAL_H_
