#include "net/byte_chain.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <string>

#include "net/tcp_stream.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using net::ByteChain;
using net::tcp;

namespace {

std::string Pattern(std::size_t size, std::size_t seed) {
  std::string text(size, '\0');
  for (std::size_t i = 0; i < size; ++i)
    text[i] = static_cast<char>('a' + (i * 7 + i / 251 + seed) % 26);
  return text;
}

std::string ToText(const ByteChain& chain) {
  std::string text;
  for (std::size_t i = 0; i < chain.BlockCount(); ++i)
    text.append(chain.Block(i));
  return text;
}

}  // namespace

TEST_GROUP(ByteChain){};

// Guards against memory for bytes that were announced and never came, and
// against bodies of tiny pieces that cost many times their size.
TEST(ByteChain, HoldsLittleMoreThanHasArrived) {
  struct Row {
    const char* name;
    std::size_t size;
    std::size_t piece;
    bool announced;
    std::size_t max_capacity;
  };
  constexpr std::size_t kMb = 1UL << 20;
  const Row rows[] = {
      {"first bytes of 4 MB", 100, 100, true, 64UL << 10},
      {"pieces of 16", kMb, 16, false, kMb + (64UL << 10)},
      {"one byte each", 100'000, 1, false, 200'000},
      {"small and whole", 2000, 2000, true, 2000},
      {"large and whole", 4 * kMb, 16UL << 10, true, 4 * kMb + 1024},
  };
  for (const Row& row : rows) {
    const std::string text = Pattern(row.size, 0);
    const std::size_t length =
        row.announced ? std::max(row.size, std::size_t(2000)) : 0;
    ByteChain chain;
    for (std::size_t at = 0; at < text.size(); at += row.piece)
      chain.Append(std::string_view(text).substr(at, row.piece), length);
    CHECK_TEXT(ToText(chain) == text, row.name);
    LONGS_EQUAL_TEXT(row.size, chain.Size(), row.name);
    CHECK_TEXT(chain.Capacity() <= row.max_capacity, row.name);
  }
}

// Guards against bytes that are lost, doubled or out of order when a peer takes
// them slowly, and against a copy of the chain in the stream.
TEST(ByteChain, StreamsSendSharedBytesInOrder) {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket peer(io);
  peer.connect(acceptor.local_endpoint());
  const auto stream = std::make_shared<net::TcpStream>(acceptor.accept());
  stream->Start({});
  std::string expected;
  const auto chain = std::make_shared<ByteChain>();
  chain->Append(Pattern(8UL << 20, 1));
  const std::string head = Pattern(1000, 2);
  stream->Write(std::string_view(head));
  stream->Write(std::shared_ptr<const ByteChain>(chain));
  CHECK(stream->UnsentBytes() > 1UL << 20);
  CHECK(stream->HeldBytes() < 1024);
  expected += head + ToText(*chain);
  std::string received;
  const auto receive = [&](std::size_t bytes) {
    std::string buffer(100'000, '\0');
    while (received.size() < bytes) {
      io.poll();
      if (peer.available() > 0)
        received.append(buffer.data(), peer.read_some(boost::asio::buffer(
                                           buffer.data(), buffer.size())));
    }
  };
  receive(1UL << 20);
  // Written while the chain is on its way.
  stream->Write(std::string_view(head));
  stream->Write(std::shared_ptr<const ByteChain>(chain));
  expected += head + ToText(*chain);
  receive(expected.size());
  CHECK(received == expected);
  LONGS_EQUAL(0, stream->UnsentBytes());
  LONGS_EQUAL(expected.size(), stream->SentBytes());
  stream->Close();
}
