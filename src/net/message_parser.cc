#include "net/message_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <utility>

namespace coltsfootvane::net {

namespace http = boost::beast::http;
using ErrorCode = boost::beast::error_code;

namespace detail {

struct ReaderState {
  RequestHead request;
  ResponseHead response;
  std::string body;
  ParseFault fault = ParseFault::kNone;
  bool head_done = false;
  bool started = false;
  bool needs_more = false;        ///< The bytes left over are part of a line.
  int lengths = 0;                ///< Content-Length fields.
  int encodings = 0;              ///< Transfer-Encoding fields.
  std::uint64_t body_bytes = 0;   ///< So far.
  std::uint64_t frame_bytes = 0;  ///< Consumed after the head, body included.
};

namespace {

/// RFC 9110, section 15. Lower numbers are no statuses, neither interim nor
/// final ones; higher ones than 599 are final.
constexpr int kMinStatus = 100;

std::string ToString(boost::beast::string_view text) {
  return std::string(text.data(), text.size());
}

/// Rejects what recipients may frame differently. Beast accepts a length that
/// is repeated and ignores transfer codings that it does not know.
void CheckFraming(ReaderState* state,
                  http::field name,
                  std::string_view value) {
  if (name == http::field::content_length && ++state->lengths > 1)
    state->fault = ParseFault::kMalformed;
  if (name != http::field::transfer_encoding)
    return;
  if (++state->encodings > 1)
    state->fault = ParseFault::kMalformed;
  else if (!EqualsIgnoringCase(value, "chunked"))
    state->fault = ParseFault::kUnsupported;
}

}  // namespace

template <bool kIsRequest>
class Reader : public http::basic_parser<kIsRequest> {
 public:
  explicit Reader(ReaderState* reader_state) : state(reader_state) {}

 private:
  using View = boost::beast::string_view;

  void on_request_impl(http::verb /*method*/,
                       View method,
                       View target,
                       int version,
                       ErrorCode& /*ec*/) override {
    this->state->request.method = ToString(method);
    this->state->request.target = ToString(target);
    this->state->request.minor_version = version % 10;
  }

  void on_response_impl(int status,
                        View reason,
                        int version,
                        ErrorCode& ec) override {
    if (status < kMinStatus) {
      this->state->fault = ParseFault::kMalformed;
      ec = http::error::bad_status;
    }
    this->state->response.status = status;
    this->state->response.reason = ToString(reason);
    this->state->response.minor_version = version % 10;
  }

  void on_field_impl(http::field name,
                     View text,
                     View value,
                     ErrorCode& ec) override {
    if (this->state->head_done)
      return;  // A trailer field.
    Field field{ToString(text), ToString(value)};
    CheckFraming(this->state, name, field.value);
    if (this->state->fault != ParseFault::kNone)
      ec = http::error::bad_field;
    Fields& fields =
        kIsRequest ? this->state->request.fields : this->state->response.fields;
    fields.push_back(std::move(field));
  }

  void on_header_impl(ErrorCode& /*ec*/) override {
    this->state->head_done = true;
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         ErrorCode& /*ec*/) override {}

  std::size_t on_body_impl(View body, ErrorCode& /*ec*/) override {
    this->state->body.append(body.data(), body.size());
    this->state->body_bytes += body.size();
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/,
                            View /*extensions*/,
                            ErrorCode& /*ec*/) override {}

  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                 View body,
                                 ErrorCode& /*ec*/) override {
    this->state->body.append(body.data(), body.size());
    this->state->body_bytes += body.size();
    return body.size();
  }

  void on_finish_impl(ErrorCode& /*ec*/) override {}

