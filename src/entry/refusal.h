#ifndef COLTSFOOTVANE_ENTRY_REFUSAL_H_
#define COLTSFOOTVANE_ENTRY_REFUSAL_H_

#include <optional>
#include <string>

#include "http/message.h"

namespace coltsfootvane {

class SendTracker;

/// Proof that no byte of a request was written to an endpoint, except to those
/// that reported that they have not run it. Only SendTracker can create one.
class NotSentProof {
 private:
  friend class SendTracker;
  NotSentProof() = default;
};

/// Tracks whether a request may have been written to any endpoint. Not
/// thread-safe.
class SendTracker {
 public:
  /// Must be called before each call to an endpoint.
  void BeginCall() {
    this->sent_before = this->sent;
    this->sent = true;
  }

  /// Records that the last call failed before its first byte was written, or
  /// that the endpoint reported that it has not run it.
  void MarkCallNotSent() { this->sent = this->sent_before; }

  /// Returns nothing if a byte may have been written.
  std::optional<NotSentProof> Proof() const {
    if (this->sent)
      return std::nullopt;
    return NotSentProof();
  }

 private:
  bool sent = false;
  bool sent_before = false;
};

/// Error response that a caller gets in place of an endpoint's response.
class Refusal {
 public:
  enum class Kind { kNotRun, kUnknown };

  /// `type` is machine-readable, `message` human-readable. `retry_after_ms` is
  /// 0 if only the request itself is wrong, so that a retry cannot succeed.
  static Refusal NotRun(const NotSentProof& proof,
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

  /// Returns `{"error":{"message","type","run"}}`, where `run` is "no" for
  /// kNotRun and "unknown" for kUnknown.
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

/// Builds kNotRun if `tracker` proves that nothing was sent, else kUnknown.
Refusal MakeRefusal(const SendTracker& tracker,
                    int status,
                    std::string type,
                    std::string message,
                    int retry_after_ms);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_REFUSAL_H_
