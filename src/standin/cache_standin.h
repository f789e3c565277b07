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
  // Numbered from 1; a reader sees missing events as a step of more than 1.
  std::uint64_t sequence{};
  cache_change change = cache_change::stored;
  std::uint64_t block{};
  time_point at;
};

struct cache_settings {
  std::size_t capacity_blocks = 4096;
  duration event_lag{};
  double event_loss_fraction = 0;  // fraction of events that are never published
};

class cache_standin {
 public:
  cache_standin(const cache_settings& settings, std::uint64_t seed);

  // Number of blocks at the start of a prompt's chain of blocks that are cached. Marks them as
  // recently used.
  [[nodiscard]] std::size_t count_cached_blocks(const std::vector<std::uint64_t>& chain);

  // Caches a prompt's chain of blocks from its start, up to the capacity of the cache.
  void store(time_point now, const std::vector<std::uint64_t>& chain);

  // Serialises the chain of blocks that ends with `block`, to copy it to another engine. Empty if
  // the block or one before it is not cached.
  [[nodiscard]] std::string export_prefix(std::uint64_t block) const;
  // Caches the chain that export_prefix() of another engine returned. False if `blob` is something
  // else.
  bool import_prefix(time_point now, std::string_view blob);

  // Published cache events after sequence number `since`, oldest first. The number of stored events
  // is limited; a reader sees dropped ones as a gap in the sequence numbers.
  [[nodiscard]] std::vector<cache_event> events(time_point now, std::uint64_t since) const;

  // Fraction of the cache's capacity that is occupied.
  [[nodiscard]] double used_fraction() const;
  void clear();

 private:
  struct entry {
    std::uint64_t previous_block{};  // block before this one in its chain; 0: none
    std::list<std::uint64_t>::iterator lru_position;
  };

  void insert_block(time_point now, std::uint64_t block, std::uint64_t previous_block);
  void publish_event(time_point now, cache_change change, std::uint64_t block);

  cache_settings settings_;
  // Invariant: `lru_` holds exactly the keys of `entries_`, the most recently used first.
  std::unordered_map<std::uint64_t, entry> entries_;
  std::list<std::uint64_t> lru_;
  std::deque<cache_event> events_;
  std::uint64_t last_sequence_{};
  rng random_;
};

}  // namespace arbutus::standin
