// Retries and hedges: when another attempt may be made, and when not.
//
// Retries must not amplify an overload: they are paid from a budget that first attempts fill, and
// only the first hop makes them. Each hop gets an `attempt_note` that says so.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "base/id.h"
#include "base/rng.h"
#include "base/units.h"
#include "request/outcome.h"

namespace arbutus {

// Travels with a request over every hop.
struct attempt_note {
  std::uint32_t attempt = 1;  // from 1
  bool may_retry = true;      // false for all but the hop that met the caller
  bool spilled = false;       // came from another data centre's node
};

// The note to send along with an attempt.
[[nodiscard]] attempt_note next_hop(const attempt_note& own, std::uint32_t attempt,
                                    bool spilled = false);

struct retry_settings {
  double ratio = 0.1;             // retries per first attempt
  double reserve = 10;            // retries that may be saved up; also the budget at the start
  double floor_per_second = 0.5;  // so that a model with few requests can retry at all
  std::uint32_t max_attempts = 3;
  duration first_backoff = 20ms;
  duration max_backoff = 1s;
};

// One per model, on the node that meets the caller.
class retry_budget {
 public:
  explicit retry_budget(const retry_settings& settings = {});
  void first_attempt(time_point now);
  // Takes one retry from the budget, if there is one.
  [[nodiscard]] bool take(time_point now);
  [[nodiscard]] const retry_settings& settings() const { return settings_; }

 private:
  void refill(time_point now);

  retry_settings settings_;
  double tokens_;  // 0..reserve
  std::optional<time_point> filled_;
};

enum class give_up_reason { done, not_repeatable, attempts_used, no_time, no_budget, not_here };

[[nodiscard]] std::string_view to_string(give_up_reason reason);

struct retry_at {
  time_point at;
  std::uint32_t attempt{};  // number of the new attempt
};
struct give_up {
  give_up_reason why = give_up_reason::done;
};
using retry_decision = std::variant<retry_at, give_up>;

// After an attempt ended as `last`. `needed`: expected time of another attempt; it has to end
// before `deadline`. Takes from the budget only if it answers retry_at.
[[nodiscard]] retry_decision decide_retry(time_point now, const attempt_note& note, execution last,
                                          bool repeatable, time_point deadline, duration needed,
                                          retry_budget& budget, rng& random);

struct hedge_settings {
  double quantile = 0.95;   // hedge what takes longer than this part of its class
  double max_ratio = 0.05;  // hedges per request
  double reserve = 5;       // hedges that may be saved up
  std::uint32_t min_samples = 50;
  duration min_delay = 10ms;
};

// Second attempts of repeatable requests that take unusually long to their first token. The
// caller cancels the loser. One per model; classes are told apart by name.
class hedging {
 public:
  explicit hedging(const hedge_settings& settings = {});
  // A request of this class had its first token after `latency` from the send.
  void observe(std::string_view request_class, duration latency);
  // When to ask decide() for a request sent at `sent`; empty: too little is known.
  [[nodiscard]] std::optional<time_point> ask_at(std::string_view request_class,
                                                 time_point sent) const;
  // Whether to start a second attempt now; takes from the budget if so.
  [[nodiscard]] bool decide(time_point now, std::string_view request_class, time_point sent,
                            const attempt_note& note, bool repeatable, time_point deadline);

 private:
  struct class_latency {
    double quantile_seconds{};  // moving estimate
    std::uint32_t samples{};
  };

  hedge_settings settings_;
  double tokens_ = 0;  // 0..reserve
  std::unordered_map<std::string, class_latency> classes_;
};

}  // namespace arbutus
