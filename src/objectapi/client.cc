#include "objectapi/client.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

#include "base/name_text.h"
#include "http/client.h"
#include "objectapi/call_budget.h"
#include "objectapi/object_json.h"

namespace coltsfootvane::objectapi {
namespace {

/// The platform is asked to end a watch this much before the deadline, so that
/// a quiet watch ends with its last chunk and not by the deadline.
constexpr Milliseconds kWatchMargin{500};
constexpr int kMaxRetryAfterSeconds = 3600;

std::string KindPath(std::string_view kind) {
  return "/apis/coltsfootvane/v1/" + QueryValue(kind);
}

/// Errors: kInvalid if the name cannot be in a path.
Result<http::Request> ObjectRequest(const char* method,
                                    std::string_view kind,
                                    std::string_view name) {
  const Result<std::string> segment = PathSegment(name);
  if (!segment)
    return segment.error();
  http::Request request;
  request.method = method;
  request.path = KindPath(kind) + "/" + segment.value();
  return request;
}

int RetryAfterMs(gsl::span<const http::Header> headers) {
  const std::string_view text = http::FindHeader(headers, "Retry-After");
  int seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::clamp(seconds, 0, kMaxRetryAfterSeconds) * 1000;
}

/// Returns the error that `status` stands for. A 5xx is kUnknown: the platform
/// may answer so after a write took effect.
Error StatusError(int status, gsl::span<const http::Header> headers) {
  Error error;
  error.message = "platform answered " + std::to_string(status);
  error.retry_after_ms = RetryAfterMs(headers);
  if (status == 404)
    error.code = ErrorCode::kNotFound;
  else if (status == 409)
    error.code = ErrorCode::kConflict;
  else if (status == 410)
    error.code = ErrorCode::kGone;
  else if (status == 429)
    error.code = ErrorCode::kRateLimited;
  else if (status >= 400 && status < 500)
    error.code = ErrorCode::kInvalid;
  return error;
}

http::CallOptions MakeOptions(const Connection& connection,
                              TimePoint deadline) {
  http::CallOptions options;
  options.peer = connection.address;
  options.connect_deadline = deadline;
  options.deadline = deadline;
  return options;
}

/// Returns the body of a successful response.
Result<std::string> CallPlatform(const Connection& connection,
                                 const http::Request& request,
                                 TimePoint deadline) {
  const TimePoint now = Clock::now();
  if (now >= deadline)
    return Error{ErrorCode::kNotSent, "deadline has passed"};
  if (connection.budget && !connection.budget->Take(now))
    return Error{ErrorCode::kNotSent, "call budget is used up"};
  Result<http::Response> response =
      http::Call(MakeOptions(connection, deadline), request);
  if (!response)
    return std::move(response).error();
  if (response.value().status < 200 || response.value().status > 299)
    return StatusError(response.value().status, response.value().headers);
  return std::move(response).value().body;
}

Result<Object> WriteObject(const Connection& connection,
                           const http::Request& request,
                           std::string_view kind,
                           TimePoint deadline) {
  const Result<std::string> body = CallPlatform(connection, request, deadline);
  if (!body)
    return body.error();
  Result<Object> stored = ParseObject(kind, body.value());
  // The write took effect, but its new version is not known.
  if (!stored)
    return Error{ErrorCode::kUnknown, stored.error().message};
  return stored;
}

Result<ObjectList> ListWithQuery(const Connection& connection,
                                 std::string_view kind,
                                 const std::string& query,
                                 TimePoint deadline) {
  http::Request request;
  request.method = "GET";
  request.path = KindPath(kind);
  request.query = query;
  const Result<std::string> body = CallPlatform(connection, request, deadline);
  if (!body)
    return body.error();
  return ParseObjectList(kind, body.value());
}

/// Reads the lines of one watch and delivers the changes.
class WatchReader {
 public:
  WatchReader(std::string_view kind,
              std::int64_t resource_version,
              const WatchHandler& handler)
      : kind(kind), handler(&handler) {
    this->batch.resource_version = resource_version;
  }

  http::StreamHandler MakeHandler();
  Result<std::int64_t> Finish(const Result<int>& end, bool deadline_passed);

 private:
  bool HandleHeader(int status, gsl::span<const http::Header> headers);
  bool HandleData(std::string_view data);
  bool HandleLine(std::string_view line);
  bool HandleIdle();
  void Deliver();

