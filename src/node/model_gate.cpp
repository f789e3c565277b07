// Admission, routing and retries of one model, shared by the workers.
#include "node/model_gate.h"

#include <algorithm>

#include "base/hash.h"
#include "connection/clock.h"

namespace arbutus {

namespace {

// How often the queue is checked for requests that can no longer be served in time; their rejection
// is delayed by this at most.
constexpr duration queue_sweep_interval = 10ms;

// Sent as Retry-After if all replicas are leaving: about the time until others are formed.
constexpr duration leaving_retry_after = 2s;

}  // namespace

// Ends the wait of the request's fiber, and notifies it while holding the lock: as soon as the
// waiting fiber sees the result, it may return and destroy this object, so no member may be used
// after the lock is released.
void admission_waiter::finish(admission_outcome how) {
  const std::lock_guard guard(lock_);
  if (outcome_) {
    return;
  }
  outcome_ = how;
  changed_.notify_all();
}

admission_outcome admission_waiter::wait() {
  std::unique_lock guard(lock_);
  changed_.wait(guard, [this] { return outcome_.has_value(); });
  return *outcome_;
}

model_gate::model_gate(fiber_runtime& runtime, route_backoffs& backoffs, model_id model,
                       std::uint64_t seed)
    : runtime_(runtime),
      backoffs_(backoffs),
      model_(std::move(model)),
      router_(seed),
      random_(seed + 1) {}

void model_gate::apply_capacity(time_point now, const node_view& view) {
  router_.set_nodes(view.live_nodes);
  const auto permitted = backoffs_.without_restrained(now, view.routes);
  const slot_count slots = usable_slots(now, permitted ? *permitted : view.routes, model_,
                                        in_flight_requests_, view.live_nodes);
  start(admission_.update_capacity_and_start_next(
      now, {slots.free_slots, slots.slots, duration::zero()}));
}

void model_gate::start(const std::vector<request_id>& ids) {
  for (const request_id& id : ids) {
    const auto found = waiters_.find(id);
    if (found != waiters_.end()) {
      found->second->finish({admission_outcome::kind::admitted, {}});
      waiters_.erase(found);
    }
  }
}

void model_gate::refuse(const rejection& one) {
  const auto found = waiters_.find(one.id);
  if (found != waiters_.end()) {
    found->second->finish({admission_outcome::kind::rejected, one.why});
    waiters_.erase(found);
  }
}

void model_gate::refuse(const std::vector<rejection>& list) {
  for (const rejection& one : list) {
    refuse(one);
  }
}

admission_outcome model_gate::enter(const node_view& view, const request_facts& facts,
                                    admission_waiter& waiter) {
  {
    const std::lock_guard guard(lock_);
    const time_point now = monotonic_now();
    apply_capacity(now, view);
    const submit_result result = admission_.submit(now, facts);
    if (result.displaced) {
      refuse(*result.displaced);
    }
    if (std::holds_alternative<admitted>(result.decision)) {
      return {admission_outcome::kind::admitted, {}};
    }
    if (const auto* why = std::get_if<rejected>(&result.decision)) {
      return {admission_outcome::kind::rejected, *why};
    }
    waiters_.emplace(facts.id, &waiter);
    start_queue_sweep();
  }
  const admission_outcome end = waiter.wait();
  if (end.what == admission_outcome::kind::abandoned) {
    const std::lock_guard guard(lock_);
    waiters_.erase(facts.id);
    start(admission_.abandon_and_start_next(monotonic_now(), facts.id));
  }
  return end;
}

void model_gate::leave(const request_id& id, bool served) {
  const std::lock_guard guard(lock_);
  start(admission_.finish_and_start_next(monotonic_now(), id, served));
}

void model_gate::start_queue_sweep() {
  if (queue_sweep_running_) {
    return;
  }
  queue_sweep_running_ = true;
  runtime_.post(0, [this] { sweep_queue(); });
}

// Periodically rejects waiting requests that became too late. Runs only while requests wait, so
// that it costs an idle node nothing.
void model_gate::sweep_queue() {
  while (sleep_until(monotonic_now() + queue_sweep_interval)) {
    const std::lock_guard guard(lock_);
    const time_point now = monotonic_now();
    if (view_) {
      apply_capacity(now, *view_);
      refuse_waiting_if_all_restrained(now, *view_);
    }
    refuse(admission_.tick(now));
    if (waiters_.empty()) {
      queue_sweep_running_ = false;
      return;
    }
  }
}

// Requests would otherwise wait until their deadline for a replica that takes none before.
void model_gate::refuse_waiting_if_all_restrained(time_point now, const node_view& view) {
  while (!waiters_.empty()) {
    const auto wait = backoffs_.retry_after(now, view.routes, model_, leaving_retry_after);
    if (!wait) {
      return;
    }
    const request_id id = waiters_.begin()->first;
    refuse({id, {reject_reason::no_capacity, *wait}});
    start(admission_.abandon_and_start_next(now, id));
  }
}

std::optional<duration> model_gate::retry_after_restraint(const node_view& view) {
  return backoffs_.retry_after(monotonic_now(), view.routes, model_, leaving_retry_after);
}

std::optional<route_choice> model_gate::choose(time_point now, const node_view& view,
                                               const request_facts& facts,
                                               std::span<const replica_id> tried) {
  const std::lock_guard guard(lock_);
  const auto permitted = backoffs_.without_restrained(now, view.routes);
  return router_.choose(now, permitted ? *permitted : view.routes, facts, in_flight_requests_,
                        tried);
}

std::uint32_t model_gate::attempt_sent(time_point now, const replica_id& replica,
                                       const request_facts& facts) {
  const std::lock_guard guard(lock_);
  in_flight_requests_.sent(now, facts.id, replica, facts.cost);
  router_.sent(now, replica, facts);
  return in_flight_requests_.count(replica);
}

void model_gate::first_token_received(time_point now, const request_facts& facts,
                                      std::string_view request_class, duration latency) {
  const std::lock_guard guard(lock_);
  admission_.first_token(now, facts.id);
  hedging_.observe(request_class, latency);
}

std::uint32_t model_gate::attempt_ended(time_point now, const request_facts& facts,
                                        const attempt_result& result) {
  const std::lock_guard guard(lock_);
  in_flight_requests_.ended(now, facts.id, result.replica);
  router_.observe(now, result);
  return in_flight_requests_.count(result.replica);
}

void model_gate::first_attempt(time_point now) {
  const std::lock_guard guard(lock_);
  budget_.first_attempt(now);
}

retry_decision model_gate::retry(time_point now, const attempt_context& context, execution last,
                                 const request_facts& facts) {
  const std::lock_guard guard(lock_);
  const duration needed = admission_.service_time(facts.cost);
  return decide_retry(now, context, last, facts.repeatable, facts.deadline, needed, budget_,
                      random_);
}

std::optional<time_point> model_gate::hedge_decision_time(std::string_view request_class,
                                                          time_point sent) {
  const std::lock_guard guard(lock_);
  return hedging_.hedge_at(request_class, sent);
}

bool model_gate::decide_hedge(time_point now, std::string_view request_class, time_point sent,
                              const attempt_context& context, const request_facts& facts) {
  const std::lock_guard guard(lock_);
  return hedging_.decide(now, request_class, sent, context, facts.repeatable, facts.deadline);
}

duration model_gate::expected_wait(const request_facts& facts) {
  const std::lock_guard guard(lock_);
  return admission_.expected_wait(facts);
}

std::uint32_t model_gate::in_flight_at(const replica_id& replica) {
  const std::lock_guard guard(lock_);
  return in_flight_requests_.count(replica);
}

std::size_t model_gate::waiting() {
  const std::lock_guard guard(lock_);
  return admission_.waiting();
}

std::size_t model_gate::running() {
  const std::lock_guard guard(lock_);
  return admission_.running();
}

// A replica that was formed again under the same id has an empty cache, another speed and none of
// the requests that were counted for its previous generation.
void model_gate::reset_reformed_replicas(const routing_snapshot& routes) {
  for (const replica_route& route : routes.replicas) {
    if (route.model != model_) {
      continue;
    }
    const auto [known, is_new] =
        replica_generations_.try_emplace(route.id, route.fencing_generation);
    if (is_new || known->second == route.fencing_generation) {
      continue;
    }
    known->second = route.fencing_generation;
    router_.forget(route.id);
    in_flight_requests_.forget(route.id);
  }
}

void model_gate::refresh(const std::shared_ptr<const node_view>& view) {
  const std::lock_guard guard(lock_);
  view_ = view;
  reset_reformed_replicas(view->routes);
  const time_point now = monotonic_now();
  apply_capacity(now, *view);
  refuse(admission_.tick(now));
}

void model_gate::set_workspace_shares(const rules& desired) {
  const std::lock_guard guard(lock_);
  for (const workspace_rule& workspace : desired.workspaces) {
    admission_.set_share(workspace.id, workspace.share);
  }
}

model_gate& model_gates::gate_of(const model_id& model) {
  const std::lock_guard guard(lock_);
  std::unique_ptr<model_gate>& gate = gates_[model];
  if (!gate) {
    gate =
        std::make_unique<model_gate>(runtime_, backoffs_, model, stable_hash(model.str(), seed_));
  }
  return *gate;
}

void model_gates::refresh(const std::shared_ptr<const node_view>& view) {
  if (!view->config) {
    return;
  }
  for (const model_rule& model : view->config->desired.models) {
    gate_of(model.id);
  }
  const std::lock_guard guard(lock_);
  const bool new_config = view->config->version != config_version_;
  config_version_ = view->config->version;
  for (const auto& [id, gate] : gates_) {
    if (new_config) {
      gate->set_workspace_shares(view->config->desired);
    }
    gate->refresh(view);
  }
}

std::uint32_t model_gates::in_flight_at(const replica_route& route) {
  return gate_of(route.model).in_flight_at(route.id);
}

}  // namespace arbutus
