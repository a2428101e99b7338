#ifndef COLTSFOOTVANE_GATEWAY_REQUEST_BODY_H_
#define COLTSFOOTVANE_GATEWAY_REQUEST_BODY_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "net/byte_account.h"
#include "net/byte_chain.h"
#include "net/tcp_stream.h"

namespace coltsfootvane::gateway {

class CallerIntake;

/// The body of one request. Its caller's connection, its exchange and the
/// connections to endpoints share it; its memory counts until the last of them
/// drops it.
class RequestBody {
 public:
  explicit RequestBody(std::shared_ptr<CallerIntake> intake);
  ~RequestBody();
  RequestBody(const RequestBody&) = delete;
  RequestBody& operator=(const RequestBody&) = delete;

  /// `length` is that of the whole body; 0 if it is unknown.
  void Append(std::string_view bytes, std::size_t length);
  /// Counts the body, whose size may reach `bytes`, as a large one.
  void Grant(std::size_t bytes);
  /// Called when the body is complete, which may be smaller than was granted.
  void Complete();

  std::size_t Size() const { return this->chain.Size(); }
  std::size_t GrantedBytes() const { return this->granted; }
  /// Returns the bytes that count among the common ones.
  std::size_t CommonBytes() const;

 private:
  friend void WriteMessage(net::TcpStream* stream,
                           std::string head,
                           const std::shared_ptr<const RequestBody>& body);

  std::shared_ptr<CallerIntake> intake;
  net::ByteChain chain;
  net::HeldBytes held_bytes;
  std::size_t granted = 0;
};

inline std::size_t SizeOf(const std::shared_ptr<const RequestBody>& body) {
  return body ? body->Size() : 0;
}

/// Writes a message; `body` may be nullptr.
void WriteMessage(net::TcpStream* stream,
                  std::string head,
                  const std::shared_ptr<const RequestBody>& body);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_REQUEST_BODY_H_
