// A small seeded generator with the few draws that the fleet's modules need: the same everywhere, unlike
// those of the standard library's distributions.
#ifndef STOATRUN_BASE_RANDOM_H_
#define STOATRUN_BASE_RANDOM_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "base/split_mix64.h"

namespace stoatrun::fleet {

// A 64-bit Mersenne Twister with portable draws. Equal seeds give equal sequences. Not thread-safe; not for
// secrets.
class Random {
 public:
  // Starts the sequence of `seed`.
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  // The next 64 random bits.
  std::uint64_t Next() { return engine_(); }
  // Uniform in [0, 1), with the 53 bits that a double holds.
  double Unit() { return static_cast<double>(engine_() >> 11U) * 0x1.0p-53; }
  // In [0, n), for n above 0; the bias of the remainder is negligible for n far below 2^64.
  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(engine_() % n); }
  // True with the given probability.
  bool Chance(double probability) { return Unit() < probability; }
  // Puts the items into a random order (Fisher-Yates).
  template <typename T>
  void Shuffle(std::vector<T>& all) {
    for (std::size_t k = all.size(); k > 1; --k) std::swap(all[k - 1], all[Below(k)]);
  }

 private:
  std::mt19937_64 engine_;
};

// One of many orders that a name gives, the same at every relay (SplitMix64's finish).
inline std::uint64_t HashCombine(std::uint64_t a, std::uint64_t b) {
  return SplitMix64Finalize(a * kSplitMix64Increment + b);
}

}  // namespace stoatrun::fleet

#endif  // STOATRUN_BASE_RANDOM_H_
