// Latency histograms (Boost.Histogram): they use a fixed amount of memory and can be merged by
// addition.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <tuple>
#include <vector>

#include "base/units.h"

namespace arbutus {

class latency_histogram {
 public:
  latency_histogram();

  void add(duration latency);
  latency_histogram& operator+=(const latency_histogram& other);

  [[nodiscard]] std::uint64_t count() const { return count_; }
  // In milliseconds; 0 when empty. `p` in [0, 1].
  [[nodiscard]] double quantile(double p) const;
  [[nodiscard]] double mean() const;

  // For each non-empty bin: its upper edge in milliseconds, and the fraction of all latencies at or
  // below it.
  struct point {
    double milliseconds{};
    double fraction{};
  };
  [[nodiscard]] std::vector<point> cumulative() const;

 private:
  using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<axis>> bins_;
  std::uint64_t count_ = 0;
  double sum_ = 0;  // milliseconds
};

}  // namespace arbutus