  std::string_view kind;
  const WatchHandler* handler;
  bool was_cancelled = false;
  ChangeBatch batch;
  bool has_delivered = false;
  std::string partial_line;
  bool accepted = false;
  bool has_error = false;
  Error error;
};

http::StreamHandler WatchReader::MakeHandler() {
  http::StreamHandler handler;
  handler.on_header = [this](int status,
                             gsl::span<const http::Header> headers) {
    return this->HandleHeader(status, headers);
  };
  handler.on_data = [this](std::string_view data) {
    return this->HandleData(data);
  };
  handler.on_idle = [this] { return this->HandleIdle(); };
  return handler;
}

bool WatchReader::HandleHeader(int status,
                               gsl::span<const http::Header> headers) {
  this->accepted = status == 200;
  if (this->accepted)
    return true;
  this->has_error = true;
  this->error = StatusError(status, headers);
  return false;
}

bool WatchReader::HandleData(std::string_view data) {
  this->partial_line.append(data);
  std::size_t start = 0;
  for (;;) {
    const std::size_t end = this->partial_line.find('\n', start);
    if (end == std::string::npos)
      break;
    const std::string_view line(this->partial_line.data() + start, end - start);
    if (!this->HandleLine(line))
      return false;
    start = end + 1;
  }
  this->partial_line.erase(0, start);
  // The lines of one write of the platform belong together.
  if (this->partial_line.empty())
    this->Deliver();
  return true;
}

bool WatchReader::HandleIdle() {
  this->was_cancelled = this->handler->cancelled && this->handler->cancelled();
  return !this->was_cancelled;
}

void WatchReader::Deliver() {
  if (this->batch.changes.empty())
    return;
  this->handler->on_changes(this->batch);
  this->batch.changes.clear();
  this->has_delivered = true;
}

bool WatchReader::HandleLine(std::string_view line) {
  if (line.empty() || line == "\r")
    return true;
  Result<Change> change = ParseWatchLine(this->kind, line);
  if (!change) {
    this->has_error = true;
    this->error = change.error();
    return false;
  }
  this->batch.resource_version = std::max(
      this->batch.resource_version, change.value().object.resource_version);
  this->batch.changes.push_back(std::move(change).value());
  return true;
}

Result<std::int64_t> WatchReader::Finish(const Result<int>& end,
                                         bool deadline_passed) {
  // Complete lines are valid whatever followed them; the next watch meets the
  // error again if it lasts.
  this->Deliver();
  if (this->has_delivered)
    return this->batch.resource_version;
  if (this->has_error)
    return this->error;
  if (end || this->was_cancelled || (this->accepted && deadline_passed))
    return this->batch.resource_version;
  return end.error();
}

}  // namespace

Connection MakeConnection(const http::Address& address, double calls_per_s) {
  return {address, std::make_shared<CallBudget>(calls_per_s, Clock::now())};
}

Result<Object> ReadObject(const Connection& connection,
                          std::string_view kind,
                          std::string_view name,
                          TimePoint deadline) {
  const Result<http::Request> request = ObjectRequest("GET", kind, name);
  if (!request)
    return request.error();
  const Result<std::string> body =
      CallPlatform(connection, request.value(), deadline);
  if (!body)
    return body.error();
  return ParseObject(kind, body.value());
}

Result<Object> CreateObject(const Connection& connection,
                            const Object& object,
                            TimePoint deadline) {
  Object created = object;
  created.resource_version = 0;
  Result<std::string> text = FormatObject(created);
  if (!text)
    return text.error();
  http::Request request;
  request.method = "POST";
  request.path = KindPath(object.kind);
  request.body = std::move(text).value();
  return WriteObject(connection, request, object.kind, deadline);
}

Result<Object> UpdateObject(const Connection& connection,
                            const Object& object,
                            TimePoint deadline) {
  Result<std::string> text = FormatObject(object);
  if (!text)
    return text.error();
  Result<http::Request> request =
      ObjectRequest("PUT", object.kind, object.name);
  if (!request)
    return request.error();
  request.value().body = std::move(text).value();
  return WriteObject(connection, request.value(), object.kind, deadline);
}

Result<bool> DeleteObject(const Connection& connection,
                          const Object& object,
                          TimePoint deadline) {
  Result<http::Request> request =
      ObjectRequest("DELETE", object.kind, object.name);
  if (!request)
    return request.error();
  request.value().body = FormatPrecondition(object.resource_version);
  const Result<std::string> body =
      CallPlatform(connection, request.value(), deadline);
  if (!body)
    return body.error();
  return true;
}

Result<ObjectList> ListObjects(const Connection& connection,
                               std::string_view kind,
                               TimePoint deadline) {
  return ListWithQuery(connection, kind, "", deadline);
}

Result<ObjectList> ListObjectPage(const Connection& connection,
                                  std::string_view kind,
                                  int limit,
                                  std::string_view continue_token,
                                  TimePoint deadline) {
  std::string query = "limit=" + std::to_string(limit);
  if (!continue_token.empty())
    query += "&continue=" + QueryValue(continue_token);
  return ListWithQuery(connection, kind, query, deadline);
}

Result<std::int64_t> WatchObjects(const Connection& connection,
                                  std::string_view kind,
                                  std::int64_t resource_version,
                                  TimePoint deadline,
                                  const WatchHandler& handler) {
  const Milliseconds left = TimeLeft(deadline, Clock::now());
  if (left.count() == 0)
    return Error{ErrorCode::kNotSent, "deadline has passed"};
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
      std::max(Milliseconds{0}, left - kWatchMargin));
  http::Request request;
  request.method = "GET";
  request.path = KindPath(kind);
  request.query =
      "watch=1&resourceVersion=" + std::to_string(resource_version) +
      "&timeoutSeconds=" +
      std::to_string(std::max<std::int64_t>(1, seconds.count()));
  WatchReader reader(kind, resource_version, handler);
  const Result<int> end = http::StreamCall(MakeOptions(connection, deadline),
                                           request, reader.MakeHandler());
  return reader.Finish(end, Clock::now() >= deadline);
}

}  // namespace coltsfootvane::objectapi
