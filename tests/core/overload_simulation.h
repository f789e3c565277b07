// A deployment under load in virtual time: nodes that admit and place requests by what they know,
// with loads and demand of other nodes that are 200 to 400 ms old, and replicas that batch.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "admission/demand_trend.h"
#include "admission/replica_room.h"
#include "admission/workspace_shares.h"
#include "base/rng.h"
#include "request/latency_calibration.h"

namespace arbutus {

struct overload_settings {
  std::size_t nodes = 58;
  std::size_t replicas = 30;
  // False: requests are placed as in services whose streams have one priority.
  bool admits_by_room = true;
  // Factor of the lengths of answers over the configured mean.
  double answer_factor = 1;
  duration engine_constant = 100ms;  // part of the time to the first event that is not configured
  std::uint64_t seed = 1;
  room_settings room = {};
};

// Answers to the callers of one priority.
struct overload_result {
  std::size_t arrived = 0;
  std::size_t timely = 0;  // first event within the objective, counted from the first attempt
  std::size_t late = 0;
  std::size_t refused = 0;
};

class overload_simulation {
 public:
  static constexpr std::size_t priorities = 3;
  // Part of the arrivals, objective and value of a timely answer.
  static constexpr std::array<double, priorities> mix = {0.3, 0.4, 0.3};
  static constexpr std::array<duration, priorities> objectives = {400ms, 800ms, 2s};
  static constexpr std::array<double, priorities> values = {4, 2, 1};

  // The last workspace sends five times as much as each of the others.
  static constexpr std::size_t workspaces = 6;

  explicit overload_simulation(const overload_settings& settings)
      : settings_(settings), random_(settings.seed) {
    for (std::size_t i = 0; i < settings.replicas; ++i) {
      serving_replica replica;
      replica.head = target_id{"h" + std::to_string(i)};
      replica.data_centre = data_centre_id{"a"};
      replica.model = model().id;
      replicas_.push_back(replica);
      heads_.emplace_back();
    }
    reported_.resize(settings.nodes, std::vector<replica_load>(settings.replicas));
    nodes_.resize(settings.nodes);
    for (std::size_t i = 0; i < settings.nodes; ++i) {
      at(random_.jitter(heartbeat_interval), [this, i] { report(i); });
      at(random_.jitter(heartbeat_interval), [this, i] { receive(i); });
    }
  }

  static const model_spec& model() {
    static const model_spec spec{model_id{"m"}, 4, 1, 1.0, 16s, 1600ms};
    return spec;
  }

  static model_key model_name() { return {service_id{"s"}, model().id}; }

  static engine_parameters engine() {
    engine_parameters e;
    e.slots = 26;
    e.decode_steps_per_pass = 7;
    e.step = 5950us;
    e.step_per_sequence_ms = 0.0445;
    e.context_ms_per_1k_tokens = 0.00813;
    e.prefill_tokens_per_s = 50700;
    e.attention_ms_per_million_pairs = 0.368;
    e.mean_prompt_tokens = 1115;
    e.mean_answer_tokens = 178;
    e.cross_domain_slowdown_factor = 2.5;
    e.models = {model()};
    return e;
  }

  // Requests per second that the replicas complete with nine tenths of their slots taken.
  [[nodiscard]] double capacity() const {
    const engine_parameters e = engine();
    const double active = 0.9 * e.slots;
    const double step_s = to_seconds(e.step) + e.step_per_sequence_ms / 1000 * active;
    // Prompts of the other requests are read between the passes of each request.
    const double request_s =
        to_seconds(settings_.engine_constant) +
        (e.mean_answer_tokens / e.decode_steps_per_pass + 1.5) * e.decode_steps_per_pass * step_s +
        active * e.mean_prompt_tokens / e.prefill_tokens_per_s;
    return static_cast<double>(settings_.replicas) * active / request_s;
  }

  // Callers send `per_second` requests of each priority for this time. Returns the number of the
  // phase, for results().
  std::size_t run(duration time, const std::array<double, priorities>& per_second) {
    const time_point end = now_ + time;
    results_.emplace_back();
    workspace_results_.emplace_back();
    const std::size_t phase = results_.size() - 1;
    for (std::size_t p = 0; p < priorities; ++p) {
      if (per_second[p] > 0) {
        schedule_arrival(p, per_second[p], end, phase);
      }
    }
    advance(end);
    return phase;
  }
  std::size_t run(duration time, double times_capacity) {
    std::array<double, priorities> rates = mix;
    for (double& rate : rates) {
      rate *= times_capacity * capacity();
    }
    return run(time, rates);
  }

