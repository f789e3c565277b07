// Runs one round of one variant of an experiment.
#include "load/variant_run.h"

#include <algorithm>
#include <limits>
#include <thread>

#include "base/hash.h"
#include "connection/clock.h"

namespace arbutus {

namespace {

constexpr std::size_t caller_workers = 2;
constexpr duration ready_timeout = 30s;
constexpr std::chrono::milliseconds poll_interval{5};
// How long after its timeout a call may still be running before the load run stops waiting for it.
constexpr duration hung_call_grace = 5s;
constexpr std::size_t idle_connections = 512;
constexpr std::uint32_t unlimited_faults = 1'000'000;

const std::string booking_path = std::string(fleet_service_path) + "/job-cards";

http_client_limits caller_limits() {
  http_client_limits limits;
  limits.max_idle_per_target = idle_connections;
  return limits;
}

std::optional<guarantee> expected_violation_for(checker_test_kind check) {
  switch (check) {
    case checker_test_kind::none:
      break;
    case checker_test_kind::swapped:
    case checker_test_kind::duplicated:
      return guarantee::complete_means_correct;
    case checker_test_kind::repeated:
      return guarantee::at_most_once;
  }
  return std::nullopt;
}

bool is_direct(const variant& variant_spec) {
  return variant_spec.target != call_target::nodes ||
         variant_spec.checker_test != checker_test_kind::none;
}

}  // namespace

variant_run::variant_run(const experiment& experiment_spec, const variant& variant_spec,
                         std::uint32_t round)
    : experiment_(experiment_spec),
      variant_(variant_spec),
      round_(round),
      planned_calls_(plan_calls(experiment_spec.work, variant_spec, experiment_spec.seed + round)),
      callers_(caller_workers),
      checker_(experiment_spec.model, service_id{fleet_service_name}, booking_path) {
  result_.name = variant_spec.name;
  result_.excluded_workspace = experiment_spec.excluded_workspace;
  result_.rounds = 1;
  result_.expected_violation = expected_violation_for(variant_spec.checker_test);
  for (std::size_t i = 0; i < caller_workers; ++i) {
    worker_results_.push_back(std::make_unique<worker_result>());
  }
}

variant_run::~variant_run() {
  client_.reset();
  callers_.stop();
  callers_.join();
}

variant_result variant_run::run(const std::function<void(const load_progress&)>& on_progress) {
  callers_.run();
  client_ = std::make_unique<http_client>(callers_, caller_limits());
  if (!bring_up()) {
    return std::move(result_);
  }
  find_targets();
  disable_safeguard();
  start_callers();
  run_timeline(on_progress);
  for (const auto& part : worker_results_) {
    const std::lock_guard guard(part->lock);
    result_ += part->result;
  }
  check_executions();
  result_.add(checker_);
  return std::move(result_);
}

bool variant_run::bring_up() {
  if (!experiment_.nodes.empty()) {
    return true;
  }
  fleet_spec fleet_config = experiment_.fleet_config;
  if (variant_.node_workers != 0) {
    fleet_config.node_workers = variant_.node_workers;
  }
  const double first_workspace_share = fleet_config.workspaces.front().share;
  fleet_ = std::make_unique<fleet>(std::move(fleet_config));
  const std::uint64_t version = fleet_->apply(first_workspace_share);
  if (version == 0) {
    result_.problems.emplace_back("the configuration was not accepted");
    return false;
  }
  const time_point deadline = monotonic_now() + ready_timeout;
  while (!fleet_->is_active_on_all_nodes(version) ||
         fleet_->serving_replicas() < fleet_->desired_replicas()) {
    if (monotonic_now() > deadline) {
      result_.problems.emplace_back("only " + std::to_string(fleet_->serving_replicas()) +
                                    " replicas serve after 30 s");
      return false;
    }
    std::this_thread::sleep_for(poll_interval);
  }
  return true;
}

void variant_run::find_targets() {
  if (!fleet_) {
    for (const endpoint& e : experiment_.nodes) {
      targets_.push_back({e.host, e.port});
    }
  } else if (is_direct(variant_)) {
    for (const fleet::replica_head& head : fleet_->heads()) {
      targets_.push_back(head.address);
      target_vms_.push_back(head.vm);
    }
  } else {
    for (std::size_t i = 0; i < fleet_->nodes().size(); ++i) {
      targets_.push_back(fleet_->caller_address(i));
    }
  }
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    excluded_nodes_.push_back(std::make_unique<std::atomic<bool>>(false));
  }
}

