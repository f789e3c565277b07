// Latency histograms: bins, quantiles and cumulative distribution.
#include "load/latency.h"

#include <algorithm>

namespace arbutus {

namespace {

// Range and bins of the histograms. The range covers the gap between two tokens on loopback as well
// as a caller's timeout. A bin is 0.8% wide, so that an increase by a tenth of a millisecond is
// visible in a latency of a few milliseconds.
constexpr double min_latency_ms = 0.01;
constexpr double max_latency_ms = 120'000;
constexpr unsigned bin_count = 2048;

}  // namespace

latency_histogram::latency_histogram()
    : bins_(boost::histogram::make_histogram(axis(bin_count, min_latency_ms, max_latency_ms))) {}

void latency_histogram::add(duration latency) {
  const double ms = std::clamp(to_milliseconds(latency), min_latency_ms, max_latency_ms * 0.999);
  bins_(ms);
  ++count_;
  sum_ += ms;
}

latency_histogram& latency_histogram::operator+=(const latency_histogram& other) {
  bins_ += other.bins_;
  count_ += other.count_;
  sum_ += other.sum_;
  return *this;
}

double latency_histogram::quantile(double p) const {
  if (count_ == 0) {
    return 0;
  }
  const double desired = p * static_cast<double>(count_);
  double seen = 0;
  for (auto&& bin : boost::histogram::indexed(bins_)) {
    const double here = *bin;
    if (here > 0 && seen + here >= desired) {
      const double within = std::clamp((desired - seen) / here, 0.0, 1.0);
      return bin.bin().lower() + within * bin.bin().width();
    }
    seen += here;
  }
  return max_latency_ms;
}

double latency_histogram::mean() const {
  return count_ == 0 ? 0 : sum_ / static_cast<double>(count_);
}

std::vector<latency_histogram::point> latency_histogram::cumulative() const {
  std::vector<point> result;
  double seen = 0;
  for (auto&& bin : boost::histogram::indexed(bins_)) {
    if (*bin > 0) {
      seen += *bin;
      result.push_back({bin.bin().upper(), seen / static_cast<double>(count_)});
    }
  }
  return result;
}

}  // namespace arbutus
