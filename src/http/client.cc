#include "http/client.h"

#include <curl/curl.h>
#include <strings.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <memory>
#include <string>
#include <vector>

namespace coltsfootvane::http {
namespace {

/// Of an answer and the interim ones before it.
constexpr std::size_t kMaxHeaderBytes = 256UL * 1024;

constexpr Milliseconds kIdleInterval{100};

/// Bytes of the body of one answer, counted in the sum of the process.
class HeldAnswer {
 public:
  explicit HeldAnswer(std::size_t max_held_bytes) : limit(max_held_bytes) {}
  ~HeldAnswer() { Sum() -= this->bytes; }
  HeldAnswer(const HeldAnswer&) = delete;
  HeldAnswer& operator=(const HeldAnswer&) = delete;

  /// Returns whether there is room.
  bool Add(std::size_t count) {
    this->bytes += count;
    this->over_limit = (Sum() += count) > this->limit;
    return !this->over_limit;
  }
  bool IsOverLimit() const { return this->over_limit; }

 private:
  static std::atomic<std::size_t>& Sum() {
    static std::atomic<std::size_t> sum{0};
    return sum;
  }

  std::size_t limit;
  std::size_t bytes = 0;
  bool over_limit = false;
};

struct EasyDeleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
struct MultiDeleter {
  void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};
struct ListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;
using MultiHandle = std::unique_ptr<CURLM, MultiDeleter>;
using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;

/// curl_global_init() is not safe while other threads use the library.
void InitializeLibrary() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_NOTHING);
  static_cast<void>(result);
}

std::string_view Trim(std::string_view text) {
  const char* const spaces = " \t\r\n";
  const std::size_t first = text.find_first_not_of(spaces);
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(spaces) - first + 1);
}

/// One exchange on a connection of its own.
class Exchange {
 public:
  Exchange(const CallOptions& options, const StreamHandler& handler)
      : options(&options), handler(&handler) {}

  Result<int> Run(const Request& request);

 private:
  static std::size_t HandleHeader(char* data,
                                  std::size_t size,
                                  std::size_t count,
                                  void* exchange);
  static std::size_t HandleData(char* data,
                                std::size_t size,
                                std::size_t count,
                                void* exchange);
  void Prepare(const Request& request);
  void PrepareHeaders(const Request& request);
  void AddHeaderLine(std::string_view line);
  bool FinishHeader();
  bool Deliver(std::string_view data);
  Result<int> Loop();
  Result<int> Finish(CURLcode code);

  const CallOptions* options;
  const StreamHandler* handler;
  HeaderList request_headers;
  EasyHandle easy;
  MultiHandle multi;
  int status = 0;
  std::vector<Header> headers;
  std::size_t header_bytes = 0;    ///< Of interim heads as well.
  std::size_t received_bytes = 0;  ///< Of the body.
  bool cancelled = false;
  bool too_large = false;
};

std::size_t Exchange::HandleHeader(char* data,
                                   std::size_t size,
                                   std::size_t count,
                                   void* exchange) {
  auto* self = static_cast<Exchange*>(exchange);
  const std::string_view line = Trim({data, size * count});
  self->header_bytes += size * count;
  self->too_large = self->header_bytes > kMaxHeaderBytes;
  if (self->too_large)
    return 0;
  if (!line.empty()) {
    self->AddHeaderLine(line);
    return size * count;
  }
  return self->FinishHeader() ? size * count : 0;
}

std::size_t Exchange::HandleData(char* data,
                                 std::size_t size,
                                 std::size_t count,
                                 void* exchange) {
  auto* self = static_cast<Exchange*>(exchange);
  return self->Deliver({data, size * count}) ? size * count : 0;
}

void Exchange::AddHeaderLine(std::string_view line) {
  if (line.substr(0, 5) == "HTTP/") {
    this->headers.clear();
    const std::size_t space = line.find(' ');
    const std::string_view code = space == std::string_view::npos
                                      ? std::string_view()
                                      : line.substr(space + 1, 3);
    this->status = 0;
    std::from_chars(code.data(), code.data() + code.size(), this->status);
    return;
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos)
    return;
  this->headers.push_back({std::string(Trim(line.substr(0, colon))),
                           std::string(Trim(line.substr(colon + 1)))});
}

bool Exchange::FinishHeader() {
  const bool interim = this->status < 200;
  if (interim || !this->handler->on_header)
    return true;
  this->cancelled = !this->handler->on_header(this->status, this->headers);
  return !this->cancelled;
}

bool Exchange::Deliver(std::string_view data) {
  this->received_bytes += data.size();
  this->too_large = this->received_bytes > this->options->max_body_bytes;
  if (this->too_large)
    return false;
  if (this->handler->on_data && !this->handler->on_data(data))
    this->cancelled = true;
  return !this->cancelled;
}

