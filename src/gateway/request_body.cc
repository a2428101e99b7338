#include "gateway/request_body.h"

#include <utility>

#include "gateway/caller_intake.h"

namespace coltsfootvane::gateway {
namespace {

/// A smaller body goes into one packet with its head, which is cheaper than a
/// second call.
constexpr std::size_t kMaxCopiedBytes = 16UL * 1024;

}  // namespace

RequestBody::RequestBody(std::shared_ptr<CallerIntake> caller_intake)
    : intake(std::move(caller_intake)), held_bytes(this->intake->Account()) {}

RequestBody::~RequestBody() {
  if (this->granted > 0)
    this->intake->ReleaseGrant(this->granted);
}

void RequestBody::Append(std::string_view bytes, std::size_t length) {
  this->chain.Append(bytes, length);
  this->held_bytes.Set(this->CommonBytes());
}

void RequestBody::Grant(std::size_t bytes) {
  this->granted = bytes;
  this->held_bytes.Set(0);
}

void RequestBody::Complete() {
  if (this->granted <= this->chain.Capacity())
    return;
  this->intake->ReleaseGrant(this->granted - this->chain.Capacity());
  this->granted = this->chain.Capacity();
}

std::size_t RequestBody::CommonBytes() const {
  return this->granted > 0 ? 0 : this->chain.Capacity();
}

void WriteMessage(net::TcpStream* stream,
                  std::string head,
                  const std::shared_ptr<const RequestBody>& body) {
  const std::size_t size = SizeOf(body);
  if (size > 0 && size <= kMaxCopiedBytes) {
    for (std::size_t i = 0; i < body->chain.BlockCount(); ++i)
      head.append(body->chain.Block(i));
  }
  stream->Write(std::string_view(head));
  if (size > kMaxCopiedBytes)
    stream->Write(std::shared_ptr<const net::ByteChain>(body, &body->chain));
}

}  // namespace coltsfootvane::gateway
