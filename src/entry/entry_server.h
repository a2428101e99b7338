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

/// The HTTP listener for callers: routes each request and forwards it to an
/// endpoint, or refuses it.
class EntryServer {
 public:
  explicit EntryServer(EntryDependencies dependencies);
  ~EntryServer();

  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  /// Errors: kInvalid if the address cannot be bound.
  Result<bool> Start();

  /// Makes every response ask the caller to close its connection; requests are
  /// still served.
  void BeginDrain();

  /// Returns the number of requests in progress, without those refused because
  /// the listener is full.
  std::size_t InProgress() const;

  /// Stops listening. Ends each completion in progress with an error and a log
  /// event, and waits for service calls in progress.
  void Stop();

 private:
  void Handle(const http::Request& request, http::ReplyStream& reply);
  void HandleRouted(CallContext* context);
  void RunCall(CallContext* context);
  std::size_t MaxInProgress() const;

  EntryShared shared;
  std::atomic<std::size_t> in_progress{0};
  ClassAdmission::State admissions;
  std::unique_ptr<http::Server> server;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_ENTRY_SERVER_H_
