// Simulation of admission to the slots of one model.
#include <algorithm>
#include <cmath>
#include <deque>
#include <unordered_map>

#include "admission/admission.h"
#include "base/hash.h"
#include "base/rng.h"
#include "request/event_queue.h"
#include "request/policy_bench.h"

namespace arbutus {

namespace {

constexpr duration tick_interval = 20ms;

double exponential(rng& random, double mean) {
  return -mean * std::log(1.0 - random.unit());
}

double quantile(std::vector<double>& values, double q) {
  if (values.empty()) {
    return 0;
  }
  const auto at = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
  return values[at];
}

struct pending {
  std::size_t workspace{};
  time_point arrival;
  time_point deadline;
  duration service{};
};

class admission_run {
 public:
  admission_run(const admission_load& load, std::uint64_t seed)
      : load_(load), random_(seed), samples_(load.workspaces.size()) {
    figures_.workspaces.resize(load.workspaces.size());
    for (const workspace_load& w : load.workspaces) {
      admission_.set_share(workspace_id(w.name), w.share);
    }
  }

  admission_figures run() {
    // The queue is empty, so no request starts; the call only sets the capacity.
    start(time_point{},
          admission_.update_capacity_and_start_next(time_point{}, {load_.slots, load_.slots, 0us}));
    baseline_free_slots_ = load_.slots;
    for (std::size_t i = 0; i < load_.workspaces.size(); ++i) {
      schedule_arrival(time_point{}, i);
    }
    events_.at(time_point{} + tick_interval, [this](time_point now) { tick(now); });
    events_.run_until(time_point{} + load_.length);
    return summary();
  }

 private:
  struct workspace_samples {
    std::vector<double> waits;
    std::vector<double> answers;
    std::vector<double> refusals;
  };

  void schedule_arrival(time_point now, std::size_t workspace) {
    const double mean = 1.0 / load_.workspaces[workspace].per_second;
    events_.at(now + from_seconds(exponential(random_, mean)), [this, workspace](time_point at) {
      arrive(at, workspace);
      schedule_arrival(at, workspace);
    });
  }

  void arrive(time_point now, std::size_t workspace) {
    const double cost = 0.5 + random_.unit();
    const double cost_ratio = 0.5 + random_.unit();  // ratio of the actual to the estimated cost
    const request_id id(std::to_string(++last_id_));
    const duration service =
        from_seconds(to_seconds(load_.mean_service_time_per_cost) * cost * cost_ratio);
    requests_[id] = {workspace, now, now + load_.deadline, service};
    ++figures_.workspaces[workspace].submitted;
    if (load_.first_come_first_served) {
      baseline_queue_.push_back(id);
      start_in_arrival_order(now);
      return;
    }
    request_facts facts;
    facts.id = id;
    facts.workspace = workspace_id(load_.workspaces[workspace].name);
    facts.arrival = now;
    facts.deadline = now + load_.deadline;
    facts.cost = cost;
    const submit_result result = admission_.submit(now, facts);
    if (result.displaced) {
      refuse(now, result.displaced->id);
    }
    if (std::holds_alternative<admitted>(result.decision)) {
      start(now, {id});
    } else if (std::holds_alternative<rejected>(result.decision)) {
      refuse(now, id);
    }
  }

  void start(time_point now, const std::vector<request_id>& ids) {
    for (const request_id& id : ids) {
      const pending& p = requests_.at(id);
      samples_[p.workspace].waits.push_back(to_seconds(now - p.arrival));
      figures_.signature = stable_hash(id.str(), figures_.signature);
      events_.at(now + p.service, [this, id](time_point at) { end(at, id); });
    }
  }

  void start_in_arrival_order(time_point now) {
    while (baseline_free_slots_ > 0 && !baseline_queue_.empty()) {
      --baseline_free_slots_;
      const request_id id = baseline_queue_.front();
      baseline_queue_.pop_front();
      start(now, {id});
    }
  }

  void end(time_point now, const request_id& id) {
    const pending p = requests_.at(id);
    requests_.erase(id);
    workspace_figures& w = figures_.workspaces[p.workspace];
    const bool in_time = now <= p.deadline;
    ++(in_time ? w.useful : w.late);
    figures_.useful += in_time ? 1 : 0;
    useful_time_ += in_time ? to_seconds(p.service) : 0;
    busy_time_ += to_seconds(p.service);
    samples_[p.workspace].answers.push_back(to_seconds(now - p.arrival));
    if (load_.first_come_first_served) {
      ++baseline_free_slots_;
      start_in_arrival_order(now);
    } else {
      start(now, admission_.finish_and_start_next(now, id));
    }
  }

  void refuse(time_point now, const request_id& id) {
    const pending& p = requests_.at(id);
    workspace_figures& w = figures_.workspaces[p.workspace];
    ++w.refused;
    w.refused_after_waiting += now - p.arrival > tick_interval ? 1 : 0;
    samples_[p.workspace].refusals.push_back(to_seconds(now - p.arrival));
    requests_.erase(id);
  }

  void tick(time_point now) {
    for (const rejection& r : admission_.tick(now)) {
      refuse(now, r.id);
    }
    events_.at(now + tick_interval, [this](time_point at) { tick(at); });
  }

  admission_figures summary() {
    const double slot_time = to_seconds(load_.length) * load_.slots;
    figures_.goodput = useful_time_ / slot_time;
    figures_.busy_slot_fraction = busy_time_ / slot_time;
    for (std::size_t i = 0; i < samples_.size(); ++i) {
      figures_.workspaces[i].p50_wait = quantile(samples_[i].waits, 0.5);
      figures_.workspaces[i].p99_wait = quantile(samples_[i].waits, 0.99);
      figures_.workspaces[i].p99_answer = quantile(samples_[i].answers, 0.99);
      figures_.workspaces[i].p99_refusal = quantile(samples_[i].refusals, 0.99);
    }
    return figures_;
  }

  admission_load load_;
  rng random_;
  admission admission_;
  event_queue events_;
  std::unordered_map<request_id, pending> requests_;
  std::deque<request_id> baseline_queue_;
  std::uint32_t baseline_free_slots_ = 0;
  std::uint64_t last_id_ = 0;
  double useful_time_ = 0;
  double busy_time_ = 0;
  std::vector<workspace_samples> samples_;
  admission_figures figures_;
};

}  // namespace

admission_figures run_admission(const admission_load& load, std::uint64_t seed) {
  return admission_run(load, seed).run();
}

}  // namespace arbutus
