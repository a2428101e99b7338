#ifndef COLTSFOOTVANE_NET_BYTE_ACCOUNT_H_
#define COLTSFOOTVANE_NET_BYTE_ACCOUNT_H_

#include <cstddef>
#include <limits>

namespace coltsfootvane::net {

/// Counts the bytes that the requests and answers of a process hold together,
/// so that their memory has a bound whatever their number. Used on the event
/// loop only.
struct ByteAccount {
  std::size_t held = 0;
  std::size_t limit = std::numeric_limits<std::size_t>::max();
};

inline bool IsFull(const ByteAccount& account) {
  return account.held >= account.limit;
}

/// Returns whether answers have to be slowed down, so that requests find room.
inline bool LacksRoomForAnswers(const ByteAccount& account) {
  return account.held >= account.limit - account.limit / 8;
}

/// Returns whether no room is left for what others can do without: the rest is
/// for requests.
inline bool IsHalfFull(const ByteAccount& account) {
  return account.held >= account.limit / 2;
}

/// The bytes that one owner holds. They leave the account with it.
class HeldBytes {
 public:
  /// The account must outlive this object; nullptr for none.
  explicit HeldBytes(ByteAccount* byte_account) : account(byte_account) {}
  ~HeldBytes() { this->Set(0); }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  void Set(std::size_t count) {
    if (this->account != nullptr)
      this->account->held += count - this->bytes;
    this->bytes = count;
  }

 private:
  ByteAccount* account;
  std::size_t bytes = 0;
};

}  // namespace coltsfootvane::net

#endif  // COLTSFOOTVANE_NET_BYTE_ACCOUNT_H_