void Exchange::PrepareHeaders(const Request& request) {
  const auto append = [this](const std::string& line) {
    curl_slist* const list =
        curl_slist_append(this->request_headers.get(), line.c_str());
    static_cast<void>(this->request_headers.release());
    this->request_headers.reset(list);
  };
  for (const Header& header : request.headers)
    append(header.name + ": " + header.value);
  append("Connection: close");
  // Without these, the library adds a content type of its own and waits for
  // "100 Continue" before a large body.
  if (FindHeader(request.headers, "Content-Type").empty())
    append("Content-Type: application/json");
  append("Expect:");
}

void Exchange::Prepare(const Request& request) {
  CURL* const handle = this->easy.get();
  std::string url = "http://" + FormatAddress(this->options->peer);
  url += request.path;
  if (!request.query.empty())
    url += "?" + request.query;
  const Milliseconds connect_time =
      TimeLeft(this->options->connect_deadline, Clock::now()) + Milliseconds{1};
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt(handle, CURLOPT_HTTP_VERSION,
                   static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(connect_time.count()));
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  if (request.method != "GET" || !request.body.empty()) {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(handle, CURLOPT_COPYPOSTFIELDS, request.body.c_str());
  }
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, this->request_headers.get());
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &Exchange::HandleHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &Exchange::HandleData);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
}

Result<int> Exchange::Loop() {
  int running = 1;
  for (;;) {
    curl_multi_perform(this->multi.get(), &running);
    if (running == 0)
      break;
    const TimePoint now = Clock::now();
    if (now >= this->options->deadline)
      return this->Finish(CURLE_OPERATION_TIMEDOUT);
    if (this->handler->on_idle && !this->handler->on_idle()) {
      this->cancelled = true;
      return this->Finish(CURLE_ABORTED_BY_CALLBACK);
    }
    const Milliseconds wait =
        std::min(kIdleInterval,
                 TimeLeft(this->options->deadline, now) + Milliseconds{1});
    curl_multi_poll(this->multi.get(), nullptr, 0,
                    static_cast<int>(wait.count()), nullptr);
  }
  int queued = 0;
  const CURLMsg* const message =
      curl_multi_info_read(this->multi.get(), &queued);
  return this->Finish(message == nullptr ? CURLE_RECV_ERROR
                                         : message->data.result);
}

Result<int> Exchange::Finish(CURLcode code) {
  if (this->cancelled)
    return Error{ErrorCode::kRefused, "cancelled"};
  if (this->too_large)
    return Error{ErrorCode::kUnknown, "response is too large"};
  if (code != CURLE_OK) {
    curl_off_t connect_time_us = 0;
    curl_easy_getinfo(this->easy.get(), CURLINFO_CONNECT_TIME_T,
                      &connect_time_us);
    return Error{
        connect_time_us == 0 ? ErrorCode::kNotSent : ErrorCode::kUnknown,
        curl_easy_strerror(code)};
  }
  const bool has_end =
      this->status == 204 ||
      !FindHeader(this->headers, "Content-Length").empty() ||
      strcasecmp(
          std::string(FindHeader(this->headers, "Transfer-Encoding")).c_str(),
          "chunked") == 0;
  // The end of the connection is then the end of the body, which looks the
  // same as a cut.
  if (!has_end)
    return Error{ErrorCode::kUnknown, "response has neither length nor chunks"};
  return this->status;
}

Result<int> Exchange::Run(const Request& request) {
  InitializeLibrary();
  this->easy.reset(curl_easy_init());
  this->multi.reset(curl_multi_init());
  if (!this->easy || !this->multi)
    return Error{ErrorCode::kNotSent, "out of memory"};
  this->PrepareHeaders(request);
  this->Prepare(request);
  curl_multi_add_handle(this->multi.get(), this->easy.get());
  Result<int> result = this->Loop();
  curl_multi_remove_handle(this->multi.get(), this->easy.get());
  return result;
}

}  // namespace

Result<int> StreamCall(const CallOptions& options,
                       const Request& request,
                       const StreamHandler& handler) {
  Exchange exchange(options, handler);
  return exchange.Run(request);
}

Result<Response> Call(const CallOptions& options,
                      const Request& request,
                      const std::function<bool()>& on_idle) {
  Response response;
  HeldAnswer held(options.max_held_bytes);
  StreamHandler handler;
  handler.on_idle = on_idle;
  handler.on_header = [&response](int status, gsl::span<const Header> headers) {
    response.status = status;
    response.headers.assign(headers.begin(), headers.end());
    return true;
  };
  handler.on_data = [&response, &held](std::string_view data) {
    if (!held.Add(data.size()))
      return false;
    response.body.append(data);
    return true;
  };
  const Result<int> result = StreamCall(options, request, handler);
  if (held.IsOverLimit())
    return Error{ErrorCode::kUnknown, "answers in progress are too large"};
  if (!result)
    return result.error();
  return response;
}

}  // namespace coltsfootvane::http
