// The budget of retries that all nodes share without communicating.
//
// In any window, all nodes together send at most `retries_per_request` x requests + `burst`
// retries. Requests are spread unevenly, so each node may send `retries_per_request` retries per
// request of its own plus an equal share of the burst. The sum over the nodes then stays within the
// bound under any partition.
//
// A process does not know what the one before it on the same node has sent. Until nothing of that
// can be in the window any more, it has no share of the burst, only what its own requests add.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>

#include "base/units.h"

namespace arbutus {

struct retry_window_settings {
  double retries_per_request = 0.2;  // retries per request, configured by operators
  double burst = 100;                // additional retries in a window, of all nodes together
  duration window = 10s;             // length of the interval for which the bound on retries holds
  // Nodes that may send; a number that is too large is safe. Zero: not known, no share of the
  // burst.
  std::size_t nodes = 6;
  // Fraction of the bound on retries that this node uses. The rest is a margin, since a request may
  // arrive later than it was counted, and nodes may be added before this one is informed.
  double usable_budget_fraction = 0.7;
};

// What one node has used of the budget in the current window.
struct retry_usage {
  double requests = 0;    // first sends
  double retries = 0;     // retries sent
  double limit = 0;       // retries that the node may send in the window
  std::size_t nodes = 0;  // nodes among which the burst is divided
  bool has_burst_share = false;
};

class retry_window {
 public:
  // `burst_from`: when the node may use its share of the burst.
  explicit retry_window(const retry_window_settings& settings = {}, time_point burst_from = {})
      : settings_(settings), burst_from_(burst_from) {}

  // No earlier process has spent anything that is still in the window.
  void allow_burst_from(time_point from) { burst_from_ = from; }

  // A lower number holds once it has been the number for a window, when what the other nodes have
  // sent is in the window no more.
  void set_nodes(time_point now, std::size_t nodes) {
    if (nodes >= settings_.nodes) {
      settings_.nodes = nodes;
      fewer_since_.reset();
      return;
    }
    fewer_since_ = fewer_since_.value_or(now);
    if (now - *fewer_since_ >= settings_.window) {
      settings_.nodes = nodes;
      fewer_since_.reset();
    }
  }

  void count_first_send(time_point now) { bucket_at(now).requests += 1; }

  // Takes one retry from the budget, if available. `reserve`: the fraction of the budget that must
  // be left then.
  [[nodiscard]] bool take(time_point now, double reserve = 0) {
    const retry_usage used = usage(now);
    if (used.limit * (1 - reserve) - used.retries < 1) {
      return false;
    }
    bucket_at(now).retries += 1;
    return true;
  }

  // Retries that may be sent now.
  [[nodiscard]] double retries_left(time_point now) const {
    const retry_usage used = usage(now);
    return used.limit - used.retries;
  }

  [[nodiscard]] retry_usage usage(time_point now) const {
    const std::int64_t tick = tick_at(now);
    retry_usage used;
    for (const bucket& b : buckets_) {
      const std::int64_t age = tick - b.tick;
      used.requests += age < window_ticks ? b.requests : 0;
      // A retry at the end of its bucket is as old as the window only one bucket later.
      used.retries += age <= window_ticks ? b.retries : 0;
    }
    used.nodes = settings_.nodes;
    used.has_burst_share = used.nodes > 0 && now >= burst_from_;
    const double share =
        used.has_burst_share ? settings_.burst / static_cast<double>(used.nodes) : 0;
    const double bound = settings_.retries_per_request * used.requests + share;
    used.limit = settings_.usable_budget_fraction * bound;
    return used;
  }

 private:
  struct bucket {
    std::int64_t tick = std::numeric_limits<std::int32_t>::min();
    double requests = 0;
    double retries = 0;
  };
  static constexpr std::int64_t window_ticks = 20;
  static constexpr std::size_t bucket_count = window_ticks + 1;

  [[nodiscard]] std::int64_t tick_at(time_point now) const {
    return now.time_since_epoch() / (settings_.window / window_ticks);
  }

  bucket& bucket_at(time_point now) {
    const std::int64_t tick = tick_at(now);
    bucket& current = buckets_[static_cast<std::size_t>(tick) % bucket_count];
    if (current.tick != tick) {
      current = {tick, 0, 0};
    }
    return current;
  }

  retry_window_settings settings_;
  time_point burst_from_;
  std::optional<time_point> fewer_since_;  // since when fewer nodes are known
  std::array<bucket, bucket_count> buckets_{};
};

// The retries of one call. A send that reached no target, as it found no connection or a peer
// declined it, leaves its payment for the next one. Without this, a call that asks several peers
// spends a retry on each, and the node's budget is gone before one of them takes it.
class call_retries {
 public:
  // Whether a call that has had `sends` sends may be sent again. The first send is free. `reserve`:
  // see retry_window::take.
  [[nodiscard]] bool pay_next_send(time_point now, std::uint32_t sends, retry_window& window,
                                   double reserve = 0) {
    const bool is_paid = sends == 0 || (sends == paid_after_ && now - paid_at_ < payment_validity);
    if (is_paid) {
      return true;
    }
    if (!window.take(now, reserve)) {
      return false;
    }
    paid_after_ = sends;
    paid_at_ = now;
    return true;
  }

  // A payment that is used much later would count in a window in which no retry was sent.
  static constexpr duration payment_validity = 500ms;

 private:
  std::uint32_t paid_after_ = 0;  // sends of the call when it last paid
  time_point paid_at_{};
};

}  // namespace arbutus
