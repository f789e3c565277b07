// Stand-in for the model engine of one target VM: carries out orders, loads weights, batches
// requests, and can have the faults of real engines. Uses no socket, clock or lock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "process/effects.h"
#include "process/report.h"
#include "standin/batch_standin.h"
#include "standin/cache_standin.h"
#include "standin/engine_fabric.h"
#include "standin/standin_answer.h"

namespace arbutus::standin {

struct model_profile {
  std::uint64_t weight_bytes{};  // bytes of weights that each member of a replica loads
  batch_settings batch;
};

struct engine_settings {
  // Whether the engine refuses an order with an older fencing token than it has seen.
  bool checks_fencing_tokens = true;
  duration group_join_time = 100ms;  // time to join a replica once the weights are loaded
  std::uint32_t max_queued_requests = 64;
  duration report_lag{};  // age of the load in a report; identity and state are always current
  cache_settings cache;
  model_profile default_profile;
  // Profiles of models that differ from `default_profile`.
  std::map<model_id, model_profile> models;
  std::uint64_t first_incarnation = 1;
  std::uint64_t seed = 1;
  // Whether to count the runs of every request id; the counts grow without bound.
  bool counts_runs_by_request = false;
};

// For each fault, the number of upcoming answers that get it; counted down with each answer.
struct pending_answer_faults {
  std::uint32_t swapped{};  // pairs of requests that get each other's answer and request id
  std::uint32_t late{};
  duration late_by{};
  std::uint32_t truncated{};
  std::uint32_t duplicated{};
};

struct engine_counters {
  std::uint64_t accepted{};
  std::uint64_t completed{};
  std::uint64_t cancelled{};  // requests that the caller cancelled
  // Answers truncated because the replica lost a member; includes cut_by_order.
  std::uint64_t cut{};
  // Answers truncated because an order made the engine leave its replica.
  std::uint64_t cut_by_order{};
  std::uint64_t not_run{};
  std::uint64_t turned_away{};  // while asking for a backoff
  std::uint64_t orders_done{};
  std::uint64_t orders_refused{};
};

struct order_reply {
  bool accepted = false;
  engine_report report;  // state of the engine after the order
  std::string reason;    // reason of a refusal
};

// Refusal of a request that is guaranteed not to have run.
struct not_run {
  int status{};
  std::string reason;
};

enum class stream_state {
  open,
  finished,  // all tokens of the answer have been taken
  cut,       // the answer was truncated and has no further tokens
  expired,   // the request was dropped from the queue at its deadline and did not run
};

struct stream_step {
  stream_state state = stream_state::open;
  request_id response_id;  // request id that the response carries; another request's if answers are
                           // swapped
  std::vector<standin_token> tokens;
  std::optional<time_point> next_at;  // when the next tokens can be taken; none: not known
};

class engine_standin {
 public:
  engine_standin(engine_fabric& fabric, const vm_id& vm, const engine_settings& settings);
  ~engine_standin();
  engine_standin(const engine_standin&) = delete;
  engine_standin& operator=(const engine_standin&) = delete;

  [[nodiscard]] const vm_id& vm() const noexcept { return vm_; }

  // ---- orders and reports ----

  // Carries out an order that arrived at `received_at`. A paused engine handles an order later,
  // possibly after the order's validity period.
  order_reply apply(time_point now, const order& o, time_point received_at);
  [[nodiscard]] engine_report report(time_point now);

  // ---- requests, on the head of a replica ----

  [[nodiscard]] std::variant<batch_handle, not_run> submit(time_point now,
                                                           const generation_request& request);
  // Returns and removes the tokens of an answer that can be sent now. With `complete_only` it
  // returns none until the answer is complete.
  [[nodiscard]] stream_step take(time_point now, batch_handle handle, bool complete_only);
  // Called when the caller has read the answer or disconnected; cancels a request that still runs.
  void close(time_point now, batch_handle handle);
  // Cancels a request. False if the request is not known or has ended.
  bool cancel(time_point now, const request_id& id);
  [[nodiscard]] cache_standin& cache() noexcept { return cache_; }

  // ---- faults ----