  using results_by_priority = std::array<overload_result, priorities>;
  // Of the requests that arrived in a phase, as far as they are answered.
  [[nodiscard]] const results_by_priority& results(std::size_t phase) const {
    return results_[phase];
  }

  // Part of the slots that are taken now.
  [[nodiscard]] double slots_taken() const {
    double active = 0;
    for (const head& h : heads_) {
      active += static_cast<double>(
          std::min<std::size_t>(h.running.size() + h.waiting.size(), engine().slots));
    }
    return active / (static_cast<double>(settings_.replicas) * engine().slots);
  }
  // Least part of the slots that a node knew as taken when it refused a request.
  [[nodiscard]] double least_taken_at_refusal() const { return least_taken_at_refusal_; }
  [[nodiscard]] std::size_t longest_queue() const { return longest_queue_; }

  // Answered requests by workspace, of those of one priority that arrived in a phase.
  [[nodiscard]] const std::array<overload_result, workspaces>& workspace_results(
      std::size_t phase, std::size_t priority) const {
    return workspace_results_[phase][priority];
  }

  static double value_of(const results_by_priority& results) {
    double value = 0;
    for (std::size_t p = 0; p < priorities; ++p) {
      value += values[p] * (static_cast<double>(results[p].timely) +
                            0.2 * static_cast<double>(results[p].late));
    }
    return value;
  }

 private:
  static constexpr duration heartbeat_interval = 200ms;
  static constexpr std::size_t queue_limit = 24;  // requests beyond the slots of a head

  struct call {
    std::size_t node{};
    std::size_t priority{};
    std::size_t workspace{};
    generation_size size;
    time_point first_attempt{};
    time_point sent{};
    std::size_t head{};
    std::size_t phase{};
    replica_estimate expected;
    bool is_retry = false;
    bool had_first_event = false;
    std::vector<target_id> avoided;
    double unread{};
    double left{};
  };
  using call_ptr = std::shared_ptr<call>;  // of events in the queue and of the head
  struct head {
    std::deque<call_ptr> waiting;
    std::vector<call_ptr> running;
    bool is_in_pass = false;
  };
  struct node {
    load_table loads;
    demand_table demand;
    demand_trend trend;
    workspace_shares shares;
    latency_calibration calibration;
  };
  struct event {
    time_point at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void at(duration delay, std::function<void()> action) {
    events_.push({now_ + delay, ++order_, std::move(action)});
  }
  void advance(time_point end) {
    while (!events_.empty() && events_.top().at <= end) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.action();
    }
    now_ = end;
  }

  void count(const call& c, std::size_t overload_result::*part) {
    ++(results_[c.phase][c.priority].*part);
    ++(workspace_results_[c.phase][c.priority][c.workspace].*part);
  }

  void schedule_arrival(std::size_t priority, double per_second, time_point end,
                        std::size_t phase) {
    const duration gap = from_seconds(-std::log(1 - random_.unit()) / per_second);
    if (now_ + gap >= end) {
      return;
    }
    at(gap, [=, this] {
      arrive(priority, phase);
      schedule_arrival(priority, per_second, end, phase);
    });
  }

  void arrive(std::size_t priority, std::size_t phase) {
    auto c = std::make_shared<call>();
    c->node = random_.below(settings_.nodes);
    c->priority = priority;
    c->workspace = std::min<std::size_t>(random_.below(workspaces + 4), workspaces - 1);
    c->phase = phase;
    // Means of 1,115 and 178 tokens; a few requests are several times as large.
    const double skew = random_.unit() < 0.1 ? 3 : 0.778;
    c->size = {skew * (600 + random_.unit() * 1030),
               settings_.answer_factor * (78 + random_.unit() * 200)};
    c->first_attempt = now_;
    count(*c, &overload_result::arrived);
    submit(c);
  }

  // ---- nodes ----

