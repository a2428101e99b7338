#ifndef COLTSFOOTVANE_NET_MESSAGE_PARSER_H_
#define COLTSFOOTVANE_NET_MESSAGE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/message.h"

namespace coltsfootvane::net {

enum class ParseFault {
  kNone,
  kMalformed,  ///< Not a message of HTTP/1, or with ambiguous framing.
  kHeaderTooLarge,
  kBodyTooLarge,
  kUnsupported,  ///< A transfer coding other than `chunked`.
};

struct ParseLimits {
  /// Of the head. Also of what stands unparsed elsewhere: the line before a
  /// chunk, or the trailer.
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
};

namespace detail {
class RequestReader;
class ResponseReader;
struct ReaderState;
}  // namespace detail

/// Parses one HTTP/1 message from consecutive input. What follows the message
/// is left to the caller.
class MessageParser {
 public:
  enum class Kind { kRequest, kResponse };

  MessageParser(Kind kind, const ParseLimits& limits);
  ~MessageParser();
  MessageParser(MessageParser&&) noexcept;
  MessageParser& operator=(MessageParser&&) noexcept;

  /// Consumes a prefix of `input`, which starts with what was left of the last
  /// call, and returns its length. Stops at the end of the message.
  std::size_t Feed(std::string_view input);

  /// The message has no body whatever its fields say: the answer to HEAD.
  void ExpectNoBody();

  /// The connection has ended. Completes a body without a length.
  void FeedEnd();

  ParseFault Fault() const;
  bool HeadDone() const;
  bool Done() const;
  /// The body ends with the connection.
  bool EndsWithConnection() const;
  /// Bytes of the message have been consumed.
  bool Started() const;

  RequestHead& Request();
  ResponseHead& Response();
  /// Returns the length that the head states, if it does. Only valid once the
  /// head is done.
  std::optional<std::uint64_t> BodyLength() const;
  /// Returns the body bytes since the last call.
  std::string TakeBody();

 private:
  std::uint32_t header_bytes;
  std::unique_ptr<detail::ReaderState> state;
  std::unique_ptr<detail::RequestReader> request;
  std::unique_ptr<detail::ResponseReader> response;
};

}  // namespace coltsfootvane::net

#endif  // COLTSFOOTVANE_NET_MESSAGE_PARSER_H_