  ReaderState* state;
};

class RequestReader : public Reader<true> {
 public:
  using Reader::Reader;
};

class ResponseReader : public Reader<false> {
 public:
  using Reader::Reader;
};

namespace {

ParseFault FaultOf(const ErrorCode& ec) {
  if (ec == http::error::header_limit)
    return ParseFault::kHeaderTooLarge;
  if (ec == http::error::body_limit)
    return ParseFault::kBodyTooLarge;
  return ParseFault::kMalformed;
}

template <class ReaderType>
std::unique_ptr<ReaderType> MakeReader(ReaderState* state,
                                       const ParseLimits& limits) {
  auto reader = std::make_unique<ReaderType>(state);
  reader->eager(true);
  reader->header_limit(limits.header_bytes);
  reader->body_limit(limits.body_bytes);
  return reader;
}

/// Beast must not be given the same bytes twice, nor fewer than these after it
/// has seen a part of the last chunk. Every chunk with its line is longer.
constexpr std::size_t kMinResumedBytes = 5;
/// What may arrive for one byte of a body. A chunk of one byte takes 6; more is
/// for extensions, which nobody needs and which cost time without end.
constexpr std::uint64_t kMaxFramingFactor = 16;

template <class ReaderType>
std::size_t FeedReader(ReaderType* reader,
                       ReaderState* state,
                       std::size_t header_bytes,
                       std::string_view input) {
  if (state->needs_more && input.size() < kMinResumedBytes)
    return 0;
  state->needs_more = false;
  const bool had_head = state->head_done;
  std::size_t consumed = 0;
  while (consumed < input.size() && !reader->is_done() && !state->needs_more) {
    ErrorCode ec;
    const std::size_t used = reader->put(
        boost::asio::buffer(input.data() + consumed, input.size() - consumed),
        ec);
    consumed += used;
    state->needs_more = ec == http::error::need_more;
    if (ec && !state->needs_more) {
      if (state->fault == ParseFault::kNone)
        state->fault = FaultOf(ec);
      break;
    }
    if (used == 0)
      break;
  }
  state->started = state->started || !input.empty();
  if (had_head)
    state->frame_bytes += consumed;
  if (state->frame_bytes >
          state->body_bytes * kMaxFramingFactor + 2UL * header_bytes &&
      state->fault == ParseFault::kNone)
    state->fault = ParseFault::kBodyTooLarge;
  // What is left is part of a head, a trailer or the line before a chunk.
  if (!reader->is_done() && input.size() - consumed > header_bytes &&
      state->fault == ParseFault::kNone)
    state->fault = ParseFault::kHeaderTooLarge;
  return consumed;
}

}  // namespace
}  // namespace detail

MessageParser::MessageParser(Kind kind, const ParseLimits& limits)
    : header_bytes(limits.header_bytes),
      state(std::make_unique<detail::ReaderState>()) {
  if (kind == Kind::kRequest) {
    this->request =
        detail::MakeReader<detail::RequestReader>(this->state.get(), limits);
  } else {
    this->response =
        detail::MakeReader<detail::ResponseReader>(this->state.get(), limits);
  }
}

MessageParser::~MessageParser() = default;
MessageParser::MessageParser(MessageParser&&) noexcept = default;
MessageParser& MessageParser::operator=(MessageParser&&) noexcept = default;

std::size_t MessageParser::Feed(std::string_view input) {
  if (this->state->fault != ParseFault::kNone)
    return 0;
  return this->request
             ? detail::FeedReader(this->request.get(), this->state.get(),
                                  this->header_bytes, input)
             : detail::FeedReader(this->response.get(), this->state.get(),
                                  this->header_bytes, input);
}

void MessageParser::ExpectNoBody() {
  this->response->skip(true);
}

void MessageParser::FeedEnd() {
  ErrorCode ec;
  if (this->Done() || !this->state->head_done) {
    if (!this->Done())
      this->state->fault = ParseFault::kMalformed;
    return;
  }
  if (this->request)
    this->request->put_eof(ec);
  else
    this->response->put_eof(ec);
  if (ec)
    this->state->fault = ParseFault::kMalformed;
}

ParseFault MessageParser::Fault() const {
  return this->state->fault;
}

bool MessageParser::HeadDone() const {
  return this->state->head_done;
}

bool MessageParser::Done() const {
  return this->request ? this->request->is_done() : this->response->is_done();
}

bool MessageParser::EndsWithConnection() const {
  return this->response && this->state->head_done && this->response->need_eof();
}

bool MessageParser::Started() const {
  return this->state->started;
}

RequestHead& MessageParser::Request() {
  return this->state->request;
}

ResponseHead& MessageParser::Response() {
  return this->state->response;
}

std::optional<std::uint64_t> MessageParser::BodyLength() const {
  const auto length = this->request ? this->request->content_length()
                                    : this->response->content_length();
  if (!length)
    return std::nullopt;
  return *length;
}

std::string MessageParser::TakeBody() {
  std::string body = std::move(this->state->body);
  this->state->body.clear();
  return body;
}

}  // namespace coltsfootvane::net
