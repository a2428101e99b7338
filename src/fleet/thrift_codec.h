#ifndef COLTSFOOTVANE_FLEET_THRIFT_CODEC_H_
#define COLTSFOOTVANE_FLEET_THRIFT_CODEC_H_

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/result.h"

namespace coltsfootvane::fleet::detail {

/// Longer strings or lists are rejected: Thrift allocates memory for a list
/// before it reads the elements.
struct DecodeLimits {
  int string_bytes = 0;
  int list_items = 0;
};

template <class Message>
std::string EncodeCompact(const Message& message) {
  using apache::thrift::transport::TMemoryBuffer;
  const auto buffer = std::make_shared<TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

/// Errors: kInvalid.
template <class Message>
Result<Message> DecodeCompact(const char* bytes,
                              std::size_t length,
                              const DecodeLimits& limits) {
  using apache::thrift::transport::TMemoryBuffer;
  try {
    const auto buffer = std::make_shared<TMemoryBuffer>();
    buffer->write(reinterpret_cast<const std::uint8_t*>(bytes),
                  static_cast<std::uint32_t>(length));
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(
        buffer, limits.string_bytes, limits.list_items);
    Message message;
    message.read(&protocol);
    return message;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInvalid, error.what()};
  }
}

}  // namespace coltsfootvane::fleet::detail

#endif  // COLTSFOOTVANE_FLEET_THRIFT_CODEC_H_
