#include "peer/codec.h"

#include <cstdio>
#include <cstdlib>
#include <limits>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::peer {
namespace {

const TimePoint kNow{std::chrono::hours{1}};

PeerMessage FullMessage() {
  PeerMessage message;
  message.sender = "d1";
  message.incarnation = 3;
  message.membership.emplace();
  message.membership->kind = membership::MessageKind::kPingRequest;
  message.membership->sequence = 9;
  message.membership->target = {"10.0.0.9", 7000};
  message.membership->sender.id = "d1";
  message.membership->sender.address = {"10.0.0.1", 7000};
  message.membership->sender.version = 12;
  message.membership->updates = {message.membership->sender};
  message.membership->leaving = {{"e4", kNow + Milliseconds{1500}}};
  message.membership->buckets = std::string("\0\xff", 2);
  SlotRequest request;
  request.request_id = "r1";
  request.item = "m";
  request.priority = Priority::kOvernight;
  request.prefix_hash = ~std::uint64_t{0};
  request.deadline = kNow + Milliseconds{2500};
  request.excluded = {"e1", "e2"};
  message.slot_request = dispatch::SlotRequestMessage{"a/0", request};
  message.reply = dispatch::SlotReplyMessage{
      "a/0", "r1", false, {SlotVerdict::kGranted, "e3", 1ULL << 62, 5}, 80};
  message.slot_release.emplace();
  message.slot_release->pool = "a/0";
  message.slot_release->grant_id = 4;
  message.slot_release->outcome.time_per_token = Microseconds{54000};
  message.held_slots = dispatch::HeldSlotsMessage{
      "a/0",
      5,
      0,
      1,
      {{7, "r2", "e1", "m", "c", Priority::kLookup, Milliseconds{30}}}};
  message.preemption = dispatch::PreemptionMessage{"r2", 7};
  message.demand = {{"m", {1, 2, 3}}};
  return message;
}

std::uint64_t Seed() {
  const char* given = std::getenv("TEST_SEED");
  const std::uint64_t seed =
      given != nullptr ? std::strtoull(given, nullptr, 10) : 20261204;
  std::printf("seed=%llu ", static_cast<unsigned long long>(seed));
  return seed;
}

}  // namespace

TEST_GROUP(Codec){};

// Guards against message fields that are lost or altered by encoding and
// decoding.
TEST(Codec, RoundTripsEveryMessage) {
  const TimePoint received = kNow + std::chrono::hours{5};
  const auto decoded =
      DecodeMessage(EncodeMessage(FullMessage(), kNow), received);
  CHECK(decoded.has_value());
  STRCMP_EQUAL("d1", decoded->sender.c_str());
  CHECK_EQUAL(12, decoded->membership->updates.at(0).version);
  CHECK(decoded->membership->leaving.at(0).deadline ==
        received + Milliseconds{1500});
  CHECK(decoded->slot_request->request.deadline ==
        received + Milliseconds{2500});
  CHECK(decoded->slot_request->request.prefix_hash == ~std::uint64_t{0});
  CHECK_EQUAL(2U, decoded->slot_request->request.excluded.size());
  CHECK(decoded->slot_request->request.priority == Priority::kOvernight);
  CHECK(decoded->reply->answer.grant_id == 1ULL << 62);
  CHECK(decoded->slot_release->outcome.time_per_token == Microseconds{54000});
  CHECK_EQUAL(7U, decoded->held_slots->held.at(0).grant_id);
  CHECK_EQUAL(7U, decoded->preemption->grant_id);
  DOUBLES_EQUAL(3, decoded->demand.at(0).requests[2], 0);
}

// Guards against out-of-range values that would cause an invalid array index or
// enum cast in the receiver.
TEST(Codec, RejectsValuesOutOfRange) {
  std::vector<PeerMessage> bad(6, FullMessage());
  bad[0].slot_request->request.priority = static_cast<Priority>(3);
  bad[1].membership->sender.state = static_cast<membership::MemberState>(9);
  bad[2].membership->sender.address.port = 70000;
  bad[3].held_slots->chunk = 1;
  bad[4].sender.clear();
  bad[5].membership->sender.incarnation =
      std::numeric_limits<std::int64_t>::max();
  for (const PeerMessage& message : bad)
    CHECK_FALSE(DecodeMessage(EncodeMessage(message, kNow), kNow).has_value());
}

// Guards against truncated, corrupted or random datagrams that crash the
// receiver, throw an exception, or make it allocate excessive memory.
TEST(Codec, SurvivesMalformedInput) {
  std::mt19937_64 random(Seed());
  const std::string whole = EncodeMessage(FullMessage(), kNow);
  for (std::size_t size = 0; size < whole.size(); ++size)
    CHECK_FALSE(DecodeMessage(whole.substr(0, size), kNow).has_value());
  for (int i = 0; i < 50000; ++i) {
    std::string changed = whole;
    for (int flips = 0; flips < 1 + i % 4; ++flips)
      changed[random() % changed.size()] = static_cast<char>(random());
    DecodeMessage(changed, kNow);
    std::string noise(random() % kMaxDatagramBytes, '\0');
    for (char& byte : noise)
      byte = static_cast<char>(random());
    DecodeMessage(noise, kNow);
  }
  // Claims a list of 2^31 - 1 elements in a field of the envelope.
  const std::string huge =
      std::string("\x15\x02\x18\x02") + "d1\x89\xfc\xff\xff\xff\xff\x07";
  CHECK_FALSE(DecodeMessage(huge, kNow).has_value());
}

}  // namespace coltsfootvane::peer
