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
  // Latency in milliseconds that the fraction `p` (0 to 1) of the calls does not exceed; 0 without
  // calls.
  [[nodiscard]] double quantile(double p) const;
  [[nodiscard]] double mean() const;

  // One point of the cumulative distribution for each non-empty bin: the bin's upper edge in
  // milliseconds, and the fraction of all latencies at or below it.
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
