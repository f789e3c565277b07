// Tells a cut of this node's paths from targets that have ended.
#include "process/target_reach.h"

#include <algorithm>

namespace arbutus {

namespace {

// Moves up to `count` random elements to the front and removes the others.
void keep_random(std::vector<target_id>& targets, std::size_t count, rng& random) {
  count = std::min(count, targets.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(targets[i], targets[i + random.below(targets.size() - i)]);
  }
  targets.resize(count);
}

}  // namespace

reach_change target_reach::connect_failed(time_point now, const target_id& id) {
  being_tested_.erase(id);
  if (is_cut_off_) {
    return reach_change::none;
  }
  unreachable_[id] = now;
  if (now - first_failure_at_ > settings_.evidence_window) {
    recent_failures_.clear();
    first_failure_at_ = now;
  }
  recent_failures_.insert(id);
  if (recent_failures_.size() >= settings_.failures_until_doubt && now >= next_sample_at_) {
    is_doubtful_ = true;
  }
  const bool sample_failed = sample_.erase(id) > 0 && sample_.empty();
  if (!sample_failed) {
    return reach_change::none;
  }
  is_doubtful_ = false;
  is_cut_off_ = true;
  next_cut_tests_at_ = now + settings_.cut_test_interval;
  return reach_change::cut_off;
}

reach_change target_reach::connected(time_point now, const target_id& id) {
  being_tested_.erase(id);
  recent_failures_.clear();
  sample_.clear();
  is_doubtful_ = false;
  next_sample_at_ = now + settings_.sample_interval;
  if (is_cut_off_) {
    is_cut_off_ = false;
    unreachable_.clear();
    return reach_change::restored;
  }
  if (unreachable_.erase(id) > 0) {
    // Paths often return together, so the others are tested without delay.
    for (auto& [other, failed_at] : unreachable_) {
      failed_at = now - settings_.retest_interval;
    }
  }
  return reach_change::none;
}

reach_change target_reach::no_targets() {
  const bool was_cut_off = is_cut_off_;
  *this = target_reach(settings_);
  return was_cut_off ? reach_change::restored : reach_change::none;
}

void target_reach::doubt(time_point now) {
  is_doubtful_ = is_doubtful_ || (!is_cut_off_ && now >= next_sample_at_);
}

void target_reach::begin_test(const target_id& id, std::vector<target_id>& tests) {
  if (being_tested_.insert(id).second) {
    tests.push_back(id);
  }
}

std::vector<target_id> target_reach::tests_due(time_point now, std::span<const target_id> targets,
                                               rng& random) {
  const std::set<target_id> known(targets.begin(), targets.end());
  std::erase_if(unreachable_, [&](const auto& entry) { return !known.contains(entry.first); });
  if (is_cut_off_) {
    return begin_cut_tests(now, targets, random);
  }
  std::vector<target_id> tests = begin_retests(now);
  if (is_doubtful_ && sample_.empty()) {
    const std::vector<target_id> sample = begin_sample(targets, random);
    tests.insert(tests.end(), sample.begin(), sample.end());
  }
  return tests;
}

std::vector<target_id> target_reach::begin_sample(std::span<const target_id> targets, rng& random) {
  std::vector<target_id> candidates;
  std::copy_if(targets.begin(), targets.end(), std::back_inserter(candidates),
               [&](const target_id& id) {
                 return !unreachable_.contains(id) && !being_tested_.contains(id);
               });
  if (candidates.empty()) {
    candidates.assign(targets.begin(), targets.end());
  }
  keep_random(candidates, settings_.sample_size, random);
  std::vector<target_id> tests;
  for (const target_id& id : candidates) {
    sample_.insert(id);
    begin_test(id, tests);
  }
  is_doubtful_ = !sample_.empty();
  return tests;
}

std::vector<target_id> target_reach::begin_retests(time_point now) {
  std::vector<target_id> tests;
  for (const auto& [id, failed_at] : unreachable_) {
    if (now - failed_at >= settings_.retest_interval && tests.size() < settings_.max_retests) {
      begin_test(id, tests);
    }
  }
  return tests;
}

std::vector<target_id> target_reach::begin_cut_tests(time_point now,
                                                     std::span<const target_id> targets,
                                                     rng& random) {
  if (now < next_cut_tests_at_) {
    return {};
  }
  next_cut_tests_at_ = now + settings_.cut_test_interval;
  std::vector<target_id> candidates(targets.begin(), targets.end());
  keep_random(candidates, settings_.tests_while_cut, random);
  std::vector<target_id> tests;
  for (const target_id& id : candidates) {
    begin_test(id, tests);
  }
  return tests;
}

}  // namespace arbutus
