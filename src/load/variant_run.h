// Runs one round of one variant: starts a fleet, makes the planned calls at their times, injects
// the faults, and checks the guarantees.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "load/caller.h"
#include "load/fault_injector.h"
#include "load/run.h"

namespace arbutus {

class variant_run {
 public:
  variant_run(const experiment& experiment_spec, const variant& variant_spec, std::uint32_t round);
  ~variant_run();
  variant_run(const variant_run&) = delete;
  variant_run& operator=(const variant_run&) = delete;

  // Runs the round and returns its results. May be called only once.
  variant_result run(const std::function<void(const load_progress&)>& on_progress);

 private:
  // Results of the callers that run on one worker thread; merged after the load run.
  struct worker_result {
    std::mutex lock;  // guards result
    variant_result result;
  };

  bool bring_up();
  void find_targets();
  void start_callers();
  void run_open_loop(std::size_t worker);
  void run_closed_loop(std::size_t worker, std::size_t first);
  void call(std::size_t worker, const planned_call& planned, time_point intended);
  [[nodiscard]] call_address address_for(const planned_call& planned);
  [[nodiscard]] std::size_t pick_target();
  [[nodiscard]] std::size_t least_loaded_target();
  void record(std::size_t worker, const planned_call& planned, time_point intended,
              time_point begun, const timed_answer& answer);
  [[nodiscard]] caller_outcome check(const planned_call& planned, const raw_answer& answer);
  void run_timeline(const std::function<void(const load_progress&)>& on_progress);
  void report_progress(const std::function<void(const load_progress&)>& on_progress,
                       duration elapsed);
  void check_executions();
  void disable_safeguard();

  const experiment& experiment_;
  const variant& variant_;
  std::uint32_t round_;
  std::vector<planned_call> planned_calls_;
  std::unique_ptr<fleet> fleet_;  // fleet in this process; null if existing nodes are called
  fiber_runtime callers_;
  std::unique_ptr<http_client> client_;
  std::vector<std::unique_ptr<worker_result>> worker_results_;
  std::vector<socket_address> targets_;
  // VMs of the engines that are called directly, in the order of targets_.
  std::vector<vm_id> target_vms_;
  std::vector<std::unique_ptr<std::atomic<bool>>> excluded_nodes_;
  std::mutex checker_lock_;  // guards checker_ while callers run
  guarantee_checker checker_;
  variant_result result_;

  time_point start_;
  // Counter for the round robin over the called nodes or engines.
  std::atomic<std::uint64_t> next_target_{0};
  std::atomic<std::uint64_t> serial_{0};  // counter for the request ids that this run assigns
  std::atomic<std::uint64_t> begun_calls_{0};
  std::atomic<std::uint64_t> ended_calls_{0};
  std::atomic<std::uint64_t> incomplete_calls_{0};
  std::atomic<std::size_t> starting_fibers_{0};  // number of fibers that still start calls
};

}  // namespace arbutus
