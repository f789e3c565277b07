// The prefix cache of a stand-in engine: a limited number of blocks with least-recently-used
// eviction. Every change is published as an event, with a lag and with gaps.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/rng.h"
#include "base/units.h"

namespace arbutus::standin {

enum class cache_change { stored, removed };

struct cache_event {
  std::uint64_t sequence{};  // from 1; a step of more than 1 shows a gap
  cache_change change = cache_change::stored;
  std::uint64_t block{};
  time_point at;
};

struct cache_settings {
  std::size_t blocks = 4096;
  duration event_lag{};
  double event_loss = 0;  // fraction of events that are never published
};

class cache_standin {
 public:
  cache_standin(const cache_settings& settings, std::uint64_t seed);

  // Number of leading blocks of the chain that are cached. Marks them as recently used.
  [[nodiscard]] std::size_t cached(const std::vector<std::uint64_t>& chain);

  // Caches the chain from its start, up to the capacity of the cache.
  void store(time_point now, const std::vector<std::uint64_t>& chain);

  // Serialises the chain that ends with `block`; opaque to whoever transfers it. Empty if the block
  // or one before it is not cached.
  [[nodiscard]] std::string export_prefix(std::uint64_t block) const;
  // False if `blob` was not made by export_prefix().
  bool import_prefix(time_point now, std::string_view blob);

  // Published events after sequence number `since`, oldest first. The oldest events are dropped,
  // which also shows as a gap.
  [[nodiscard]] std::vector<cache_event> events(time_point now, std::uint64_t since) const;

  // Fraction of the blocks in use.
  [[nodiscard]] double used() const;
  void clear();

 private:
  struct entry {
    std::uint64_t previous{};  // the preceding block of the chain; 0: none
    std::list<std::uint64_t>::iterator use;
  };

  void put(time_point now, std::uint64_t block, std::uint64_t previous);
  void publish(time_point now, cache_change change, std::uint64_t block);

  cache_settings settings_;
  // Invariant: `lru_` holds exactly the keys of `entries_`, the most recently used first.
  std::unordered_map<std::uint64_t, entry> entries_;
  std::list<std::uint64_t> lru_;
  std::deque<cache_event> events_;
  std::uint64_t last_sequence_{};
  rng random_;
};

}  // namespace arbutus::standin
