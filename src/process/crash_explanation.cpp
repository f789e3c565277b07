// Finds a set of causes by elimination: starts with all suspects and drops the one that explains
// least until each explains enough.
#include "process/crash_explanation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace arbutus {

namespace {

double x_log_x(double x) {
  return x > 0 ? x * std::log(x) : 0;
}

class cause_search {
 public:
  cause_search(std::span<const observed_end> ends,
               const std::vector<std::vector<std::size_t>>& ends_of_suspects, duration run_exposure,
               const explanation_settings& settings)
      : ends_(ends),
        ends_of_suspects_(ends_of_suspects),
        run_exposure_(run_exposure),
        settings_(settings),
        accepted_(ends_of_suspects.size()),
        explainers_(ends.size(), 0) {
    std::iota(accepted_.begin(), accepted_.end(), std::size_t{0});
    for (const auto& of_suspect : ends_of_suspects) {
      for (const std::size_t e : of_suspect) {
        ++explainers_[e];
      }
    }
  }

  std::vector<accepted_cause> run() {
    while (!accepted_.empty()) {
      count_ends();
      const auto weakest =
          std::min_element(accepted_.begin(), accepted_.end(),
                           [&](std::size_t a, std::size_t b) { return gain_of(a) < gain_of(b); });
      if (explains_everything_alone() ||
          (gain_of(*weakest) >= settings_.min_gain_of_suspect && gain(0) >= required_gain())) {
        return causes();
      }
      for (const std::size_t e : ends_of_suspects_[*weakest]) {
        --explainers_[e];
      }
      accepted_.erase(weakest);
    }
    return {};
  }

 private:
  [[nodiscard]] std::vector<accepted_cause> causes() const {
    std::vector<accepted_cause> result;
    for (const std::size_t s : accepted_) {
      result.push_back({s, gain_of(s)});
    }
    return result;
  }

  // No end at all remains that anything else caused. This does not depend on the number of live
  // targets, of which a node with few requests knows little.
  [[nodiscard]] bool explains_everything_alone() const {
    return accepted_.size() == 1 && unexplained_ == 0;
  }

  [[nodiscard]] double required_gain() const {
    return settings_.min_gain_of_all +
           settings_.cost_of_suspect * static_cast<double>(accepted_.size());
  }

  // Counts the ends around those that the accepted suspects explain, and the time of all live
  // targets around them.
  void count_ends() {
    std::size_t first = ends_.size();
    std::size_t last = 0;
    for (const std::size_t s : accepted_) {
      first = std::min(first, ends_of_suspects_[s].front());
      last = std::max(last, ends_of_suspects_[s].back());
    }
    explained_ = 0;
    unexplained_ = 0;
    double live = 0;
    duration around{};
    time_point covered{};
    for (std::size_t e = 0; e <= last; ++e) {
      const observed_end& end = ends_[e];
      if (end.ended_at < ends_[first].ended_at - settings_.lookback) {
        continue;
      }
      (explainers_[e] > 0 ? explained_ : unexplained_) += 1;
      live += end.live_targets;
      const time_point until = end.ended_at + settings_.time_after_end;
      around += until - std::max(covered, end.ended_at - settings_.time_before_end);
      covered = until;
    }
    const double target_time = live / (explained_ + unexplained_) * to_seconds(around);
    log_runs_ = std::log(std::max(target_time / to_seconds(run_exposure_), 1.0));
  }

  // Log likelihood ratio of the hypothesis that the accepted suspects cause all but `less` of the
  // ends that they explain. Ends for other reasons have the rate that fits them best, under both
  // hypotheses; an end that a suspect causes comes at any moment of its run.
  [[nodiscard]] double gain(double less) const {
    const double all = explained_ + unexplained_;
    return x_log_x(unexplained_ + less) - x_log_x(all) + (explained_ - less) * (log_runs_ + 1);
  }

  // What this suspect adds to the explanation by the others.
  [[nodiscard]] double gain_of(std::size_t suspect) const {
    const auto& own = ends_of_suspects_[suspect];
    const auto alone =
        std::count_if(own.begin(), own.end(), [&](std::size_t e) { return explainers_[e] == 1; });
    return gain(0) - gain(static_cast<double>(alone));
  }

  std::span<const observed_end> ends_;
  const std::vector<std::vector<std::size_t>>& ends_of_suspects_;
  duration run_exposure_;
  explanation_settings settings_;
  std::vector<std::size_t> accepted_;
  std::vector<std::size_t> explainers_;  // number of accepted suspects that explain each end
  double explained_ = 0;
  double unexplained_ = 0;
  double log_runs_ = 0;  // logarithm of the number of runs that the targets could have had
};

}  // namespace

std::vector<accepted_cause> find_causes(
    std::span<const observed_end> ends,
    const std::vector<std::vector<std::size_t>>& ends_of_suspects, duration run_exposure,
    const explanation_settings& settings) {
  return cause_search(ends, ends_of_suspects, run_exposure, settings).run();
}

}  // namespace arbutus
