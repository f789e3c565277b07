// Versions of the rows in the platform's store, in an order that holds across its restores.
//
// The store numbers its transactions. When it comes back from an older copy, it gives numbers out
// again and raises its era by one. A number alone then does not say which of two rows was written
// later: a node would wait until the count has passed its position, and never read what was written
// under the numbers before that. So a version consists of both, compared by the era first.
//
// A version is a plain integer, the era in its upper bits. In the first era it equals the number.
#pragma once

#include <algorithm>
#include <cstdint>

namespace arbutus {

// Era of a store that has never come back from a copy, also of one that names no era.
inline constexpr std::uint64_t first_store_era = 1;
// Bits of a version for the number: at a million transactions a second it overflows after 200 days.
inline constexpr unsigned store_number_bits = 44;
inline constexpr std::uint64_t max_store_number = (std::uint64_t{1} << store_number_bits) - 1;
inline constexpr std::uint64_t max_store_era =
    first_store_era + (std::uint64_t{1} << (64U - store_number_bits)) - 1;

// The version of the transaction with this number, in this era.
[[nodiscard]] constexpr std::uint64_t store_version(std::uint64_t era, std::uint64_t number) {
  const std::uint64_t restores = std::clamp(era, first_store_era, max_store_era) - first_store_era;
  return restores << store_number_bits | std::min(number, max_store_number);
}

[[nodiscard]] constexpr std::uint64_t era_of(std::uint64_t version) {
  return (version >> store_number_bits) + first_store_era;
}

[[nodiscard]] constexpr std::uint64_t number_of(std::uint64_t version) {
  return version & max_store_number;
}

}  // namespace arbutus
