#ifndef COLTSFOOTVANE_REVIEW_RIG_2_LINK_H_
#define COLTSFOOTVANE_REVIEW_RIG_2_LINK_H_

#include <atomic>

namespace review {

/// The link to a stand-in. While it is cut, nothing passes, not even the end of
/// a connection; what waits passes when it heals, as TCP sends it again then.
class Link {
 public:
  /// Connections to `own_port` are passed on to `port`.
  Link(int own_port, int port);
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  /// Serves in threads until the process ends.
  void Start();
  void Cut() { this->is_cut = true; }
  void Heal() { this->is_cut = false; }

 private:
  void AwaitHealing() const;
  void PassOn(int near);
  /// Passes bytes on until `from` ends. Returns whether it ended by a close.
  bool Pump(int from, int to) const;

  int own_port;
  int port;
  std::atomic<bool> is_cut{false};
};

}  // namespace review

#endif  // COLTSFOOTVANE_REVIEW_RIG_2_LINK_H_
