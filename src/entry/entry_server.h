#ifndef COLTSFOOTVANE_ENTRY_ENTRY_SERVER_H_
#define COLTSFOOTVANE_ENTRY_ENTRY_SERVER_H_

#include <atomic>
#include <cstddef>
#include <memory>

#include "base/result.h"
#include "entry/call_context.h"
#include "entry/class_admission.h"
#include "entry/entry_dependencies.h"
#include "http/server.h"

namespace coltsfootvane {

/// The listener for callers: routes each request and passes it through to an
/// endpoint, or refuses it at once.
class EntryServer {
 public:
  explicit EntryServer(EntryDependencies dependencies);
  ~EntryServer();

  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  /// Errors: kInvalid if the address cannot be bound.
  Result<bool> Start();

  /// From now on callers are told to close their connections; requests are
  /// still served.
  void BeginDrain();

  /// Returns the requests in progress, refusals not counted.
  std::size_t InProgress() const;

  /// Stops listening. Completions in progress are ended with an error, each
  /// named by an event; calls to services are waited for.
  void Stop();

 private:
  void Handle(const http::Request& request, http::ReplyStream& reply);
  void HandleRouted(CallContext* context);
  void RunCall(CallContext* context);
  std::size_t Limit() const;

  EntryShared shared;
  std::atomic<std::size_t> in_progress{0};
  ClassAdmission::State admissions;
  std::unique_ptr<http::Server> server;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_ENTRY_SERVER_H_
