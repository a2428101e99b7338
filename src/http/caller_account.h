#ifndef COLTSFOOTVANE_HTTP_CALLER_ACCOUNT_H_
#define COLTSFOOTVANE_HTTP_CALLER_ACCOUNT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

#include "base/clock.h"
#include "intake/policy.h"

namespace coltsfootvane::http {

/// What the connections of one listener hold: headers, bodies and descriptors.
/// Applies intake::EndOrder() when a bound is reached. Used by all threads of
/// the server. Connections are known by their socket cookies.
class CallerAccount {
 public:
  /// Closes a connection; returns whether it did.
  using End = std::function<bool(int fd, std::uint64_t cookie)>;

  CallerAccount(const intake::Bounds& bounds, End end);

  /// Counts a body of `size` bytes until Release(). Ends connections that are
  /// behind if it does not fit; returns false if it still does not.
  bool Admit(int fd, std::uint64_t cookie, std::size_t size, TimePoint now);
  void RecordBytes(std::uint64_t cookie, std::size_t count, TimePoint now);
  /// Records that the request is passed to its handler, after which it is not
  /// ended. Returns false if its connection was ended before.
  bool BeginServing(int fd, std::uint64_t cookie, TimePoint now);
  /// Records that the request has been answered or rejected.
  void Release(std::uint64_t cookie, TimePoint now);

  /// Records an open connection and the bytes of its unfinished header.
  void RecordHeader(int fd,
                    std::uint64_t cookie,
                    std::size_t header_bytes,
                    TimePoint now);
  void Forget(std::uint64_t cookie);
  /// Ends connections for the common bytes and so that `excess` descriptors
  /// become free. Returns how many were ended since the last call, also for
  /// bodies.
  int Enforce(int excess, TimePoint now);

 private:
  struct Caller {
    int fd = -1;
    intake::Stage stage = intake::Stage::kIdle;
    std::size_t header_bytes = 0;
    std::size_t body_bytes = 0;
    bool is_large = false;
    bool is_ending = false;  ///< Reset; the library has not closed it yet.
    bool has_been_served = false;
    intake::Progress progress;
  };

  Caller& FindOrAdd(int fd, std::uint64_t cookie, TimePoint now);
  static std::size_t CommonBytes(const Caller& caller);
  /// Applies `change` and updates the sums.
  void Change(Caller* caller, const std::function<void(Caller*)>& change);
  /// Ends connections in the order of the policy while `is_needed`.
  void EndWhile(intake::Need need,
                TimePoint now,
                const std::function<bool()>& is_needed);
  bool AdmitLarge(std::size_t size, TimePoint now);
  bool AdmitSmall(std::size_t size, TimePoint now);

  intake::Bounds bounds;
  End end;
  std::mutex mutex;
  std::map<std::uint64_t, Caller> callers;
  // Sums over the callers that are not ending.
  std::size_t common_bytes = 0;
  std::size_t large_bytes = 0;
  int ending = 0;  ///< Callers that were reset and are still open.
  int ended = 0;   ///< Since the last Enforce().
};

}  // namespace coltsfootvane::http

#endif  // COLTSFOOTVANE_HTTP_CALLER_ACCOUNT_H_