  void submit(const call_ptr& c) {
    node& n = nodes_[c->node];
    const auto priority = static_cast<std::uint32_t>(c->priority);
    n.demand.count_call(now_, {model_name(), priority}, c->size, objectives[c->priority]);
    n.shares.count_call(now_, {model_name(), priority}, workspace_of(*c));
    place(c, true);
  }

  void place(const call_ptr& c, bool may_refuse) {
    node& n = nodes_[c->node];
    const duration time_left = c->first_attempt + 8s - now_;
    choice_request request;
    request.home = data_centre_id{"a"};
    request.size = c->size;
    request.time_left = time_left;
    request.avoided = c->avoided;
    request.random_sample = random_.unit();
    std::vector<double> can_take;
    if (settings_.admits_by_room) {
      admission_plan plan = plan_for(n, *c);
      class_admission* own = plan.find(static_cast<std::uint32_t>(c->priority));
      if (may_refuse && own != nullptr &&
          random_.unit() >= n.shares.fraction(now_, {model_name(), own->priority}, workspace_of(*c),
                                              own->fraction)) {
        least_taken_at_refusal_ = std::min(least_taken_at_refusal_, plan.active / plan.slots);
        refuse(c, retry_delay(plan, time_left, random_.unit()));
        return;
      }
      if (plan.is_short && own != nullptr) {
        can_take = own->can_take_by_replica;
      }
      request.can_take = can_take;
      request.first_event_correction = n.calibration.correction(model_name()).first_event;
    }
    const replica_choice choice = choose_replica(engine(), model(), replicas_, n.loads, request);
    if (const auto* none = std::get_if<no_replica>(&choice)) {
      refuse(c, none->retry_after);
      return;
    }
    const chosen_replica& chosen = std::get<chosen_replica>(choice);
    c->head = chosen.index;
    c->expected = chosen.expected;
    c->sent = now_;
    n.loads.sent(replicas_[c->head].head, c->size);
    at(settings_.engine_constant, [this, c] { enter(c); });
  }

  static workspace_id workspace_of(const call& c) {
    return workspace_id{"w" + std::to_string(c.workspace)};
  }

  admission_plan plan_for(node& n, const call& c) {
    std::vector<known_replica> known;
    for (const serving_replica& replica : replicas_) {
      const bool allowed =
          std::find(c.avoided.begin(), c.avoided.end(), replica.head) == c.avoided.end();
      known.push_back({n.loads.total(replica.head), 1, false, allowed});
    }
    if (n.trend.is_due(now_)) {
      n.trend.update(now_, n.demand.all(now_));
    }
    return plan_admission(engine(), model(), known,
                          request_classes(n.trend.current(), model_name()),
                          n.calibration.correction(model_name()), settings_.room);
  }

  void refuse(const call_ptr& c, duration retry_after) {
    const duration time_left = c->first_attempt + 8s - now_;
    if (c->is_retry || retry_after > time_left / 3) {
      count(*c, &overload_result::refused);
      return;
    }
    c->is_retry = true;
    c->avoided.clear();
    at(retry_after, [this, c] { submit(c); });
  }

  // Each node reports to the hub, and learns from it what the others have reported, every 200 ms.
  void report(std::size_t i) {
    node& n = nodes_[i];
    for (std::size_t r = 0; r < replicas_.size(); ++r) {
      const auto found = n.loads.own().find(replicas_[r].head);
      reported_[i][r] = found == n.loads.own().end() ? replica_load{} : found->second;
    }
    hub_demand_.set_peer_demand(now_, node_id{std::to_string(i)}, load_scope::node,
                                n.demand.own(now_));
    at(heartbeat_interval, [this, i] { report(i); });
  }
  void receive(std::size_t i) {
    if (now_ - hub_summed_at_ >= 10ms) {  // a sum for each node would take most of the test's time
      hub_summed_at_ = now_;
      hub_loads_.assign(replicas_.size(), {});
      for (const auto& loads : reported_) {
        for (std::size_t r = 0; r < replicas_.size(); ++r) {
          hub_loads_[r].active += loads[r].active;
          hub_loads_[r].pending_prefill_tokens += loads[r].pending_prefill_tokens;
        }
      }
      hub_demand_sum_ = hub_demand_.all(now_);
      reported_at_sum_ = reported_;
    }
    std::map<target_id, replica_load> others;
    for (std::size_t r = 0; r < replicas_.size(); ++r) {
      const replica_load& own = reported_at_sum_[i][r];
      others[replicas_[r].head] = {
          hub_loads_[r].active - own.active,
          hub_loads_[r].pending_prefill_tokens - own.pending_prefill_tokens};
    }
    nodes_[i].loads.set_peer_loads(node_id{"hub"}, data_centre_id{"a"}, load_scope::deployment,
                                   now_, std::move(others));
    nodes_[i].demand.set_peer_demand(now_, node_id{"hub"}, load_scope::deployment, hub_demand_sum_);
    at(heartbeat_interval, [this, i] { receive(i); });
  }

