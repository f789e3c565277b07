// Histograms with Boost.Histogram, and their Prometheus text.
#include "node/metrics.h"

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <sstream>
#include <tuple>
#include <utility>

namespace arbutus {

namespace {

namespace bh = boost::histogram;

// The latency histograms cover 0.25 ms to about 128 s with four bins per doubling: a percentile
// computed from the histogram is accurate to 19 %.
constexpr unsigned latency_bins = 76;
constexpr double latency_low = 0.00025;
constexpr double latency_high = 131.072;

using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram =
    decltype(bh::make_histogram(latency_axis(latency_bins, latency_low, latency_high)));

latency_histogram make_latency_histogram() {
  return bh::make_histogram(latency_axis(latency_bins, latency_low, latency_high));
}

struct duration_stats {
  latency_histogram histogram = make_latency_histogram();
  double sum = 0;
  std::uint64_t count = 0;

  void add(duration value) {
    histogram(to_seconds(value));
    sum += to_seconds(value);
    ++count;
  }
  void merge(const duration_stats& other) {
    histogram += other.histogram;
    sum += other.sum;
    count += other.count;
  }
};

struct series_key {
  std::string workspace;
  std::string request_class;
  std::string target;
  auto operator<=>(const series_key&) const = default;
};

using series_map = std::map<series_key, duration_stats>;
// Steps that are not measured by model have the empty one.
using model_series = std::map<model_key, duration_stats>;
using counter_key = std::pair<std::string, std::string>;  // name and labels

std::string escape_label(std::string_view value) {
  std::string result;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      result += '\\';
    }
    result += c == '\n' ? ' ' : c;
  }
  return result;
}

std::string labels_of(const series_key& key) {
  if (key == series_key{}) {
    return {};
  }
  return "workspace=\"" + escape_label(key.workspace) + "\",class=\"" +
         escape_label(key.request_class) + "\",target=\"" + escape_label(key.target) + "\"";
}

std::string labels_of(const model_key& key) {
  if (key == model_key{}) {
    return {};
  }
  return "service=\"" + escape_label(key.service.str()) + "\",model=\"" +
         escape_label(key.model.str()) + "\"";
}

template <class Key>
void print_histogram(std::ostream& out, std::string_view name,
                     const std::map<Key, duration_stats>& series) {
  out << "# TYPE " << name << " histogram\n";
  for (const auto& [key, value] : series) {
    const std::string labels = labels_of(key);
    const std::string label_prefix = labels.empty() ? labels : labels + ",";
    double cumulative = value.histogram.at(-1);
    for (int i = 0; i < value.histogram.axis().size(); ++i) {
      cumulative += value.histogram.at(i);
      out << name << "_bucket{" << label_prefix << "le=\"" << value.histogram.axis().bin(i).upper()
          << "\"} " << cumulative << '\n';
    }
    out << name << "_bucket{" << label_prefix << "le=\"+Inf\"} " << value.count << '\n';
    out << name << "_sum{" << labels << "} " << value.sum << '\n';
    out << name << "_count{" << labels << "} " << value.count << '\n';
  }
}

}  // namespace

struct metrics::shard_state {
  mutable std::mutex lock;
  series_map total;
  series_map first_token;
  series_map queued;
  std::map<std::string, model_series, std::less<>> steps;
  std::map<counter_key, std::uint64_t> counters;

  void merge(const shard_state& other) {
    const std::lock_guard guard(other.lock);
    const auto merge_series = [](auto& into, const auto& from) {
      for (const auto& [key, value] : from) {
        into[key].merge(value);
      }
    };
    merge_series(total, other.total);
    merge_series(first_token, other.first_token);
    merge_series(queued, other.queued);
    for (const auto& [step, value] : other.steps) {
      merge_series(steps[step], value);
    }
    for (const auto& [key, value] : other.counters) {
      counters[key] += value;
    }
  }
};

metrics::metrics(std::size_t shards)
    : shards_(shards), state_(std::make_unique<shard_state[]>(shards)) {}

metrics::~metrics() = default;

void metrics::record(std::size_t shard, const finished_call& call) {
  shard_state& state = state_[shard % shards_];
  const series_key key{call.workspace.str(), call.request_class, call.target};
  const std::lock_guard guard(state.lock);
  state.total[key].add(call.call_duration);
  state.queued[key].add(call.queue_time);
  if (call.time_to_first_token > duration::zero()) {
    state.first_token[key].add(call.time_to_first_token);
  }
  std::string labels = labels_of(key) + ",result=\"" + call.result + "\"";
  if (!call.reason.empty()) {
    labels += ",reason=\"" + escape_label(call.reason) + "\"";
  }
  ++state.counters[{"arbutusworks_requests_total", std::move(labels)}];
  state.counters[{"arbutusworks_attempts_total", labels_of(key)}] += call.attempts;
  state.counters[{"arbutusworks_tokens_total", labels_of(key)}] += call.tokens;
}

void metrics::record_step(std::size_t shard, std::string_view step, duration took) {
  record_model_step(shard, step, {}, took);
}

void metrics::record_model_step(std::size_t shard, std::string_view step, const model_key& model,
                                duration took) {
  shard_state& state = state_[shard % shards_];
  const std::lock_guard guard(state.lock);
  const auto found = state.steps.find(step);
  (found == state.steps.end() ? state.steps.emplace(step, model_series{}).first : found)
      ->second[model]
      .add(took);
}

void metrics::count(std::size_t shard, std::string_view name, std::string_view labels,
                    std::uint64_t by) {
  shard_state& state = state_[shard % shards_];
  const std::lock_guard guard(state.lock);
  state.counters[{std::string(name), std::string(labels)}] += by;
}

std::string metrics::text(std::string_view gauges) const {
  shard_state all;
  for (std::size_t i = 0; i < shards_; ++i) {
    all.merge(state_[i]);
  }
  std::ostringstream out;
  print_histogram(out, "arbutusworks_request_duration_seconds", all.total);
  print_histogram(out, "arbutusworks_first_token_seconds", all.first_token);
  print_histogram(out, "arbutusworks_queued_seconds", all.queued);
  for (const auto& [step, value] : all.steps) {
    print_histogram(out, "arbutusworks_" + step + "_seconds", value);
  }
  std::string_view last;
  for (const auto& [key, value] : all.counters) {
    if (key.first != last) {
      out << "# TYPE " << key.first << " counter\n";
      last = key.first;
    }
    out << key.first;
    if (!key.second.empty()) {
      out << '{' << key.second << '}';
    }
    out << ' ' << value << '\n';
  }
  out << gauges;
  return out.str();
}

}  // namespace arbutus
