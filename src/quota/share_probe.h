#ifndef COLTSFOOTVANE_QUOTA_SHARE_PROBE_H_
#define COLTSFOOTVANE_QUOTA_SHARE_PROBE_H_

#include <cstdint>
#include <random>
#include <set>
#include <vector>

#include "base/clock.h"
#include "quota/messages.h"

namespace coltsfootvane::quota {

/// Times of the transmissions of one message, and the wait after the last.
inline constexpr Milliseconds kResendInterval{40};
inline constexpr int kMaxSends = 3;

/// Measures the share of the daemons that this one can exchange datagrams with.
/// Reports of large fleets are seconds apart, so that an owner could grant the
/// whole rate for long after a partition. An owner therefore probes: all
/// daemons when it begins to own buckets, then a few of those that replied,
/// and all again when one of these does not reply.
class ShareProbe {
 public:
  /// `known` are the daemons known within the last minute, without this one.
  void SetKnown(std::vector<Address> known);
  /// Another daemon knows so many.
  void RecordKnownCount(int daemons, TimePoint now);
  /// Lets probes go on for some time from now.
  void Use(TimePoint now);
  /// Returns whether the share was confirmed recently. Otherwise this daemon
  /// grants nothing: it may have been frozen or cut off.
  bool IsValid(TimePoint now) const;
  double Share(TimePoint now) const;
  /// Rises each time the share becomes valid.
  std::int64_t Term() const { return this->term; }
  /// Returns the daemons to which a probe is to be sent now.
  std::vector<Address> Tick(TimePoint now, std::mt19937_64* random);
  void OnReply(Address from, TimePoint now);
  /// When Tick() has something to do; TimePoint::max() if never.
  TimePoint NextTick(TimePoint now) const;

 private:
  void BeginRound(bool full, TimePoint now, std::mt19937_64* random);
  void EndRound(TimePoint now, std::mt19937_64* random);
  void Confirm(TimePoint now);
  void ConfirmEarly(TimePoint now);
  double ShareOf(std::size_t others, TimePoint now) const;

  std::vector<Address> known;
  std::set<Address> heard;    ///< In the last round of all.
  std::set<Address> replied;  ///< In the present round of all.
  std::set<Address> pending;  ///< In the round in progress.
  int known_elsewhere = 0;
  TimePoint known_elsewhere_until;
  bool in_round = false;
  bool full = false;
  int sends = 0;
  TimePoint began;
  TimePoint next_send;
  TimePoint next_round;
  TimePoint next_full_round;
  TimePoint used_until;
  TimePoint valid_until;
  std::int64_t term = 0;
};

}  // namespace coltsfootvane::quota

#endif  // COLTSFOOTVANE_QUOTA_SHARE_PROBE_H_
