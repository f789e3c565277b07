// Weighted fair queueing with deadline-based rejection.
#include "admission/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace arbutus {

namespace {

// Measured times (of service and to the first token) below this fraction of their mean get a larger
// weight in it. After a stall the mean is too high, so few requests are admitted and few
// measurements arrive to correct it.
constexpr double fast_recovery_ratio = 0.5;
constexpr double fast_recovery_weight = 0.25;
// The predicted wait in the queue is multiplied by this factor. Without it, many requests would be
// queued only to be refused later.
constexpr double predicted_wait_factor = 1.25;
// A waiting request is refused before its latest start time only if even this fraction of the
// predicted wait would be too long.
constexpr double optimistic_wait_fraction = 0.5;

}  // namespace

std::string_view to_string(reject_reason reason) {
  switch (reason) {
    case reject_reason::queue_full:
      return "queue full";
    case reject_reason::too_late:
      return "too late";
    case reject_reason::no_capacity:
      return "no capacity";
    case reject_reason::displaced:
      break;
  }
  return "displaced";
}

void admission::estimate::observe(double value, double weight) {
  deviation += weight * (std::abs(value - mean) - deviation);
  mean += weight * (value - mean);
}

admission::admission(const admission_settings& settings) : settings_(settings) {
  service_time_estimate_.mean = to_seconds(settings.initial_service_time_per_cost);
}

void admission::set_share(const workspace_id& workspace, double share) {
  queues_[workspace].share = std::max(share, 1e-6);
}

submit_result admission::submit(time_point now, const request_facts& facts) {
  workspace_queue& queue = queues_[facts.workspace];
  if (capacity_.slots == 0 && capacity_.reported_delay <= 0us) {
    return {refuse(reject_reason::no_capacity, 0us), {}};
  }
  const bool starts_now = capacity_.free_slots > 0 && waiting_count_ == 0;
  // While no request runs, no service time is measured. One request is then admitted although it is
  // estimated to miss its deadline; otherwise a wrong estimate would refuse all requests forever.
  const bool is_trial = starts_now && running_.empty() && now < facts.deadline;
  const duration wait = expected_wait(facts);
  const time_point last = latest_start(facts);
  if (!is_trial && now + from_seconds(predicted_wait_factor * to_seconds(wait)) > last) {
    return {refuse(reject_reason::too_late, now + wait - last), {}};
  }
  if (starts_now) {
    --capacity_.free_slots;
    charge_workspace(queue, facts.cost);
    start(now, facts.id, facts.cost);
    return {admitted{}, {}};
  }
  std::optional<rejection> displaced_request;
  if (queue.count >= settings_.max_queued_per_workspace) {
    displaced_request = displace(queue, facts.priority);
    if (!displaced_request) {
      return {refuse(reject_reason::queue_full, wait / 2), {}};
    }
  }
  enqueue(queue, facts);
  return {queued{wait}, displaced_request};
}

std::vector<request_id> admission::update_capacity_and_start_next(time_point now,
                                                                  const node_capacity& capacity) {
  capacity_ = capacity;
  return start_waiting(now);
}

std::vector<request_id> admission::finish_and_start_next(time_point now, const request_id& id,
                                                         bool served) {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return {};
  }
  const double seconds = to_seconds(now - found->second.started) / found->second.cost;
  // An aborted request gives a lower bound of the service time.
  if (served || seconds > service_time_estimate_.mean) {
    const bool fast = seconds < fast_recovery_ratio * service_time_estimate_.mean;
    service_time_estimate_.observe(seconds,
                                   fast ? fast_recovery_weight : settings_.observation_weight);
  }
  running_.erase(found);
  // A request that ended because its replica was lost frees no slot. Without this check, others
  // would start in its place and overload the remaining replicas.
  if (running_.size() + capacity_.free_slots < capacity_.slots) {
    ++capacity_.free_slots;
  }
  return start_waiting(now);
}