  void kill(time_point now);     // the process dies: replica membership, weights and cache are lost
  void restart(time_point now);  // the process starts again, as a new incarnation
  void pause(time_point now);
  void resume(time_point now);
  void set_straggler(time_point now, double speed);  // 1: normal
  void set_leaving(bool leaving) { leaving_ = leaving; }
  // Whether the engine says in its answers, rather than in its reports, that it is leaving.
  void set_says_leaving(bool says) { says_leaving_ = says; }
  [[nodiscard]] bool says_leaving() const noexcept { return says_leaving_; }
  // While set, the engine turns requests away and asks their senders to back off for this long.
  void set_backoff(std::optional<duration> backoff) { backoff_ = backoff; }
  [[nodiscard]] std::optional<duration> backoff() const noexcept { return backoff_; }
  void count_turned_away() { ++counters_.turned_away; }
  void set_unresponsive(bool on) {
    unresponsive_ = on;
  }  // while on, the engine executes requests without answering
  void set_checks_tokens(bool checks) { settings_.checks_fencing_tokens = checks; }
  [[nodiscard]] pending_answer_faults& faults() noexcept { return faults_; }

  [[nodiscard]] bool up() const noexcept { return up_; }
  [[nodiscard]] bool paused() const noexcept { return paused_at_.has_value(); }
  [[nodiscard]] bool unresponsive() const noexcept { return unresponsive_; }
  [[nodiscard]] const engine_counters& counters() const noexcept { return counters_; }
  // How often the engine accepted the request with this id; needs counts_runs_by_request.
  [[nodiscard]] std::uint32_t runs(const request_id& id) const;

  // ---- for the fabric ----

  [[nodiscard]] const composition& current_composition() const noexcept { return composition_; }
  [[nodiscard]] bool serves_in(time_point now, const composition& group) const;
  [[nodiscard]] double speed() const { return up_ && !paused() ? speed_ : 0.0; }
  void advance(time_point now);
  void interrupt_requests(time_point now);

 private:
  struct open_stream {
    request_id id;
    standin_answer answer;
    std::vector<std::uint64_t> prefix;
    std::optional<time_point> expires_at;
    bool cut = false;
    bool finished = false;
  };
  struct load_sample {
    time_point at;
    std::uint32_t running{};
    std::uint32_t queued{};
    double kv_used{};
  };

  [[nodiscard]] engine_state state(time_point now) const;
  [[nodiscard]] std::string refusal(const order& o, time_point now, time_point received_at) const;
  void form(time_point now, const order& o);
  void leave_group_by_order(time_point now);
  void leave_group(time_point now);
  [[nodiscard]] std::string shard_name(const order& o) const;
  [[nodiscard]] const model_profile& profile(const model_id& model) const;

  [[nodiscard]] std::optional<not_run> refusal(time_point now, const generation_request& r) const;
  [[nodiscard]] answer_faults next_faults(time_point now);
  void swap_with_other_answer(time_point now, batch_handle handle);
  [[nodiscard]] stream_step expire(open_stream& stream, batch_handle handle);
  void cache_prompt(time_point now, open_stream& stream);
  void record_load(time_point now);

  engine_fabric& fabric_;
  vm_id vm_;
  engine_settings settings_;
  pending_answer_faults faults_;
  engine_counters counters_;
  std::uint64_t incarnation_;

  bool up_ = true;
  bool leaving_ = false;
  bool says_leaving_ = false;
  std::optional<duration> backoff_;
  bool unresponsive_ = false;
  double speed_ = 1.0;
  std::optional<time_point> paused_at_;

  // Composition of the replica that the engine is in; an empty replica id: none.
  composition composition_;
  model_id model_;
  std::string model_version_;
  bool draining_ = false;
  time_point composition_ready_at_;
  std::string loaded_shard_;  // shard whose weights are in memory from `shard_loaded_at_` on
  time_point shard_loaded_at_;
  generation highest_fencing_token_;  // highest fencing token seen; lost when the process dies

  batch_standin batch_;
  cache_standin cache_;
  std::map<batch_handle, open_stream> streams_;
  // Sorted by time; the first is the newest sample old enough to be reported.
  std::deque<load_sample> load_samples_;
  std::unordered_map<request_id, std::uint32_t> runs_;
};

}  // namespace arbutus::standin
