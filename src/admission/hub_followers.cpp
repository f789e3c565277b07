// Counts the nodes that follow a hub.
#include "admission/hub_followers.h"

#include <algorithm>

namespace arbutus {

void followed_hub::update(time_point now, const node_id& hub) {
  if (hub != hub_) {
    hub_ = hub;
    changed_at_ = now;
  }
}

node_id followed_hub::named(time_point now) const {
  return now - changed_at_ >= change_pause ? hub_ : node_id{};
}

void hub_followers::heard(time_point valid_from, time_point now, const node_id& node,
                          bool names_this_hub) {
  if (!names_this_hub) {
    followers_.erase(node);
    return;
  }
  const auto [found, is_new] = followers_.try_emplace(node, follower{now, valid_from});
  follower& f = found->second;
  // A node that follows another hub in between names this one not for two pauses at least. After a
  // shorter gap, due to lost heartbeats, it is known to have followed this hub all the time.
  if (!is_new && now - f.valid_from >= 2 * followed_hub::change_pause) {
    f.since = now;
  }
  f.valid_from = std::max(f.valid_from, valid_from);
}

std::size_t hub_followers::count(time_point from, time_point now) const {
  return static_cast<std::size_t>(std::ranges::count_if(followers_, [&](const auto& entry) {
    return entry.second.since + settle_time <= from && now - entry.second.valid_from < max_age;
  }));
}

double hub_followers::share(time_point from, time_point now, std::size_t known_nodes) const {
  if (known_nodes == 0) {
    return 0;
  }
  return std::min(1.0, static_cast<double>(count(from, now)) / static_cast<double>(known_nodes));
}

}  // namespace arbutus
