// A seeded random number generator with the distributions that the fleet modules need. Unlike the standard
// library's distributions, they give the same values on every platform.
#ifndef STOATRUN_BASE_RANDOM_H_
#define STOATRUN_BASE_RANDOM_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "base/split_mix64.h"

namespace stoatrun::fleet {

// A 64-bit Mersenne Twister with portable distributions. Equal seeds give equal sequences. Not thread-safe;
// not cryptographically secure.
class Random {
 public:
  // Seeds the generator.
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  // The next 64 random bits.
  std::uint64_t Next() { return engine_(); }
  // Uniform in [0, 1), with the 53 bits of a double's significand.
  double Unit() { return static_cast<double>(engine_() >> 11U) * 0x1.0p-53; }
  // Uniform in [0, n), for n > 0; the modulo bias is negligible for n far below 2^64.
  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(engine_() % n); }
  // True with the given probability.
  bool Chance(double probability) { return Unit() < probability; }
  // Shuffles the items (Fisher-Yates).
  template <typename T>
  void Shuffle(std::vector<T>& items) {
    for (std::size_t k = items.size(); k > 1; --k) std::swap(items[k - 1], items[Below(k)]);
  }

 private:
  std::mt19937_64 engine_;
};

// Combines two values into one hash (SplitMix64's output function). The result is the same on every relay.
inline std::uint64_t HashCombine(std::uint64_t a, std::uint64_t b) {
  return SplitMix64Finalize(a * kSplitMix64Increment + b);
}

}  // namespace stoatrun::fleet

#endif  // STOATRUN_BASE_RANDOM_H_
