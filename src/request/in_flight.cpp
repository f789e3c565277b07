// Tracks this node's own attempts.
#include "request/in_flight.h"

#include <algorithm>

namespace arbutus {

namespace {

void remember(std::deque<time_point>& times, time_point now, duration keep, std::size_t limit) {
  times.push_back(now);
  while (times.size() > limit || now - times.front() > keep) {
    times.pop_front();
  }
}

std::uint32_t count_after(const std::deque<time_point>& times, time_point since) {
  const auto first = std::upper_bound(times.begin(), times.end(), since);
  return static_cast<std::uint32_t>(times.end() - first);
}

}  // namespace

void in_flight::sent(time_point now, const request_id& id, const replica_id& replica, double cost) {
  replica_attempts& flights = replicas_[replica];
  if (flights.open.insert_or_assign(id, attempt{replica, now, cost}).second) {
    ++total_;
  }
  remember(flights.sent, now, history, max_history_entries);
}

std::optional<in_flight::attempt> in_flight::ended(time_point now, const request_id& id,
                                                   const replica_id& replica) {
  const auto flights = replicas_.find(replica);
  if (flights == replicas_.end()) {
    return std::nullopt;
  }
  const auto found = flights->second.open.find(id);
  if (found == flights->second.open.end()) {
    return std::nullopt;
  }
  const attempt result = found->second;
  flights->second.open.erase(found);
  --total_;
  remember(flights->second.ended, now, history, max_history_entries);
  return result;
}

void in_flight::forget(const replica_id& replica) {
  const auto found = replicas_.find(replica);
  if (found != replicas_.end() && found->second.open.empty()) {
    replicas_.erase(found);
  }
}

std::uint32_t in_flight::count(const replica_id& replica) const {
  const auto found = replicas_.find(replica);
  return found == replicas_.end() ? 0 : static_cast<std::uint32_t>(found->second.open.size());
}

std::uint32_t in_flight::sent_since(const replica_id& replica, time_point since) const {
  const auto found = replicas_.find(replica);
  return found == replicas_.end() ? 0 : count_after(found->second.sent, since);
}

std::uint32_t in_flight::ended_since(const replica_id& replica, time_point since) const {
  const auto found = replicas_.find(replica);
  return found == replicas_.end() ? 0 : count_after(found->second.ended, since);
}

}  // namespace arbutus
