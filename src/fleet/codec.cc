#include "fleet/codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace coltsfootvane::fleet {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

/// Longer strings or lists are rejected: no valid datagram has them, and Thrift
/// allocates memory for a list before it reads the elements.
constexpr int kMaxStringBytes = 1400;
constexpr int kMaxListItems = 512;
constexpr int kMaxSnapshotItems = 20'000;

Result<gen::Datagram> DecodeUpTo(std::string_view bytes, int max_items) {
  try {
    // The const_cast is safe, since the buffer is only read.
    const auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())),
        static_cast<std::uint32_t>(bytes.size()));
    TCompactProtocolT<TMemoryBuffer> protocol(buffer, kMaxStringBytes,
                                              max_items);
    gen::Datagram datagram;
    datagram.read(&protocol);
    return datagram;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInvalid, error.what()};
  }
}

}  // namespace

std::string Encode(const gen::Datagram& datagram) {
  const auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  datagram.write(&protocol);
  return buffer->getBufferAsString();
}

Result<gen::Datagram> Decode(std::string_view bytes) {
  return DecodeUpTo(bytes, kMaxListItems);
}

Result<gen::Datagram> DecodeSnapshot(std::string_view bytes) {
  return DecodeUpTo(bytes, kMaxSnapshotItems);
}

}  // namespace coltsfootvane::fleet
