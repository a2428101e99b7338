#ifndef COLTSFOOTVANE_NET_BYTE_CHAIN_H_
#define COLTSFOOTVANE_NET_BYTE_CHAIN_H_

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace coltsfootvane::net {

/// Bytes in blocks. It grows without copying what it has and without
/// allocating for bytes that have not arrived, unlike a string, which holds up
/// to three times its length while it grows.
class ByteChain {
 public:
  /// A block fits into 16 pages with what the allocator adds.
  static constexpr std::size_t kMaxBlockBytes = 64UL * 1024 - 64;

  /// Appends bytes. `length` is that of the whole chain at its end; 0 if it is
  /// unknown.
  void Append(std::string_view bytes, std::size_t length = 0);

  std::size_t Size() const { return this->size; }
  bool IsEmpty() const { return this->size == 0; }
  /// Returns the bytes that are allocated.
  std::size_t Capacity() const { return this->capacity; }
  std::size_t BlockCount() const { return this->blocks.size(); }
  std::string_view Block(std::size_t index) const;

 private:
  struct Allocation {
    std::unique_ptr<char[]> bytes;
    std::size_t used = 0;
    std::size_t capacity = 0;
  };

  std::vector<Allocation> blocks;
  std::size_t size = 0;
  std::size_t capacity = 0;
};

}  // namespace coltsfootvane::net

#endif  // COLTSFOOTVANE_NET_BYTE_CHAIN_H_