// Makes the stand-ins swap or duplicate answers, which a node would prevent, to verify that the
// checker detects it.
void variant_run::disable_safeguard() {
  standin::pending_answer_faults faults;
  faults.swapped = variant_.checker_test == checker_test_kind::swapped ? unlimited_faults : 0;
  faults.duplicated = variant_.checker_test == checker_test_kind::duplicated ? unlimited_faults : 0;
  for (const vm_id& vm : target_vms_) {
    fleet_->standins().set_answer_faults(vm, faults);
  }
}

void variant_run::start_callers() {
  const bool closed = experiment_.work.arrivals == arrival_kind::closed;
  const std::size_t generators = closed ? experiment_.work.callers : caller_workers;
  starting_fibers_ = generators;
  start_ = monotonic_now();
  for (std::size_t i = 0; i < generators; ++i) {
    const std::size_t worker = i % caller_workers;
    callers_.post(worker, [this, worker, i, closed] {
      if (closed) {
        run_closed_loop(worker, i);
      } else {
        run_open_loop(worker);
      }
      --starting_fibers_;
    });
  }
}

// Open loop: starts every call at its planned time, whether earlier calls have ended or not.
void variant_run::run_open_loop(std::size_t worker) {
  for (std::size_t i = worker; i < planned_calls_.size(); i += caller_workers) {
    const planned_call& planned = planned_calls_[i];
    const time_point intended = start_ + planned.at;
    if (intended > monotonic_now() && !sleep_until(intended)) {
      return;
    }
    ++begun_calls_;
    callers_.post(worker, [this, worker, &planned, intended] { call(worker, planned, intended); });
  }
}

void variant_run::run_closed_loop(std::size_t worker, std::size_t first) {
  const time_point end = start_ + experiment_.work.warm_up + experiment_.work.length;
  for (std::size_t i = first;; i += experiment_.work.callers) {
    const time_point now = monotonic_now();
    if (now >= end) {
      return;
    }
    ++begun_calls_;
    call(worker, planned_calls_[i % planned_calls_.size()], now);
  }
}

std::size_t variant_run::least_loaded_target() {
  std::size_t best = 0;
  std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
  const std::size_t first = next_target_++ % targets_.size();
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    const std::size_t candidate = (first + i) % targets_.size();
    const engine_report report = fleet_->standins().report(target_vms_[candidate]);
    if (report.running + report.queued < least) {
      least = report.running + report.queued;
      best = candidate;
    }
  }
  return best;
}

std::size_t variant_run::pick_target() {
  if (variant_.target == call_target::direct_min_load) {
    return least_loaded_target();
  }
  if (variant_.target == call_target::direct_random) {
    return rng(experiment_.seed + next_target_++).below(targets_.size());
  }
  std::size_t chosen = next_target_++ % targets_.size();
  for (std::size_t i = 0; i < targets_.size() && *excluded_nodes_[chosen]; ++i) {
    chosen = (chosen + 1) % targets_.size();
  }
  return chosen;
}

call_address variant_run::address_for(const planned_call& planned) {
  call_address to;
  to.workspace_key = experiment_.work.workspaces[planned.workspace].caller.key;
  to.request_class = experiment_.work.classes[planned.request_class].rule.name;
  const std::size_t target = pick_target();
  to.target = targets_[target];
  if (is_direct(variant_)) {
    to.request_id = "direct-" + std::to_string(serial_++);
    if (planned.kind == call_kind::booking) {
      const endpoint& e = fleet_->standins().assets().services.front().address;
      to.target = {e.host, e.port};
    }
  }
  return to;
}

void variant_run::call(std::size_t worker, const planned_call& planned, time_point intended) {
  const time_point begun = monotonic_now();
  const timed_answer answer = make_call(*client_, address_for(planned), experiment_.model,
                                        booking_path, planned, begun + experiment_.work.timeout);
  record(worker, planned, intended, begun, answer);
  ++ended_calls_;
}

