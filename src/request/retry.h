// Retries and hedges: when another attempt may be made.
//
// Retries must not amplify an overload. Each retry uses up budget that first attempts add, and only
// the node that received the caller's request retries. The `attempt_context` sent with a request
// says whether the receiving node may retry it.
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

// State of a request's attempts, sent along whenever a node forwards the request.
struct attempt_context {
  std::uint32_t attempt = 1;  // number of the attempt, counted from 1
  bool may_retry = true;      // true only at the node that received the caller's request
  bool spilled = false;       // forwarded by a node of another data centre
};

// The context to send with an attempt.
[[nodiscard]] attempt_context next_hop_context(const attempt_context& own, std::uint32_t attempt,
                                               bool spilled = false);

struct retry_settings {
  double retries_per_first_attempt = 0.1;  // retries per first attempt
  double max_budget = 10;  // maximum of the budget in retries, and its initial value
  // Retries added to the budget per second, so that a model with few requests can retry.
  double min_retries_per_second = 0.5;
  std::uint32_t max_attempts = 3;
  duration first_backoff = 20ms;
  duration max_backoff = 1s;
};

// The retry budget of one model, on the node that receives the callers' requests.
class retry_budget {
 public:
  explicit retry_budget(const retry_settings& settings = {});
  void first_attempt(time_point now);
  // Takes one retry from the budget, if available.
  [[nodiscard]] bool take(time_point now);
  [[nodiscard]] const retry_settings& settings() const { return settings_; }

 private:
  void refill(time_point now);

  retry_settings settings_;
  double tokens_;  // 0..max_budget
  std::optional<time_point> refilled_at_;
};

enum class give_up_reason {
  done,
  not_repeatable,
  attempts_used,
  no_time,
  no_budget,
  not_first_hop
};

[[nodiscard]] std::string_view to_string(give_up_reason reason);

struct retry_at {
  time_point at;
  std::uint32_t attempt{};  // number of the new attempt
};
struct give_up {
  give_up_reason why = give_up_reason::done;
};
using retry_decision = std::variant<retry_at, give_up>;

// Decides after an attempt ended as `last`. `needed`: expected time of another attempt, which has
// to end before `deadline`. Takes from the budget only if the result is retry_at.
[[nodiscard]] retry_decision decide_retry(time_point now, const attempt_context& context,
                                          execution last, bool repeatable, time_point deadline,
                                          duration needed, retry_budget& budget, rng& random);

struct hedge_settings {
  // A request is hedged when it has waited longer than this quantile of its class's latency.
  double quantile = 0.95;
  double max_hedge_ratio = 0.05;   // hedges per request
  double max_budget = 5;           // maximum of the budget, in hedges
  std::uint32_t min_samples = 50;  // latencies of a class before its requests are hedged
  duration min_delay = 10ms;       // minimum time from the first send to a hedge
};

// Second attempts of repeatable requests whose first token takes unusually long. The caller of this
// class cancels the slower attempt. One object per model; request classes are identified by name.
class hedging {
 public:
  explicit hedging(const hedge_settings& settings = {});
  // The first token of a request of this class arrived `latency` after the send.
  void observe(std::string_view request_class, duration latency);
  // When to call decide() for a request sent at `sent`; empty while there are too few samples.
  [[nodiscard]] std::optional<time_point> hedge_at(std::string_view request_class,
                                                   time_point sent) const;
  // Whether to start a second attempt now; takes from the budget if so.
  [[nodiscard]] bool decide(time_point now, std::string_view request_class, time_point sent,
                            const attempt_context& context, bool repeatable, time_point deadline);

 private:
  struct class_latency {
    double quantile_seconds{};  // moving estimate of the latency quantile
    std::uint32_t samples{};    // latencies observed
  };

  hedge_settings settings_;
  double tokens_ = 0;  // 0..max_budget
  std::unordered_map<std::string, class_latency> classes_;
};

}  // namespace arbutus
