// Prefix cache of a stand-in engine: blocks in least-recently-used order, and events about stored
// and removed blocks.
#include "standin/cache_standin.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace arbutus::standin {

namespace {

// Like real engines, the stand-in keeps a bounded number of past events for readers that poll late.
constexpr std::size_t max_kept_events = 4096;

constexpr std::string_view blob_magic = "arbutus-kv";
constexpr std::size_t hex_digits = 16;

}  // namespace

cache_standin::cache_standin(const cache_settings& settings, std::uint64_t seed)
    : settings_(settings), random_(seed) {}

std::size_t cache_standin::count_cached_blocks(const std::vector<std::uint64_t>& chain) {
  std::size_t count = 0;
  for (const std::uint64_t block : chain) {
    const auto found = entries_.find(block);
    if (found == entries_.end()) {
      break;
    }
    lru_.splice(lru_.begin(), lru_, found->second.lru_position);
    ++count;
  }
  return count;
}

void cache_standin::store(time_point now, const std::vector<std::uint64_t>& chain) {
  std::uint64_t previous_block = 0;
  const std::size_t fitting = std::min(chain.size(), settings_.capacity_blocks);
  for (std::size_t i = 0; i < fitting; ++i) {
    insert_block(now, chain[i], previous_block);
    previous_block = chain[i];
  }
}

void cache_standin::insert_block(time_point now, std::uint64_t block,
                                 std::uint64_t previous_block) {
  const auto found = entries_.find(block);
  if (found != entries_.end()) {
    lru_.splice(lru_.begin(), lru_, found->second.lru_position);
    return;
  }
  if (entries_.size() >= settings_.capacity_blocks) {
    publish_event(now, cache_change::removed, lru_.back());
    entries_.erase(lru_.back());
    lru_.pop_back();
  }
  lru_.push_front(block);
  entries_[block] = {previous_block, lru_.begin()};
  publish_event(now, cache_change::stored, block);
}

void cache_standin::publish_event(time_point now, cache_change change, std::uint64_t block) {
  ++last_sequence_;
  if (random_.unit() < settings_.event_loss_fraction) {
    return;
  }
  events_.push_back({last_sequence_, change, block, now});
  if (events_.size() > max_kept_events) {
    events_.pop_front();
  }
}

std::string cache_standin::export_prefix(std::uint64_t block) const {
  std::vector<std::uint64_t> chain;
  for (std::uint64_t next = block; next != 0;) {
    const auto found = entries_.find(next);
    if (found == entries_.end()) {
      return {};
    }
    chain.push_back(next);
    next = found->second.previous_block;
  }
  std::string blob(blob_magic);
  for (auto i = chain.rbegin(); i != chain.rend(); ++i) {
    char text[hex_digits + 1];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(*i));
    blob += text;
  }
  return blob;
}

bool cache_standin::import_prefix(time_point now, std::string_view blob) {
  if (!blob.starts_with(blob_magic)) {
    return false;
  }
  blob.remove_prefix(blob_magic.size());
  std::vector<std::uint64_t> chain;
  for (; blob.size() >= hex_digits; blob.remove_prefix(hex_digits)) {
    std::uint64_t block = 0;
    const char* const end = blob.data() + hex_digits;
    if (std::from_chars(blob.data(), end, block, 16).ptr != end) {
      return false;
    }
    chain.push_back(block);
  }
  if (!blob.empty()) {
    return false;
  }
  store(now, chain);
  return true;
}

std::vector<cache_event> cache_standin::events(time_point now, std::uint64_t since) const {
  std::vector<cache_event> published;
  for (const cache_event& e : events_) {
    if (e.sequence > since && e.at + settings_.event_lag <= now) {
      published.push_back(e);
    }
  }
  return published;
}

double cache_standin::used_fraction() const {
  return static_cast<double>(entries_.size()) /
         static_cast<double>(std::max<std::size_t>(1, settings_.capacity_blocks));
}

void cache_standin::clear() {
  entries_.clear();
  lru_.clear();
}

}  // namespace arbutus::standin
