// The decisions about one model's requests at this node, under one lock: admission, choice of
// replica, retry budget, hedging. Exists as long as the process.
//
// A waiting request suspends its fiber; the worker that frees capacity wakes it.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <unordered_map>

#include "admission/admission.h"
#include "connection/fiber_runtime.h"
#include "node/control.h"
#include "node/route_backoffs.h"
#include "request/in_flight.h"
#include "request/retry.h"
#include "request/router.h"

namespace arbutus {

// How a request's wait for admission ended.
struct admission_outcome {
  enum class kind { admitted, rejected, abandoned } what = kind::admitted;
  rejected why;  // reason if `what` is rejected
};

// A request that waits in the queue. Allocated in the request's stack frame; must exist until
// enter() has returned.
class admission_waiter {
 public:
  // Makes enter() return, as the caller has disconnected or the node stops. May be called from any
  // thread.
  void abandon() { finish({admission_outcome::kind::abandoned, {}}); }

 private:
  friend class model_gate;
  void finish(admission_outcome how);
  admission_outcome wait();

  std::mutex lock_;
  boost::fibers::condition_variable_any changed_;
  std::optional<admission_outcome> outcome_;  // set once; later calls of finish() are ignored
};

class model_gate {
 public:
  model_gate(fiber_runtime& runtime, route_backoffs& backoffs, model_id model, std::uint64_t seed);

  // Suspends until the request may start, is rejected or its wait is abandoned.
  admission_outcome enter(const node_view& view, const request_facts& facts,
                          admission_waiter& waiter);
  // Releases the slot of an admitted request. `served`: the request was answered.
  void leave(const request_id& id, bool served);

  std::optional<route_choice> choose(time_point now, const node_view& view,
                                     const request_facts& facts, std::span<const replica_id> tried);
  // attempt_sent() and attempt_ended() return how many of this node's requests are now at the
  // replica.
  std::uint32_t attempt_sent(time_point now, const replica_id& replica, const request_facts& facts);
  void first_token_received(time_point now, const request_facts& facts,
                            std::string_view request_class, duration latency);
  std::uint32_t attempt_ended(time_point now, const request_facts& facts,
                              const attempt_result& result);

  // Counts a request's first attempt, which allows retries in proportion.
  void first_attempt(time_point now);
  // Whether and when a request whose last attempt failed may be sent again.
  retry_decision retry(time_point now, const attempt_context& context, execution last,
                       const request_facts& facts);
  // When to decide whether a slow request is also sent to a second replica (hedging), and the
  // decision.
  std::optional<time_point> hedge_decision_time(std::string_view request_class, time_point sent);
  bool decide_hedge(time_point now, std::string_view request_class, time_point sent,
                    const attempt_context& context, const request_facts& facts);

  // When the caller of a request that no replica may take should retry, if that is since all heads
  // of the model's replicas back off or are leaving; empty: for another reason.
  [[nodiscard]] std::optional<duration> retry_after_restraint(const node_view& view);

  [[nodiscard]] duration expected_wait(const request_facts& facts);
  [[nodiscard]] std::uint32_t in_flight_at(const replica_id& replica);
  [[nodiscard]] std::size_t waiting();  // requests in the queue
  [[nodiscard]] std::size_t running();  // admitted requests that have not ended

  // To be called with each new view, since the capacity may have changed.
  void refresh(const std::shared_ptr<const node_view>& view);
  void set_workspace_shares(const rules& desired);

 private:
  void apply_capacity(time_point now, const node_view& view);
  void reset_reformed_replicas(const routing_snapshot& routes);
  void start(const std::vector<request_id>& ids);
  void refuse(const std::vector<rejection>& list);
  void refuse(const rejection& one);
  void start_queue_sweep();
  void sweep_queue();
  void refuse_waiting_if_all_restrained(time_point now, const node_view& view);

  fiber_runtime& runtime_;
  route_backoffs& backoffs_;
  model_id model_;
  std::mutex lock_;  // guards all below
  admission admission_;
  expected_completion router_;
  in_flight in_flight_requests_;
  retry_budget budget_;
  hedging hedging_;
  rng random_;
  // Invariant: contains exactly the requests that wait in admission_.
  std::unordered_map<request_id, admission_waiter*> waiters_;
  std::shared_ptr<const node_view> view_;
  // Last known generation of each replica; removed replicas are kept.
  std::map<replica_id, generation> replica_generations_;
  bool queue_sweep_running_ =
      false;  // a fiber periodically rejects waiting requests that became too late
};

// The gates of all models; created on first use and kept as long as the process runs.
class model_gates {
 public:
  model_gates(fiber_runtime& runtime, route_backoffs& backoffs, std::uint64_t seed)
      : runtime_(runtime), backoffs_(backoffs), seed_(seed) {}

  model_gate& gate_of(const model_id& model);
  void refresh(const std::shared_ptr<const node_view>& view);
  // Requests that this node has at a replica, over all models.
  [[nodiscard]] std::uint32_t in_flight_at(const replica_route& route);

 private:
  fiber_runtime& runtime_;
  route_backoffs& backoffs_;
  std::uint64_t seed_;
  std::mutex lock_;
  std::map<model_id, std::unique_ptr<model_gate>> gates_;
  std::uint64_t config_version_ = 0;  // configuration version whose workspace shares were set last
};

}  // namespace arbutus
