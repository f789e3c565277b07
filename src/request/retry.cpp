// Retry budget, retry decisions and hedging.
#include "request/retry.h"

#include <algorithm>
#include <cmath>

namespace arbutus {

namespace {

// Relative steps in which the estimate of a latency quantile is adjusted: the step starts at the
// first value and shrinks to the minimum as samples arrive.
constexpr double first_quantile_step = 1.0;
constexpr double min_quantile_step = 0.1;

duration backoff(const retry_settings& settings, std::uint32_t attempt, rng& random) {
  const std::uint32_t doublings = std::min(attempt - 1, 20U);
  const duration limit =
      std::min(settings.max_backoff, settings.first_backoff * (std::int64_t{1} << doublings));
  // The pause is random between 0 and the limit (full jitter), so that requests that failed
  // together are not retried together.
  return random.jitter(limit);
}

}  // namespace

attempt_context next_hop_context(const attempt_context& own, std::uint32_t attempt, bool spilled) {
  return {.attempt = attempt, .may_retry = false, .spilled = own.spilled || spilled};
}

retry_budget::retry_budget(const retry_settings& settings)
    : settings_(settings), tokens_(settings.max_budget) {}

void retry_budget::first_attempt(time_point now) {
  refill(now);
  tokens_ = std::min(settings_.max_budget, tokens_ + settings_.retries_per_first_attempt);
}

bool retry_budget::take(time_point now) {
  refill(now);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void retry_budget::refill(time_point now) {
  const duration passed = now - refilled_at_.value_or(now);
  tokens_ = std::min(settings_.max_budget,
                     tokens_ + settings_.min_retries_per_second * to_seconds(passed));
  refilled_at_ = now;
}

std::string_view to_string(give_up_reason reason) {
  switch (reason) {
    case give_up_reason::done:
      return "done";
    case give_up_reason::not_repeatable:
      return "not repeatable";
    case give_up_reason::attempts_used:
      return "attempts used";
    case give_up_reason::no_time:
      return "no time";
    case give_up_reason::no_budget:
      return "no budget";
    case give_up_reason::not_first_hop:
      break;
  }
  return "another hop retries";
}

retry_decision decide_retry(time_point now, const attempt_context& context, execution last,
                            bool repeatable, time_point deadline, duration needed,
                            retry_budget& budget, rng& random) {
  if (last == execution::done) {
    return give_up{give_up_reason::done};
  }
  if (!may_repeat(last, repeatable)) {
    return give_up{give_up_reason::not_repeatable};
  }
  if (!context.may_retry) {
    return give_up{give_up_reason::not_first_hop};
  }
  if (context.attempt >= budget.settings().max_attempts) {
    return give_up{give_up_reason::attempts_used};
  }
  const time_point at = now + backoff(budget.settings(), context.attempt, random);
  if (at > deadline - needed) {
    return give_up{give_up_reason::no_time};
  }
  if (!budget.take(now)) {
    return give_up{give_up_reason::no_budget};
  }
  return retry_at{at, context.attempt + 1};
}

hedging::hedging(const hedge_settings& settings) : settings_(settings) {}

void hedging::observe(std::string_view request_class, duration latency) {
  tokens_ = std::min(settings_.max_budget, tokens_ + settings_.max_hedge_ratio);
  class_latency& seen = classes_[std::string(request_class)];
  const double value = std::max(to_seconds(latency), 1e-6);
  ++seen.samples;
  if (seen.samples == 1) {
    seen.quantile_seconds = value;
    return;
  }
  const double step = std::max(first_quantile_step / std::sqrt(static_cast<double>(seen.samples)),
                               min_quantile_step);
  const double move = value > seen.quantile_seconds ? settings_.quantile : settings_.quantile - 1.0;
  seen.quantile_seconds *= std::exp(step * move);
}

std::optional<time_point> hedging::hedge_at(std::string_view request_class, time_point sent) const {
  const auto found = classes_.find(std::string(request_class));
  if (found == classes_.end() || found->second.samples < settings_.min_samples) {
    return std::nullopt;
  }
  return sent + std::max(settings_.min_delay, from_seconds(found->second.quantile_seconds));
}

bool hedging::decide(time_point now, std::string_view request_class, time_point sent,
                     const attempt_context& context, bool repeatable, time_point deadline) {
  if (!repeatable || !context.may_retry || tokens_ < 1) {
    return false;
  }
  const std::optional<time_point> due = hedge_at(request_class, sent);
  // A second attempt that takes as long as the first one must also end before the deadline.
  if (!due || now < *due || now + (*due - sent) > deadline) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace arbutus