void variant_run::record(std::size_t worker, const planned_call& planned, time_point intended,
                         time_point begun, const timed_answer& answer) {
  const class_rule& limits = experiment_.work.classes[planned.request_class].rule;
  call_timing timing;
  timing.measured = intended >= start_ + experiment_.work.warm_up;
  timing.late_start = begun - intended;
  timing.total = answer.ended - intended;
  timing.ended_at = answer.ended - start_;
  if (answer.first_token != time_point::min()) {
    timing.first_token = answer.first_token - intended;
  }
  if (answer.tokens > 1) {
    timing.per_token = (answer.ended - answer.first_token) / (answer.tokens - 1);
  }
  const std::string request_class = planned.kind == call_kind::booking ? "booking" : limits.name;
  const workspace_and_class cell{experiment_.work.workspaces[planned.workspace].caller.name,
                                 request_class};
  const caller_outcome end = check(planned, answer.raw);
  const bool in_time = timing.total <= limits.deadline && timing.first_token <= limits.first_token;
  timing.complete_in_time = end == caller_outcome::complete && in_time;
  incomplete_calls_ += end == caller_outcome::complete ? 0U : 1U;
  worker_result& own = *worker_results_[worker];
  const std::lock_guard guard(own.lock);
  own.result.add(cell, timing, end);
  if (timing.measured && end != caller_outcome::complete) {
    const std::string& code = answer.raw.error_code;
    const std::string outcome_name(caller_outcome_names[static_cast<std::size_t>(end)]);
    ++own.result
          .reasons[cell.second + ", " + outcome_name + ", " + (code.empty() ? "no code" : code)];
  }
}

caller_outcome variant_run::check(const planned_call& planned, const raw_answer& answer) {
  const std::lock_guard guard(checker_lock_);
  return checker_.check_answer(planned, answer);
}

void variant_run::run_timeline(const std::function<void(const load_progress&)>& on_progress) {
  std::unique_ptr<fault_injector> faults;
  if (fleet_ && variant_.with_faults) {
    faults = std::make_unique<fault_injector>(
        *fleet_, experiment_.faults,
        [this](std::size_t node) { *excluded_nodes_.at(node) = true; });
  }
  const duration planned = experiment_.work.warm_up + experiment_.work.length;
  const time_point latest = start_ + planned + experiment_.work.timeout + hung_call_grace;
  while (starting_fibers_ > 0 || ended_calls_ < begun_calls_) {
    const time_point now = monotonic_now();
    if (faults) {
      faults->apply_due(now - start_);
    }
    report_progress(on_progress, now - start_);
    if (now > latest) {
      result_.problems.push_back(std::to_string(begun_calls_ - ended_calls_) +
                                 " calls did not end in time");
      break;
    }
    std::this_thread::sleep_for(poll_interval);
  }
  result_.measured_seconds = to_seconds(experiment_.work.length);
  if (faults) {
    faults->finish(monotonic_now() - start_);
    result_.events = faults->events();
    for (std::size_t i = 0; i < faults->unclean_stops(); ++i) {
      checker_.report_violation(guarantee::stop_interrupts_nothing,
                                "a planned stop of a node interrupted requests");
    }
  }
}

void variant_run::report_progress(const std::function<void(const load_progress&)>& on_progress,
                                  duration elapsed) {
  if (!on_progress) {
    return;
  }
  load_progress progress;
  progress.variant = variant_.name;
  progress.round = round_ + 1;
  progress.elapsed_seconds = to_seconds(elapsed);
  progress.planned_seconds = to_seconds(experiment_.work.warm_up + experiment_.work.length);
  progress.begun_calls = begun_calls_;
  progress.ended_calls = ended_calls_;
  progress.incomplete_calls = incomplete_calls_;
  on_progress(progress);
}

void variant_run::check_executions() {
  if (!fleet_) {
    return;
  }
  standin_fleet& standins = fleet_->standins();
  checker_.check_executions([&](const request_id& id) { return standins.runs(id); },
                            [&](const std::string& key) {
                              return standins.executions_of(service_id{fleet_service_name}, key);
                            });
}

}  // namespace arbutus
