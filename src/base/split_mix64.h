// SplitMix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", OOPSLA 2014): a small
// seeded generator that gives the same sequence with every compiler and standard library. Not
// cryptographically secure; not thread-safe. Header-only, because the balancer library doesn't link src/base.
#ifndef STOATRUN_BASE_SPLIT_MIX64_H_
#define STOATRUN_BASE_SPLIT_MIX64_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/durations.h"

namespace stoatrun {

// The generator's increment: 2^64 divided by the golden ratio, made odd.
constexpr std::uint64_t kSplitMix64Increment = 0x9e3779b97f4a7c15ULL;

// SplitMix64's output function: a bijection of 64-bit values in which every input bit affects every output
// bit.
constexpr std::uint64_t SplitMix64Finalize(std::uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

// Equal seeds give equal sequences.
class SplitMix64 {
 public:
  explicit SplitMix64(std::uint64_t seed) : state_(seed) {}
  // The next 64 random bits.
  std::uint64_t Next() { return SplitMix64Finalize(state_ += kSplitMix64Increment); }
  // Uniform in [0, 1), with the 53 bits of a double's significand.
  double Unit() { return static_cast<double>(Next() >> 11U) * 0x1.0p-53; }
  // Uniform in [0, limit), with negligible bias for limits far below 2^53; 0 for a limit of 0.
  std::size_t Below(std::size_t limit) {
    return static_cast<std::size_t>(Unit() * static_cast<double>(limit));
  }
  // `mean` times a factor uniform in [min_factor, max_factor), truncated to whole microseconds. The jitter
  // keeps replicas that start or fail at the same time from staying synchronised.
  std::chrono::microseconds Jittered(std::chrono::microseconds mean, double min_factor, double max_factor) {
    return FromSeconds(ToSeconds(mean) * (min_factor + (max_factor - min_factor) * Unit()));
  }

 private:
  std::uint64_t state_;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_SPLIT_MIX64_H_
