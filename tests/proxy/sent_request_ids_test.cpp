#include "proxy/sent_request_ids.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <vector>

#include "base/shared_memory.h"
#include "base/split_mix64.h"

namespace stoatrun {
namespace {

constexpr Micros kNow = std::chrono::hours(24 * 300);  // The time wraps around after 194 days.

struct Table {
  SharedMemory memory{SentRequestIds::kMemorySize};
  SentRequestIds ids{SentRequestIds::SlotsIn(memory.Data())};
};

TEST_CASE_METHOD(Table, "an id is claimed once, until its retention ends") {
  CHECK(ids.Claim(7, kNow));
  CHECK_FALSE(ids.Claim(7, kNow + std::chrono::minutes(9)));
  CHECK(ids.Contains(7, kNow));
  CHECK_FALSE(ids.Contains(8, kNow));
  CHECK(ids.Claim(7, kNow + std::chrono::minutes(11)));
}

TEST_CASE_METHOD(Table, "a released id may be claimed again") {
  CHECK(ids.Claim(7, kNow));
  ids.Release(7);
  CHECK(ids.Claim(7, kNow));
}

TEST_CASE_METHOD(Table, "the latest ids are kept, however many there are") {
  constexpr int kCount = 200'000, kKept = 10'000;
  SplitMix64 seeded(20261205);
  std::vector<std::uint64_t> claimed;
  for (int k = 0; k < kCount; ++k) {
    claimed.push_back(seeded.Next());
    REQUIRE(ids.Claim(claimed.back(), kNow + std::chrono::milliseconds(k)));
  }
  const Micros end = kNow + std::chrono::milliseconds(kCount);
  for (int k = kCount - kKept; k < kCount; ++k) {
    REQUIRE(ids.Contains(claimed[static_cast<std::size_t>(k)], end));
  }
}

}  // namespace
}  // namespace stoatrun
