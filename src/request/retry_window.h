// The budget of repeated sends that all nodes share, without asking each other.
//
// The bound holds for all nodes together over any window: `ratio` x requests + `burst`. Requests
// spread unevenly, so each node earns `ratio` by its own requests, and gets an equal part of the
// burst. The sum over the nodes then stays within the bound, whoever is heard or not.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace arbutus {

struct retry_window_settings {
  double ratio = 0.2;     // repeated sends per request, from operators
  double burst = 100;     // beyond that in a window, of all nodes together
  duration window = 10s;  // any span of this length counts
  std::size_t nodes = 6;  // that may send; more than there are is safe
  // Part of the bound that is used: a send may arrive later than it was counted, and nodes may be
  // added before this one knows.
  double used = 0.7;
};

class retry_window {
 public:
  explicit retry_window(const retry_window_settings& settings = {}) : settings_(settings) {}

  void set_nodes(std::size_t nodes) { settings_.nodes = nodes; }

  void first_send(time_point now) { slot(now).requests += 1; }

  // Takes one repeated send, if there is one left.
  [[nodiscard]] bool take(time_point now) {
    bucket& current = slot(now);
    if (left() < 1) {
      return false;
    }
    current.repeats += 1;
    return true;
  }

  // Repeated sends that may follow now.
  [[nodiscard]] double left() const {
    double requests = 0;
    double repeats = 0;
    for (const bucket& b : buckets_) {
      requests += b.requests;
      repeats += b.repeats;
    }
    const auto nodes = static_cast<double>(settings_.nodes == 0 ? 1 : settings_.nodes);
    const double bound = settings_.ratio * requests + settings_.burst / nodes;
    return settings_.used * bound - repeats;
  }

 private:
  struct bucket {
    std::int64_t tick = -1;
    double requests = 0;
    double repeats = 0;
  };
  static constexpr std::size_t bucket_count = 20;

  // Clears what is older than the window.
  bucket& slot(time_point now) {
    const duration width = settings_.window / bucket_count;
    const std::int64_t tick = now.time_since_epoch() / width;
    for (bucket& b : buckets_) {
      if (b.tick <= tick - static_cast<std::int64_t>(bucket_count)) {
        b = {};
      }
    }
    bucket& current = buckets_[static_cast<std::size_t>(tick) % bucket_count];
    if (current.tick != tick) {
      current = {tick, 0, 0};
    }
    return current;
  }

  retry_window_settings settings_;
  std::array<bucket, bucket_count> buckets_{};
};

}  // namespace arbutus