  // ---- replicas ----

  void enter(const call_ptr& c) {
    head& h = heads_[c->head];
    if (h.running.size() + h.waiting.size() >= engine().slots + queue_limit) {
      nodes_[c->node].loads.ended(replicas_[c->head].head, c->size, false);
      c->avoided.push_back(replicas_[c->head].head);
      if (c->avoided.size() < 6) {
        place(c, false);
      } else {
        refuse(c, 400ms);
      }
      return;
    }
    c->unread = c->size.prompt_tokens;
    c->left = c->size.answer_tokens;
    h.waiting.push_back(c);
    longest_queue_ = std::max(longest_queue_, h.waiting.size());
    if (!h.is_in_pass) {
      begin_pass(c->head);
    }
  }

  void begin_pass(std::size_t index) {
    head& h = heads_[index];
    const engine_parameters e = engine();
    while (h.running.size() < e.slots && !h.waiting.empty()) {
      h.running.push_back(h.waiting.front());
      h.waiting.pop_front();
    }
    h.is_in_pass = !h.running.empty();
    if (!h.is_in_pass) {
      return;
    }
    constexpr double prompt_tokens_per_pass = 4096;
    double read = 0;
    double generating = 0;
    for (const call_ptr& c : h.running) {
      const double tokens = std::min(c->unread, prompt_tokens_per_pass - read);
      c->unread -= tokens;
      read += tokens;
      generating += c->unread <= 0 ? 1 : 0;
    }
    const double step_s = to_seconds(e.step) + e.step_per_sequence_ms / 1000 * generating;
    const double pass_s = read / e.prefill_tokens_per_s + e.decode_steps_per_pass * step_s;
    at(from_seconds(pass_s), [this, index] { end_pass(index); });
  }

  void end_pass(std::size_t index) {
    head& h = heads_[index];
    std::erase_if(h.running, [this](const call_ptr& c) {
      if (c->unread > 0) {
        return false;
      }
      if (!c->had_first_event) {
        on_first_event(*c);
      }
      c->left -= engine().decode_steps_per_pass;
      if (c->left <= 0) {
        nodes_[c->node].loads.ended(replicas_[c->head].head, c->size, true);
        nodes_[c->node].calibration.observe_request(model_name(), c->expected.request_time,
                                                    now_ - c->sent);
      }
      return c->left <= 0;
    });
    begin_pass(index);
  }

  void on_first_event(call& c) {
    c.had_first_event = true;
    node& n = nodes_[c.node];
    const target_id& id = replicas_[c.head].head;
    const double load = std::max(c.expected.active, n.loads.total(id).active);
    if (load < 0.9 * engine().slots) {
      n.calibration.observe(model_name(), c.expected.modelled_first_event, now_ - c.sent);
    }
    n.loads.first_event(id, c.size);
    const bool timely = now_ - c.first_attempt <= objectives[c.priority];
    count(c, timely ? &overload_result::timely : &overload_result::late);
  }

  overload_settings settings_;
  rng random_;
  time_point now_{1000s};
  std::uint64_t order_ = 0;
  std::priority_queue<event> events_;
  std::vector<serving_replica> replicas_;
  std::vector<head> heads_;
  std::vector<node> nodes_;
  std::vector<std::vector<replica_load>> reported_;
  std::vector<std::vector<replica_load>> reported_at_sum_;
  std::vector<replica_load> hub_loads_;
  time_point hub_summed_at_{};
  demand_table hub_demand_;
  model_demand hub_demand_sum_;
  std::vector<results_by_priority> results_;
  std::vector<std::array<std::array<overload_result, workspaces>, priorities>> workspace_results_;
  double least_taken_at_refusal_ = 1;
  std::size_t longest_queue_ = 0;
};

}  // namespace arbutus
