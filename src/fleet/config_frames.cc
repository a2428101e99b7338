#include "fleet/config_frames.h"

#include <zlib.h>

#include <cstdint>

#include "fleet/thrift_codec.h"

namespace coltsfootvane::fleet {
namespace {

/// An item may be as long as a value of the store.
constexpr std::size_t kMaxPartBytes = 2UL * 1024 * 1024;
constexpr detail::DecodeLimits kPartLimits{static_cast<int>(kMaxPartBytes),
                                           20'000};
/// Two lengths: of the compressed message and of the message.
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeadBytes = 2 * kLengthBytes;

std::string EncodeLength(std::size_t length) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8)
    bytes += static_cast<char>(length >> shift & 0xff);
  return bytes;
}

std::size_t DecodeLength(std::string_view bytes) {
  std::size_t length = 0;
  for (const char byte : bytes.substr(0, kLengthBytes))
    length = length << 8 | static_cast<unsigned char>(byte);
  return length;
}

Error Damaged() {
  return {ErrorCode::kInvalid, "damaged part of a configuration"};
}

}  // namespace

std::string EncodeFrame(const gen::ConfigPart& part) {
  const std::string message = detail::EncodeCompact(part);
  uLongf length = compressBound(message.size());
  std::string compressed(length, '\0');
  compress2(reinterpret_cast<Bytef*>(compressed.data()), &length,
            reinterpret_cast<const Bytef*>(message.data()), message.size(),
            Z_BEST_SPEED);
  compressed.resize(length);
  return EncodeLength(length) + EncodeLength(message.size()) + compressed;
}

Result<std::string_view> TakeFrame(std::string_view* bytes) {
  if (bytes->size() < kHeadBytes)
    return Damaged();
  const std::size_t length = kHeadBytes + DecodeLength(*bytes);
  if (bytes->size() < length)
    return Damaged();
  const std::string_view frame = bytes->substr(0, length);
  bytes->remove_prefix(length);
  return frame;
}

Result<gen::ConfigPart> DecodeFrame(std::string_view frame) {
  if (frame.size() < kHeadBytes)
    return Damaged();
  const std::size_t length = DecodeLength(frame.substr(kLengthBytes));
  if (length > kMaxPartBytes)
    return Damaged();
  const std::string_view compressed = frame.substr(kHeadBytes);
  std::string message(length, '\0');
  uLongf written = message.size();
  const int status = uncompress(
      reinterpret_cast<Bytef*>(message.data()), &written,
      reinterpret_cast<const Bytef*>(compressed.data()), compressed.size());
  if (status != Z_OK || written != message.size())
    return Damaged();
  return detail::DecodeCompact<gen::ConfigPart>(message.data(), message.size(),
                                                kPartLimits);
}

store::Place PlaceOf(const gen::ConfigPart& part) {
  return store::Place(part.revision, part.era);
}

store::Place BaseOf(const gen::ConfigPart& part) {
  if (!part.__isset.base_revision)
    return {};
  return store::Place(part.base_revision,
                      part.__isset.base_era ? part.base_era : part.era);
}

void SetPlaces(const store::Place& place,
               const store::Place& base,
               gen::ConfigPart* part) {
  part->revision = place.revision;
  if (place.era != 0)
    part->__set_era(place.era);
  if (!base.IsKnown())
    return;
  part->__set_base_revision(base.revision);
  if (base.era != place.era)
    part->__set_base_era(base.era);
}

}  // namespace coltsfootvane::fleet
