// Admission control for one model at one node: a request starts now, waits or is refused.
//
// Waiting requests are queued per workspace. Weighted fair queueing over the requests' cost decides
// which workspace starts a request next; within a workspace the order is by priority, then by time
// of arrival. A request that cannot meet its deadline is refused immediately with the time until
// capacity is expected, so that its caller does not wait in vain.
//
// Not thread-safe: one object per model, protected by its shard's lock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "request/facts.h"

namespace arbutus {

enum class reject_reason {
  queue_full,   // the workspace has too many requests waiting
  too_late,     // the deadline cannot be met
  no_capacity,  // no replica serves the model
  displaced,    // removed from the queue for a request of higher priority of the same workspace
};

[[nodiscard]] std::string_view to_string(reject_reason reason);

// The request starts now.
struct admitted {};
// The request waits; its id is returned later by update_capacity_and_start_next(),
// finish_and_start_next() or tick().
struct queued {
  duration expected_wait{};  // estimated time until the request starts
};
// The request is proven not to have run; the caller is notified immediately.
struct rejected {
  reject_reason reason = reject_reason::too_late;
  duration retry_after{};
};
using admission_result = std::variant<admitted, queued, rejected>;

struct rejection {
  request_id id;
  rejected why;
};

struct submit_result {
  admission_result decision;
  std::optional<rejection> displaced;  // the waiting request that is refused to make room for it
};

// Capacity of the model's replicas that this node may use (see usable_slots in spill.h).
struct node_capacity {
  std::uint32_t free_slots{};  // requests that may start now in addition to those running
  std::uint32_t slots{};       // slots of all usable replicas; 0: no replica serves the model
  // Reported wait until a slot becomes free or, with no slots at all, until a replica serves the
  // model again (0: not known, and requests are refused).
  duration reported_delay{};
};

struct admission_settings {
  std::size_t max_queued_per_workspace = 512;
  // Assumed service time per unit of request cost until the first request has completed.
  duration initial_service_time_per_cost = 2s;
  double observation_weight = 0.05;  // weight of a new observation in the moving averages
  // A request is started only if it would end before its deadline after the mean service time plus
  // this many mean deviations of that time. A request that ends too late wastes capacity.
  double deadline_deviations = 1.0;
  duration min_retry_after = 200ms;
  duration max_retry_after = 30s;
};

class admission {
 public:
  explicit admission(const admission_settings& settings = {});

  // Share of a workspace in fair queueing (workspace_rule::share); 1 if never set.
  void set_share(const workspace_id& workspace, double share);

  [[nodiscard]] submit_result submit(time_point now, const request_facts& facts);

  // Sets the usable capacity. Returns the requests to start, in order; at most free_slots.
  [[nodiscard]] std::vector<request_id> update_capacity_and_start_next(
      time_point now, const node_capacity& capacity);

  // A started request ended. `served`: it ran to completion, so its time counts as an observation.
  // Returns the requests to start in its place.
  [[nodiscard]] std::vector<request_id> finish_and_start_next(time_point now, const request_id& id,
                                                              bool served = true);
  // The first token of a started request was sent.
  void first_token(time_point now, const request_id& id);
  // The caller disconnected. Returns the requests to start if a slot became free.
  [[nodiscard]] std::vector<request_id> abandon_and_start_next(time_point now,
                                                               const request_id& id);

  // Waiting requests that can no longer meet their deadline. Call at next_tick() or sooner.
  [[nodiscard]] std::vector<rejection> tick(time_point now);
  // When the next waiting request can no longer meet its deadline; time_point::max() if none waits.
  [[nodiscard]] time_point next_tick() const;

  // Expected wait of a request that arrives now.
  [[nodiscard]] duration expected_wait(const request_facts& facts) const;
  // Expected service time of a request of this cost in a replica.
  [[nodiscard]] duration service_time(double cost) const;
  [[nodiscard]] std::size_t waiting() const { return waiting_count_; }
  [[nodiscard]] std::size_t running() const { return running_.size(); }

 private:
  struct waiting_request {
    request_id id;
    double cost{};
    time_point start_by;  // misses its deadline when started later
  };
  struct running_request {
    time_point started;
    double cost{};
    bool has_first_token = false;
  };
  struct workspace_queue {
    double share = 1.0;  // weight in fair queueing: capacity is divided in proportion to it
    double virtual_finish_tag =
        0;  // virtual time at which the workspace's last started request finishes
    double queued_cost = 0;
    std::size_t count = 0;
    std::map<std::uint32_t, std::deque<waiting_request>> by_priority;  // no empty queues
  };
  // Moving mean and mean deviation of a measured time, as in TCP's retransmission timer.
  struct estimate {
    double mean{};
    double deviation{};
    void observe(double value, double weight);
  };

  [[nodiscard]] duration required_service_time(double cost) const;
  [[nodiscard]] time_point latest_start(const request_facts& facts) const;
  [[nodiscard]] double cost_completion_rate() const;
  [[nodiscard]] double queued_cost_ahead(const workspace_id& id, std::uint32_t priority,
                                         double cost) const;
  [[nodiscard]] double cost_started_before(const workspace_queue& own, double through) const;
  [[nodiscard]] rejected refuse(reject_reason reason, duration wait) const;
  [[nodiscard]] std::optional<rejection> displace(workspace_queue& queue, std::uint32_t priority);
  [[nodiscard]] workspace_queue* next_queue();
  [[nodiscard]] std::vector<request_id> start_waiting(time_point now);
  void enqueue(workspace_queue& queue, const request_facts& facts);
  void charge_workspace(workspace_queue& queue, double cost);
  void start(time_point now, const request_id& id, double cost);
  void remove_waiting(workspace_queue& queue, const waiting_request& request);

  admission_settings settings_;
  std::map<workspace_id, workspace_queue> queues_;
  std::unordered_map<request_id, running_request> running_;
  std::unordered_map<request_id, workspace_id> workspace_of_waiting_;
  // Requests found unable to meet their deadline while others were started; the next tick() returns
  // them.
  std::vector<rejection> pending_rejections_;
  std::size_t waiting_count_ = 0;  // == sum of the queues' counts
  double virtual_time_ = 0;
  node_capacity capacity_;
  estimate service_time_estimate_;  // seconds per unit of cost
  estimate first_token_estimate_;   // seconds from start
};

}  // namespace arbutus
