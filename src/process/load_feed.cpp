// Collects changed loads, encodes them and applies them.
#include "process/load_feed.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <vector>

#include "process/msgpack_bounds.h"

namespace arbutus {

namespace {

using nlohmann::json;

constexpr std::size_t max_rows_depth = 3;

// Pending prompt tokens that weigh as much as one request when changes are ordered.
constexpr std::int64_t tokens_per_request = 1000;

std::int64_t weight(std::int64_t active, std::int64_t tokens) {
  return std::abs(active) * tokens_per_request + std::abs(tokens);
}

}  // namespace

void load_feed::update(const replica_loads& loads) {
  encoded_.clear();
  struct change {
    target_id head;
    std::int64_t active;
    std::int64_t tokens;
    std::int64_t weight;
  };
  std::vector<change> changes;
  const auto compare = [&](const target_id& head, const entry& known, const replica_load& load) {
    const std::int64_t active = std::lround(load.active);
    const std::int64_t tokens = std::lround(load.pending_prefill_tokens);
    const std::int64_t w = weight(active - known.active, tokens - known.pending_prefill_tokens);
    if (w > 0) {
      changes.push_back({head, active, tokens, w});
    }
  };
  for (const auto& [head, load] : loads) {
    const auto known = entries_.find(head);
    compare(head, known == entries_.end() ? entry{} : known->second, load);
  }
  for (const auto& [head, known] : entries_) {
    if (!loads.contains(head)) {
      compare(head, known, {});
    }
  }
  if (changes.size() > max_rows_per_round) {
    std::nth_element(changes.begin(), changes.begin() + max_rows_per_round, changes.end(),
                     [](const change& a, const change& b) { return a.weight > b.weight; });
    changes.resize(max_rows_per_round);
  }
  for (const change& c : changes) {
    entry& known = entries_[c.head];
    ++position_;
    if (known.number == 0) {
      known.number = next_number_++;
      known.named_at = position_;
    }
    known.changed_at = position_;
    known.active = c.active;
    known.pending_prefill_tokens = c.tokens;
  }
  forget_idle_heads();
}

void load_feed::forget_idle_heads() {
  const auto idle = [](const auto& known) {
    return known.second.active == 0 && known.second.pending_prefill_tokens == 0;
  };
  const auto count = std::count_if(entries_.begin(), entries_.end(), idle);
  if (static_cast<std::size_t>(count) >= max_idle_heads) {
    std::erase_if(entries_, idle);
    first_resumable_ = position_;
  }
}

load_update load_feed::changes_after(std::uint64_t after) {
  // A position beyond this feed's is of no use either: the receiver has to start again.
  const bool resumes = after >= first_resumable_ && after <= position_;
  const std::uint64_t from = resumes ? after : 0;
  load_update update{from, position_, 0, {}};
  const auto known = encoded_.find(from);
  if (known != encoded_.end()) {
    update.rows = known->second;
    return update;
  }
  json rows = json::array();
  for (const auto& [head, e] : entries_) {
    if (e.changed_at <= from) {
      continue;
    }
    json row = {e.number, e.active, e.pending_prefill_tokens};
    if (e.named_at > from) {
      row.push_back(head.str());
    }
    rows.push_back(std::move(row));
  }
  json::to_msgpack(rows, update.rows);
  ++encodings_;
  encoded_.emplace(from, update.rows);
  return update;
}

bool load_follower::apply(const std::string& incarnation, const load_update& update) {
  const bool same = incarnation == position_.incarnation;
  if (same && update.position < position_.at) {
    return true;  // a late answer to an older heartbeat
  }
  if (update.after != 0 && (!same || update.after > position_.at)) {
    return false;
  }
  if (!nesting_bounded(update.rows, max_rows_depth)) {
    return false;
  }
  if (update.after == 0) {
    heads_.clear();
    loads_.clear();
  }
  try {
    for (const json& row : json::from_msgpack(update.rows)) {
      const auto number = row.at(0).get<std::uint64_t>();
      if (row.size() > 3) {
        heads_[number] = target_id{row.at(3).get<std::string>()};
      }
      const target_id& head = heads_.at(number);
      const replica_load load{row.at(1).get<double>(), row.at(2).get<double>()};
      if (load.active == 0 && load.pending_prefill_tokens == 0) {
        loads_.erase(head);
      } else {
        loads_[head] = load;
      }
    }
  } catch (const std::exception&) {
    // All loads are needed next.
    position_ = {};
    return false;
  }
  position_ = {incarnation, update.position};
  return true;
}

void reported_loads::add(std::int64_t stamp_us, const replica_loads& loads) {
  reports_.emplace_back(stamp_us, loads);
  if (reports_.size() > max_reports) {
    reports_.pop_front();
  }
}

std::optional<replica_loads> reported_loads::subtract(std::int64_t stamp_us,
                                                      replica_loads all) const {
  if (stamp_us == 0) {
    return all;
  }
  const auto report = std::find_if(reports_.begin(), reports_.end(),
                                   [&](const auto& r) { return r.first == stamp_us; });
  if (report == reports_.end()) {
    return std::nullopt;
  }
  for (const auto& [head, load] : report->second) {
    const auto found = all.find(head);
    if (found == all.end()) {
      continue;
    }
    replica_load& rest = found->second;
    rest.active = std::max(0.0, rest.active - load.active);
    rest.pending_prefill_tokens =
        std::max(0.0, rest.pending_prefill_tokens - load.pending_prefill_tokens);
    if (rest.active < 0.5) {
      all.erase(found);
    }
  }
  return all;
}

}  // namespace arbutus