void admission::first_token(time_point now, const request_id& id) {
  const auto found = running_.find(id);
  if (found == running_.end() || found->second.has_first_token) {
    return;
  }
  found->second.has_first_token = true;
  const double seconds = to_seconds(now - found->second.started);
  const bool fast = seconds < fast_recovery_ratio * first_token_estimate_.mean;
  first_token_estimate_.observe(seconds,
                                fast ? fast_recovery_weight : settings_.observation_weight);
}

std::vector<request_id> admission::abandon_and_start_next(time_point now, const request_id& id) {
  std::erase_if(pending_rejections_, [&](const rejection& r) { return r.id == id; });
  const auto found = workspace_of_waiting_.find(id);
  if (found == workspace_of_waiting_.end()) {
    return finish_and_start_next(now, id, false);
  }
  workspace_queue& queue = queues_[found->second];
  for (auto it = queue.by_priority.begin(); it != queue.by_priority.end(); ++it) {
    std::deque<waiting_request>& requests = it->second;
    const auto same = [&](const waiting_request& r) { return r.id == id; };
    const auto at = std::find_if(requests.begin(), requests.end(), same);
    if (at == requests.end()) {
      continue;
    }
    remove_waiting(queue, *at);
    requests.erase(at);
    if (requests.empty()) {
      queue.by_priority.erase(it);
    }
    break;
  }
  return {};
}

std::vector<rejection> admission::tick(time_point now) {
  std::vector<rejection> given_up = std::exchange(pending_rejections_, {});
  const double rate = cost_completion_rate();
  for (auto& [workspace, queue] : queues_) {
    double before = 0;  // cost of the requests in this queue that start earlier
    for (auto it = queue.by_priority.begin(); it != queue.by_priority.end();) {
      std::deque<waiting_request> kept;
      for (waiting_request& r : it->second) {
        const duration wait = from_seconds(cost_started_before(queue, before + r.cost) / rate);
        if (now <= r.start_by &&
            now + from_seconds(optimistic_wait_fraction * to_seconds(wait)) <= r.start_by) {
          before += r.cost;
          kept.push_back(std::move(r));
          continue;
        }
        remove_waiting(queue, r);
        given_up.push_back({r.id, refuse(reject_reason::too_late, now + wait - r.start_by)});
      }
      it->second = std::move(kept);
      it = it->second.empty() ? queue.by_priority.erase(it) : std::next(it);
    }
  }
  return given_up;
}

time_point admission::next_tick() const {
  if (!pending_rejections_.empty()) {
    return time_point::min();
  }
  time_point next = time_point::max();
  for (const auto& [workspace, queue] : queues_) {
    for (const auto& [priority, requests] : queue.by_priority) {
      for (const waiting_request& r : requests) {
        next = std::min(next, r.start_by);
      }
    }
  }
  return next;
}

duration admission::expected_wait(const request_facts& facts) const {
  if (capacity_.slots == 0) {
    return capacity_.reported_delay;
  }
  if (capacity_.free_slots > 0 && waiting_count_ == 0) {
    return 0us;
  }
  const double ahead = queued_cost_ahead(facts.workspace, facts.priority, facts.cost);
  const duration own = from_seconds(ahead / cost_completion_rate());
  return capacity_.free_slots > 0 ? own : std::max(own, capacity_.reported_delay);
}

duration admission::service_time(double cost) const {
  return from_seconds(service_time_estimate_.mean * cost);
}

duration admission::required_service_time(double cost) const {
  return from_seconds((service_time_estimate_.mean +
                       settings_.deadline_deviations * service_time_estimate_.deviation) *
                      cost);
}

time_point admission::latest_start(const request_facts& facts) const {
  time_point latest = time_point::max();
  if (facts.deadline != time_point::max()) {
    latest = facts.deadline - required_service_time(facts.cost);
  }
  if (facts.first_token_deadline != time_point::max()) {
    const double seconds = first_token_estimate_.mean +
                           settings_.deadline_deviations * first_token_estimate_.deviation;
    latest = std::min(latest, facts.first_token_deadline - from_seconds(seconds));
  }
  return latest;
}

// Cost per second that this node completes, given the slots that it holds now.
double admission::cost_completion_rate() const {
  const double held = static_cast<double>(running_.size()) + capacity_.free_slots;
  return std::max(held, 1.0) / std::max(service_time_estimate_.mean, 1e-6);
}

