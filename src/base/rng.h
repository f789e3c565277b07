// A seeded pseudo-random generator (SplitMix64). The same seed gives the same sequence on every
// machine.
#pragma once

#include <cstdint>
#include <limits>

#include "base/units.h"

namespace arbutus {

class rng {
 public:
  using result_type = std::uint64_t;

  explicit constexpr rng(std::uint64_t seed) : state_(seed) {}

  static constexpr result_type min() { return 0; }
  static constexpr result_type max() { return std::numeric_limits<result_type>::max(); }

  constexpr result_type operator()() {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }

  // Random number, uniform in [0, 1).
  constexpr double unit() { return static_cast<double>((*this)() >> 11) * 0x1.0p-53; }

  // Random integer, uniform in [0, bound); `bound` must be positive.
  constexpr std::uint64_t below(std::uint64_t bound) { return (*this)() % bound; }

  // Random duration, uniform in [0, d], to add to a delay as jitter.
  constexpr duration jitter(duration d) {
    return duration{static_cast<duration::rep>(unit() * static_cast<double>(d.count()))};
  }

 private:
  std::uint64_t state_;
};

}  // namespace arbutus
