// Continuous batching in a stand-in engine: up to `slots` requests run concurrently, each slower
// the fuller the batch is; the others wait in order of priority. Time advances only in advance().
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/units.h"

namespace arbutus::standin {

struct batch_settings {
  std::uint32_t slots = 8;
  double tokens_per_second = 50;  // tokens per second that a request generates when it runs alone
  // Prompt tokens per second, for those that are not cached.
  double prefill_tokens_per_second = 5000;
  // Relative slowdown of each request when all slots are taken: at 1.0 each runs at half speed.
  double slowdown_when_full = 0.5;
};

using batch_handle = std::uint64_t;

struct batch_job {
  std::uint32_t priority{};        // jobs with a lower number start first
  std::uint32_t prefill_tokens{};  // prompt tokens that are not cached
  std::uint32_t tokens{};          // number of tokens to generate
};

struct batch_progress {
  bool started = false;
  std::uint32_t produced{};
  // Time until the requested number of tokens is produced if nothing changes; none while the job
  // waits for a slot or the batch is stopped.
  std::optional<duration> remaining;
};

class batch_standin {
 public:
  explicit batch_standin(const batch_settings& settings) : settings_(settings) {}

  // Generates the tokens of all jobs up to `now` at `speed` (1: normal, 0: stopped).
  void advance(time_point now, double speed);

  // Adds a job. advance() has to be called first, also before remove(), reset() and progress().
  [[nodiscard]] batch_handle add(const batch_job& job);
  void remove(batch_handle handle);
  // Drops every job; later jobs run with `settings`. Handles are never reused.
  void reset(const batch_settings& settings);

  // Progress of a job towards `desired` tokens, and the time that it still needs.
  [[nodiscard]] batch_progress progress(batch_handle handle, std::uint32_t desired,
                                        double speed) const;

  [[nodiscard]] std::uint32_t running() const;
  [[nodiscard]] std::uint32_t queued() const;
  // Tokens per second that each running request generates with the current number of requests.
  [[nodiscard]] double tokens_per_second(double speed) const;
  [[nodiscard]] const batch_settings& settings() const noexcept { return settings_; }

 private:
  struct job_state {
    batch_job job;
    double prefill_left{};
    double produced{};
    bool started = false;
  };

  [[nodiscard]] double slowdown() const;
  [[nodiscard]] double seconds_until(const job_state& job, std::uint32_t desired,
                                     double speed) const;
  void progress_by(double seconds, double speed);
  [[nodiscard]] static bool has_produced(const job_state& job, std::uint32_t desired);
  void remove_finished();
  void fill_slots();
  [[nodiscard]] double seconds_to_next_finish(double speed) const;

  batch_settings settings_;
  time_point advanced_until_;
  batch_handle last_handle_{};
  // Invariant: an unfinished job is either in `running_` or in `queue_`; a finished one is in
  // neither and stays in `jobs_` until it is removed.
  std::unordered_map<batch_handle, job_state> jobs_;
  std::vector<batch_handle> running_;
  std::set<std::pair<std::uint32_t, batch_handle>> queue_;  // by priority, then by arrival
};

}  // namespace arbutus::standin
