// Pairing of nodes with those of other data centres, and storage of received summaries.
#include "process/summaries.h"

#include <algorithm>

namespace arbutus {

duration summary_interval_for(const inventory& assets) {
  const auto others = static_cast<duration::rep>(assets.data_centres.size()) - 1;
  return std::max(summary_interval, others * min_summary_spacing);
}

duration summary_lifetime_for(const inventory& assets) {
  return std::max(summary_lifetime, min_lifetime_intervals * summary_interval_for(assets));
}

std::vector<node_id> summary_board::due_recipients(time_point now, const inventory& assets) {
  if (now < next_due_at_) {
    return {};
  }
  next_due_at_ = now + summary_interval_for(assets);
  ++round_;
  const auto own = assets.nodes_of(own_data_centre_);
  const auto is_self = [&](const node_record* n) { return n->id == self_; };
  const auto place = std::find_if(own.begin(), own.end(), is_self);
  if (place == own.end()) {
    return {};
  }
  const auto index = static_cast<std::size_t>(place - own.begin());
  std::vector<node_id> result;
  for (const data_centre_record& dc : assets.data_centres) {
    if (dc.id == own_data_centre_) {
      continue;
    }
    // Sender i sends to the receivers whose position is i modulo the number of senders, shifted by
    // the round.
    const auto theirs = assets.nodes_of(dc.id);
    const std::size_t lanes = std::max(own.size(), theirs.size());
    for (std::size_t lane = index; lane < lanes; lane += own.size()) {
      const std::size_t shifted = (lane + round_) % lanes;
      if (shifted < theirs.size()) {
        result.push_back(theirs[shifted]->id);
      }
    }
  }
  return result;
}

void summary_board::receive(time_point now, const summary& s) {
  if (s.data_centre != own_data_centre_) {
    entries_[s.data_centre] = {s.models, now};
  }
}

std::vector<remote_capacity> summary_board::remote_capacities(time_point now,
                                                              const inventory& assets) const {
  const duration lifetime = summary_lifetime_for(assets);
  std::vector<remote_capacity> result;
  for (const auto& [dc, e] : entries_) {
    if (now - e.at > lifetime) {
      continue;
    }
    std::vector<endpoint> entry_points;
    for (const node_record* node : assets.nodes_of(dc)) {
      entry_points.push_back(node->caller);
    }
    for (const model_summary& m : e.models) {
      result.push_back({dc, m.model, m.free_slots, m.queueing_delay, e.at, entry_points});
    }
  }
  return result;
}

}  // namespace arbutus
