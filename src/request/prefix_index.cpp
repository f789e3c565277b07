// A least-recently-used list with a hash table into it.
#include "request/prefix_index.h"

#include <iterator>

namespace arbutus {

prefix_index::prefix_index(const prefix_index_settings& settings) : settings_(settings) {}

void prefix_index::sent(time_point now, const replica_id& replica, const prefix_blocks& blocks) {
  const replica_state& state = state_of(replica);
  for (const std::uint64_t block : blocks) {
    confirm_entry(now, state, block);
  }
  evict_oldest_entries(now);
}

void prefix_index::on_cache_events(time_point now, const cache_events& events) {
  replica_state& known = state_of(events.replica);
  if (known.has_events && known.incarnation != events.incarnation) {
    forget(events.replica);
  }
  replica_state& state = state_of(events.replica);
  if (state.has_events && events.sequence <= state.sequence) {
    return;  // a duplicate batch
  }
  // A gap in the sequence means lost batches, which may have contained evictions. Without this
  // check, prompts would be sent to a replica whose cache evicted them long ago, causing misses
  // until the entries expire.
  if (state.has_events && events.sequence != state.sequence + 1) {
    ++state.epoch;
  }
  state.has_events = true;
  state.incarnation = events.incarnation;
  state.sequence = events.sequence;
  for (const std::uint64_t block : events.evicted) {
    erase({block, state.replica_number});
  }
  for (const std::uint64_t block : events.stored) {
    confirm_entry(now, state, block);
  }
  evict_oldest_entries(now);
}

void prefix_index::forget(const replica_id& replica) {
  const auto found = replicas_.find(replica);
  if (found == replicas_.end()) {
    return;
  }
  const std::uint32_t replica_number = found->second.replica_number;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (it->key.replica == replica_number) {
      by_key_.erase(it->key);
      it = entries_.erase(it);
    } else {
      ++it;
    }
  }
  replicas_.erase(found);
}

double prefix_index::expected_blocks(time_point now, const replica_id& replica,
                                     const prefix_blocks& blocks) const {
  const auto found = replicas_.find(replica);
  if (found == replicas_.end()) {
    return 0;
  }
  const replica_state& state = found->second;
  double expected = 0;
  for (const std::uint64_t block : blocks) {
    const auto it = by_key_.find({block, state.replica_number});
    // A cache can use only a contiguous prefix.
    if (it == by_key_.end() || now - it->second->confirmed_at > settings_.max_unconfirmed_age) {
      break;
    }
    expected += it->second->epoch == state.epoch ? 1.0 : settings_.trust_after_gap;
  }
  return expected;
}

prefix_index::replica_state& prefix_index::state_of(const replica_id& replica) {
  const auto [it, is_new] = replicas_.try_emplace(replica);
  if (is_new) {
    it->second.replica_number = next_number_++;
  }
  return it->second;
}

void prefix_index::confirm_entry(time_point now, const replica_state& state, std::uint64_t block) {
  const entry_key key{block, state.replica_number};
  const auto found = by_key_.find(key);
  if (found == by_key_.end()) {
    entries_.push_back({key, now, state.epoch});
    by_key_.emplace(key, std::prev(entries_.end()));
    return;
  }
  found->second->confirmed_at = now;
  found->second->epoch = state.epoch;
  entries_.splice(entries_.end(), entries_, found->second);
}

void prefix_index::erase(const entry_key& key) {
  const auto found = by_key_.find(key);
  if (found == by_key_.end()) {
    return;
  }
  entries_.erase(found->second);
  by_key_.erase(found);
}

void prefix_index::evict_oldest_entries(time_point now) {
  while (!entries_.empty() &&
         (entries_.size() > settings_.max_entries ||
          now - entries_.front().confirmed_at > settings_.max_unconfirmed_age)) {
    by_key_.erase(entries_.front().key);
    entries_.pop_front();
  }
}

}  // namespace arbutus
