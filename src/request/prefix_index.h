// Estimates which replica holds which prompt prefix in its cache, from the prompts that this node
// sent and from the engines' cache events, which arrive late and with gaps. A wrong estimate costs
// time, not correctness.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "request/facts.h"

namespace arbutus {

// A batch of cache events of one replica; `sequence` counts the batches since the engine's start.
struct cache_events {
  replica_id replica;
  std::uint64_t incarnation{};  // of the engine; a new one starts with an empty cache
  std::uint64_t sequence{};
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> evicted;
};

struct prefix_index_settings {
  std::size_t max_entries = 100'000;     // (replica, block) pairs; about 100 bytes each
  duration max_unconfirmed_age = 10min;  // entries not used for longer are assumed evicted
  // Weight of a block that was last confirmed before a batch of cache events was lost: the lost
  // batch may have reported the block's eviction.
  double trust_after_gap = 0.25;
};

class prefix_index {
 public:
  explicit prefix_index(const prefix_index_settings& settings = {});

  // This node sent a prompt with these blocks to the replica.
  void sent(time_point now, const replica_id& replica, const prefix_blocks& blocks);
  void on_cache_events(time_point now, const cache_events& events);
  // The replica was formed again, restarted or removed: its cache is empty.
  void forget(const replica_id& replica);

  // Expected number of leading blocks of a prompt in the replica's cache. A block that was last
  // confirmed before lost events counts as `trust_after_gap`.
  [[nodiscard]] double expected_blocks(time_point now, const replica_id& replica,
                                       const prefix_blocks& blocks) const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  struct entry_key {
    std::uint64_t block{};
    std::uint32_t replica{};
    bool operator==(const entry_key&) const = default;
  };
  struct entry_key_hash {
    std::size_t operator()(const entry_key& key) const noexcept {
      return static_cast<std::size_t>(key.block ^ (key.replica * 0x9e3779b97f4a7c15ULL));
    }
  };
  struct entry {
    entry_key key;
    time_point confirmed_at;  // when the entry was last confirmed
    std::uint32_t epoch{};    // replica_state::epoch when the entry was last confirmed
  };
  struct replica_state {
    std::uint32_t replica_number{};  // identifies the replica in entry_key; never reused
    std::uint32_t epoch{};           // number of gaps in the replica's cache events so far
    std::uint64_t incarnation{};
    std::uint64_t sequence{};
    bool has_events = false;
  };
  using recency = std::list<entry>;  // oldest first

  replica_state& state_of(const replica_id& replica);
  void confirm_entry(time_point now, const replica_state& state, std::uint64_t block);
  void erase(const entry_key& key);
  void evict_oldest_entries(time_point now);

  prefix_index_settings settings_;
  // Invariant: entries_ and by_key_ hold the same (replica, block) pairs, at most max_entries.
  recency entries_;  // (replica, block) pairs by time of last confirmation, oldest first
  std::unordered_map<entry_key, recency::iterator, entry_key_hash> by_key_;
  std::unordered_map<replica_id, replica_state> replicas_;
  std::uint32_t next_number_ = 1;
};

}  // namespace arbutus
