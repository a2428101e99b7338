#ifndef COLTSFOOTVANE_GATEWAY_CALLER_INTAKE_H_
#define COLTSFOOTVANE_GATEWAY_CALLER_INTAKE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "intake/policy.h"
#include "net/byte_account.h"
#include "net/tcp_stream.h"

namespace coltsfootvane::gateway {

class CallerConnection;
struct Gateway;

/// Keeps what all callers hold together within the bounds of the process, by
/// the rules of intake/policy.h.
class CallerIntake : public std::enable_shared_from_this<CallerIntake> {
 public:
  explicit CallerIntake(Gateway* gateway);

  /// Returns the number of the connection.
  std::uint64_t Add(CallerConnection* connection);
  void Remove(std::uint64_t number);
  /// A connection that has its last answer and closes soon.
  void AddLingering(const std::shared_ptr<net::TcpStream>& stream);

  /// Makes room for a new connection with that descriptor. Returns whether it
  /// may stay.
  bool AdmitConnection(int descriptor);
  /// Makes room for the descriptor that a new request needs towards an
  /// endpoint. Returns whether it may be sent.
  bool AdmitRequest();
  /// Decides on a large body. With kWait the connection gets OnRoom() later, or
  /// ends.
  intake::Admission AdmitBody(std::size_t bytes);
  /// Ends connections while the common bytes are used up.
  void KeepBounds();
  void ReleaseGrant(std::size_t bytes);
  /// Ends and resumes connections as time passes.
  void Tick(TimePoint now);

  net::ByteAccount* Account() const;
  std::size_t GrantedBytes() const { return this->granted; }
  std::size_t ConnectionCount() const { return this->connections.size(); }
  std::size_t WaitingCount() const;
  /// Returns how many callers still have to take bytes of their answers.
  std::size_t UnsentCount() const;
  /// Returns how many requests have begun to arrive and are not in progress.
  std::size_t ReceivingCount() const;
  /// Refuses those that are not completely received.
  void RefuseReceiving();
  /// Resets the connections of callers that still have to take bytes. Returns
  /// how many there were.
  std::size_t EndUnsent();

  intake::Bounds bounds;

 private:
  using Connections = std::vector<std::shared_ptr<CallerConnection>>;

  Connections All() const;
  Connections EndOrder(intake::Need need, TimePoint now) const;
  bool MakeDescriptorRoom();
  void ForgetClosed();
  void EndLate(TimePoint now);
  void GrantWaiting(TimePoint now);

  Gateway* gateway;
  /// By their numbers, in the order of their arrival.
  std::map<std::uint64_t, CallerConnection*> connections;
  std::uint64_t last_number = 0;
  std::deque<std::weak_ptr<net::TcpStream>> lingering;
  std::size_t granted = 0;
  /// No connection may be ended before.
  TimePoint no_bytes_until;
  TimePoint no_descriptors_until;
  bool grant_due = false;  ///< GrantWaiting() has been posted.
};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_CALLER_INTAKE_H_
