#ifndef COLTSFOOTVANE_ENDPOINT_ENGINE_H_
#define COLTSFOOTVANE_ENDPOINT_ENGINE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "http/message.h"

namespace coltsfootvane::endpoint {

enum class ItemState { kUnavailable, kLoading, kReady, kUnloading };

/// One model or adapter in an engine's index.
struct IndexItem {
  std::string name;
  std::string version;
  ItemState state = ItemState::kUnavailable;
  std::int64_t memory_mb = 0;
  bool adapter = false;
};

struct Index {
  std::string boot_id;
  std::int64_t fencing_number = 0;  ///< Highest seen; 0 if not checked.
  bool leaving = false;
  std::vector<IndexItem> items;
};

struct Load {
  int running = 0;
  int waiting = 0;
  std::int64_t memory_used_mb = 0;
};

/// A command to load or unload one model or adapter.
struct Command {
  enum class Operation { kLoad, kUnload };
  Operation operation = Operation::kLoad;
  bool adapter = false;
  std::string item;
  std::string model;  ///< The model of an adapter.
  std::string version;
  std::int64_t memory_mb = 0;
  std::int64_t fencing_number = 0;
};

/// Sends `command` once and waits until the engine has carried it out.
/// Errors: kNotSent, kUnknown (may still take effect), kConflict (number too
/// old), kRefused (for instance, not enough memory). Ends within about 100 ms
/// with kUnknown once `cancelled`, if given, returns true.
Result<bool> SendCommand(const http::Address& engine,
                         const Command& command,
                         TimePoint deadline,
                         const std::function<bool()>& cancelled = {});

/// Reads what is loaded. A `fencing_number` above 0 raises the engine's number.
Result<Index> ReadIndex(const http::Address& engine,
                        std::int64_t fencing_number,
                        TimePoint deadline);

Result<Load> ReadLoad(const http::Address& engine, TimePoint deadline);

/// One server-sent event.
struct StreamEvent {
  std::int64_t id = 0;  ///< Offset, from 1; 0 if the event has none.
  std::string data;
};

struct CompletionRequest {
  std::string path;  ///< `/v1/chat/completions` or `/v1/completions`.
  std::string body;  ///< JSON.
  std::string request_id;
  std::int64_t resume_after = 0;  ///< Last event id received; 0 for none.
};

struct CompletionHandler {
  /// Called when the header of an answer says that the engine is leaving. May
  /// be empty.
  std::function<void()> on_leaving;
  /// Returns false to cancel the engine's work.
  std::function<bool(const StreamEvent&)> on_event;
  /// Called at least every 100 ms; returns false to cancel.
  std::function<bool()> on_idle;
};

/// Runs a streamed completion until `[DONE]`. Returns whether the engine said
/// that it is leaving. Errors: kNotSent, kUnknown (cut before `[DONE]`, or the
/// echoed request id differs), kRefused (4xx or 5xx; the message has the body),
/// kConflict if a handler cancelled.
Result<bool> StreamCompletion(const http::Address& engine,
                              const CompletionRequest& request,
                              const CompletionHandler& handler,
                              TimePoint deadline);

/// Runs a completion that is not streamed. Errors as StreamCompletion().
Result<http::Response> Complete(const http::Address& engine,
                                const CompletionRequest& request,
                                const std::function<bool()>& on_idle,
                                TimePoint deadline);

}  // namespace coltsfootvane::endpoint

#endif  // COLTSFOOTVANE_ENDPOINT_ENGINE_H_
