#ifndef COLTSFOOTVANE_STANDINS_PLATFORM_STANDIN_OBJECT_API_H_
#define COLTSFOOTVANE_STANDINS_PLATFORM_STANDIN_OBJECT_API_H_

#include <condition_variable>
#include <cstddef>
#include <future>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/message.h"
#include "http/server.h"
#include "objectapi/object.h"
#include "standins/platform_standin/call_counter.h"
#include "standins/platform_standin/faults.h"
#include "standins/platform_standin/object_call.h"
#include "standins/platform_standin/object_store.h"

namespace coltsfootvane::standin {

struct ObjectApiOptions {
  double writes_per_s = 300;
  double reads_per_s = 2000;
  std::chrono::seconds watch_time{10};  ///< Longest wait of one watch.
  std::size_t log_size = 1024;          ///< Changes kept of each kind.
};

/// The object API of docs/design.md, section 5, and its control API. Handles
/// calls from several threads.
class ObjectApi {
 public:
  explicit ObjectApi(const ObjectApiOptions& options);

  void Handle(const http::Request& request, http::ReplyStream& reply);

  /// Ends all waiting watches.
  void Stop();

 private:
  void HandleControl(const http::Request& request, http::ReplyStream& reply);
  http::Response SetFaults(const http::Request& request);
  /// Returns false if the call was answered already.
  bool Admit(const ObjectCall& call, http::ReplyStream& reply);
  void HandleRead(const ObjectCall& call, http::ReplyStream& reply);
  void HandleWatch(const ObjectCall& call, http::ReplyStream& reply);
  /// Sends changes until the end of the watch. Returns false if it is cut.
  bool SendChanges(const ObjectCall& call, http::ReplyStream& reply);
  void HandleWrite(const ObjectCall& call, http::ReplyStream& reply);
  Result<objectapi::Object> Apply(const ObjectCall& call);
  void ApplyLater(const ObjectCall& call, Milliseconds delay);

  ObjectApiOptions options;
  std::mutex mutex;
  ObjectStore store;
  CallCounter counter;
  Faults faults;
  bool stopping = false;
  /// Signalled after a write of the kind.
  std::map<std::string, std::condition_variable> changed;
  std::vector<std::future<void>> delayed_writes;
};

}  // namespace coltsfootvane::standin

#endif  // COLTSFOOTVANE_STANDINS_PLATFORM_STANDIN_OBJECT_API_H_
