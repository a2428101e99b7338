#include "net/byte_chain.h"

#include <algorithm>
#include <cstring>

namespace coltsfootvane::net {
namespace {

constexpr std::size_t kMinBlockBytes = 1024;

}  // namespace

void ByteChain::Append(std::string_view bytes, std::size_t length) {
  while (!bytes.empty()) {
    if (this->blocks.empty() ||
        this->blocks.back().used == this->blocks.back().capacity) {
      // Without a length, blocks grow with what has arrived.
      const std::size_t to_come =
          length > this->size ? length - this->size : this->size;
      const std::size_t wanted = std::max(bytes.size(), to_come);
      Allocation block;
      block.capacity =
          std::max(kMinBlockBytes, std::min(wanted, kMaxBlockBytes));
      // Not make_unique(), which would write the whole block.
      block.bytes.reset(new char[block.capacity]);
      this->capacity += block.capacity;
      this->blocks.push_back(std::move(block));
    }
    Allocation& last = this->blocks.back();
    const std::size_t count = std::min(bytes.size(), last.capacity - last.used);
    std::memcpy(last.bytes.get() + last.used, bytes.data(), count);
    last.used += count;
    this->size += count;
    bytes.remove_prefix(count);
  }
}

std::string_view ByteChain::Block(std::size_t index) const {
  const Allocation& block = this->blocks[index];
  return {block.bytes.get(), block.used};
}

}  // namespace coltsfootvane::net
