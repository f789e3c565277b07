// Advances the batch from one completion to the next. The speed of the remaining jobs changes only
// at a completion, so each step runs at constant speed.
#include "standin/batch_standin.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace arbutus::standin {

namespace {

// Tolerance in tokens: times are rounded to whole microseconds, so sums of token fractions end
// slightly below integers.
constexpr double rounding = 1e-6;

std::uint32_t whole_tokens(double produced) {
  return static_cast<std::uint32_t>(produced + rounding);
}

// Used as an infinite time: longer than any test, and still representable in microseconds.
constexpr double max_seconds = 1e9;

// Rounds seconds up to a duration, so that the job has produced the requested number of tokens when
// this time has passed.
duration round_up(double seconds) {
  return duration{static_cast<duration::rep>(std::ceil(std::min(seconds, max_seconds) * 1e6))};
}

// Rounds seconds down to a duration, so that a finished job does not hold its slot while others
// wait; at least 1 us, so that time always advances.
duration round_down(double seconds) {
  return std::max(duration{1}, from_seconds(std::min(seconds, max_seconds)));
}

}  // namespace

double batch_standin::slowdown() const {
  const double others = static_cast<double>(std::max<std::size_t>(1, running_.size()) - 1);
  const double full = std::max(1.0, static_cast<double>(settings_.slots) - 1.0);
  return 1.0 + settings_.slowdown_when_full * others / full;
}

double batch_standin::tokens_per_second(double speed) const {
  return settings_.tokens_per_second * speed / slowdown();
}

double batch_standin::seconds_until(const job_state& job, std::uint32_t desired,
                                    double speed) const {
  const double missing = std::max(0.0, static_cast<double>(desired) - job.produced);
  const double prefill = job.prefill_left / (settings_.prefill_tokens_per_second * speed);
  return prefill * slowdown() + missing / tokens_per_second(speed);
}

double batch_standin::seconds_to_next_finish(double speed) const {
  double min_seconds = std::numeric_limits<double>::infinity();
  for (const batch_handle handle : running_) {
    const job_state& job = jobs_.at(handle);
    min_seconds = std::min(min_seconds, seconds_until(job, job.job.tokens, speed));
  }
  return min_seconds;
}

void batch_standin::progress_by(double seconds, double speed) {
  const double prefill_rate = settings_.prefill_tokens_per_second * speed / slowdown();
  for (const batch_handle handle : running_) {
    job_state& job = jobs_.at(handle);
    const double prefill_time = std::min(seconds, job.prefill_left / prefill_rate);
    job.prefill_left = std::max(0.0, job.prefill_left - prefill_time * prefill_rate);
    job.produced += (seconds - prefill_time) * tokens_per_second(speed);
    job.produced = std::min(job.produced, static_cast<double>(job.job.tokens));
  }
}

bool batch_standin::has_produced(const job_state& job, std::uint32_t desired) {
  return job.prefill_left <= 0 && whole_tokens(job.produced) >= desired;
}

void batch_standin::remove_finished() {
  std::erase_if(running_, [this](batch_handle handle) {
    const job_state& job = jobs_.at(handle);
    return has_produced(job, job.job.tokens);
  });
}

void batch_standin::fill_slots() {
  while (running_.size() < settings_.slots && !queue_.empty()) {
    const batch_handle next = queue_.begin()->second;
    queue_.erase(queue_.begin());
    jobs_.at(next).started = true;
    running_.push_back(next);
  }
}

void batch_standin::advance(time_point now, double speed) {
  while (advanced_until_ < now && speed > 0 && !running_.empty()) {
    const duration next = round_down(seconds_to_next_finish(speed));
    const duration step = std::min(next, duration{now - advanced_until_});
    progress_by(to_seconds(step), speed);
    advanced_until_ += step;
    remove_finished();
    fill_slots();
  }
  advanced_until_ = std::max(advanced_until_, now);
}

batch_handle batch_standin::add(const batch_job& job) {
  const batch_handle handle = ++last_handle_;
  jobs_[handle] = {job, static_cast<double>(job.prefill_tokens), 0.0, false};
  queue_.emplace(job.priority, handle);
  fill_slots();
  return handle;
}

void batch_standin::remove(batch_handle handle) {
  const auto found = jobs_.find(handle);
  if (found == jobs_.end()) {
    return;
  }
  queue_.erase({found->second.job.priority, handle});
  std::erase(running_, handle);
  jobs_.erase(found);
  fill_slots();
}

void batch_standin::reset(const batch_settings& settings) {
  settings_ = settings;
  jobs_.clear();
  running_.clear();
  queue_.clear();
}

batch_progress batch_standin::progress(batch_handle handle, std::uint32_t desired,
                                       double speed) const {
  const auto found = jobs_.find(handle);
  if (found == jobs_.end()) {
    return {};
  }
  const job_state& job = found->second;
  batch_progress result{job.started, whole_tokens(job.produced), std::nullopt};
  if (job.started && has_produced(job, desired)) {
    result.remaining = duration{};
  } else if (job.started && speed > 0) {
    result.remaining = round_up(seconds_until(job, desired, speed));
  }
  return result;
}

std::uint32_t batch_standin::running() const {
  return static_cast<std::uint32_t>(running_.size());
}

std::uint32_t batch_standin::queued() const {
  return static_cast<std::uint32_t>(queue_.size());
}

}  // namespace arbutus::standin