double admission::queued_cost_ahead(const workspace_id& id, std::uint32_t priority,
                                    double cost) const {
  static const workspace_queue empty;
  const auto found = queues_.find(id);
  const workspace_queue& own = found == queues_.end() ? empty : found->second;
  double before = cost;
  for (const auto& [other, requests] : own.by_priority) {
    if (other > priority) {
      break;
    }
    for (const waiting_request& r : requests) {
      before += r.cost;
    }
  }
  return cost_started_before(own, before);
}

// Total cost of the requests of all workspaces that fair queueing starts until requests of `own`
// with cost `through` are started. Fluid approximation: every other queue receives service in
// proportion to its share until it is empty.
double admission::cost_started_before(const workspace_queue& own, double through) const {
  double ahead = through;
  for (const auto& [id, queue] : queues_) {
    if (&queue != &own && queue.count > 0) {
      ahead += std::min(queue.queued_cost, through * queue.share / own.share);
    }
  }
  return ahead;
}

rejected admission::refuse(reject_reason reason, duration wait) const {
  return {reason, std::clamp(wait, settings_.min_retry_after, settings_.max_retry_after)};
}

std::optional<rejection> admission::displace(workspace_queue& queue, std::uint32_t priority) {
  const auto last = std::prev(queue.by_priority.end());
  if (last->first <= priority) {
    return std::nullopt;
  }
  const waiting_request victim = last->second.back();
  last->second.pop_back();
  if (last->second.empty()) {
    queue.by_priority.erase(last);
  }
  remove_waiting(queue, victim);
  const duration wait =
      from_seconds(cost_started_before(queue, queue.queued_cost) / cost_completion_rate());
  return rejection{victim.id, refuse(reject_reason::displaced, wait)};
}

admission::workspace_queue* admission::next_queue() {
  workspace_queue* next = nullptr;
  for (auto& [id, queue] : queues_) {
    if (queue.count > 0 &&
        (next == nullptr || queue.virtual_finish_tag < next->virtual_finish_tag)) {
      next = &queue;
    }
  }
  return next;
}

std::vector<request_id> admission::start_waiting(time_point now) {
  std::vector<request_id> started;
  while (capacity_.free_slots > 0) {
    workspace_queue* queue = next_queue();
    if (queue == nullptr) {
      break;
    }
    const auto first = queue->by_priority.begin();
    const waiting_request next = first->second.front();
    first->second.pop_front();
    if (first->second.empty()) {
      queue->by_priority.erase(first);
    }
    remove_waiting(*queue, next);
    if (now > next.start_by) {
      pending_rejections_.push_back(
          {next.id, refuse(reject_reason::too_late, now - next.start_by)});
      continue;
    }
    --capacity_.free_slots;
    charge_workspace(*queue, next.cost);
    start(now, next.id, next.cost);
    started.push_back(next.id);
  }
  return started;
}

void admission::enqueue(workspace_queue& queue, const request_facts& facts) {
  queue.by_priority[facts.priority].push_back({facts.id, facts.cost, latest_start(facts)});
  ++queue.count;
  queue.queued_cost += facts.cost;
  ++waiting_count_;
  workspace_of_waiting_.insert_or_assign(facts.id, facts.workspace);
}

// Start-time fair queueing: the virtual time is the start tag of the request started last. An idle
// workspace therefore accumulates no credit, and service received while others were idle is not
// charged later.
void admission::charge_workspace(workspace_queue& queue, double cost) {
  const double tag = std::max(queue.virtual_finish_tag, virtual_time_);
  virtual_time_ = tag;
  queue.virtual_finish_tag = tag + cost / queue.share;
}

void admission::start(time_point now, const request_id& id, double cost) {
  running_.insert_or_assign(id, running_request{now, std::max(cost, 1e-6), false});
}

void admission::remove_waiting(workspace_queue& queue, const waiting_request& request) {
  --queue.count;
  queue.queued_cost = queue.count == 0 ? 0 : queue.queued_cost - request.cost;
  --waiting_count_;
  workspace_of_waiting_.erase(request.id);
}

}  // namespace arbutus
