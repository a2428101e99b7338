#ifndef COLTSFOOTVANE_APP_SENDER_REGISTRY_H_
#define COLTSFOOTVANE_APP_SENDER_REGISTRY_H_

#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "objectapi/client.h"

namespace coltsfootvane {

/// Tells whether the daemon process that sent a command is known to have ended.
/// Used by one thread.
class SenderRegistry {
 public:
  explicit SenderRegistry(objectapi::Connection connection);

  /// A daemon registers its incarnation before it sends a command. So an
  /// incarnation that is registered no more was replaced by a later start, and
  /// a registered one whose VM is missing in the platform's list has ended,
  /// since that list errs only late. Returns false when the platform cannot be
  /// read. Asks the platform at most twice a second.
  bool IsGone(std::string_view incarnation, TimePoint now);

 private:
  void Read();

  objectapi::Connection connection;
  TimePoint next_read;
  /// Asked about since the last read; the next read answers for all of them, so
  /// that a sender who lives cannot use up every read.
  std::set<std::string, std::less<>> asked;
  std::set<std::string, std::less<>> gone;  ///< An ended process stays so.
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_APP_SENDER_REGISTRY_H_
