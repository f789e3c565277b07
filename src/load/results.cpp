// Adds up the results of a load run.
#include "load/results.h"

#include <algorithm>
#include <numeric>

namespace arbutus {

namespace {

constexpr std::size_t max_samples = 12;

void append(std::vector<std::string>& list, const std::vector<std::string>& more) {
  for (const std::string& text : more) {
    if (list.size() < max_samples) {
      list.push_back(text);
    }
  }
}

}  // namespace

void workspace_class_results::add(const call_timing& timing, caller_outcome end) {
  ++ends[static_cast<std::size_t>(end)];
  complete_in_time += timing.complete_in_time ? 1U : 0U;
  if (end != caller_outcome::complete) {
    return;
  }
  total.add(timing.total);
  if (timing.first_token > duration{}) {
    first_token.add(timing.first_token);
  }
  if (timing.per_token > duration{}) {
    per_token.add(timing.per_token);
  }
}

workspace_class_results& workspace_class_results::operator+=(const workspace_class_results& other) {
  first_token += other.first_token;
  total += other.total;
  per_token += other.per_token;
  for (std::size_t i = 0; i < ends.size(); ++i) {
    ends[i] += other.ends[i];
  }
  complete_in_time += other.complete_in_time;
  return *this;
}

std::uint64_t workspace_class_results::calls() const {
  return std::accumulate(ends.begin(), ends.end(), std::uint64_t{0});
}

void variant_result::add(const workspace_and_class& cell, const call_timing& timing,
                         caller_outcome end) {
  const auto second = static_cast<std::size_t>(std::max(0.0, to_seconds(timing.ended_at)));
  if (timeline.size() <= second) {
    timeline.resize(second + 1);
  }
  second_counts& now = timeline[second];
  const bool refused = end == caller_outcome::not_run || end == caller_outcome::unreached;
  ++(end == caller_outcome::complete ? now.complete : refused ? now.refused : now.failed);
  if (timing.measured) {
    cells[cell].add(timing, end);
    late_start.add(timing.late_start);
  }
}

void variant_result::add(const guarantee_checker& checker) {
  for (std::size_t i = 0; i < violation_counts.size(); ++i) {
    violation_counts[i] += checker.count(static_cast<guarantee>(i));
  }
  append(violation_examples, checker.violation_examples());
  not_run_checked += checker.not_run_checked();
  bookings_checked += checker.bookings_checked();
}

variant_result& variant_result::operator+=(const variant_result& other) {
  rounds += other.rounds;
  measured_seconds += other.measured_seconds;
  for (const auto& [name_of, cell] : other.cells) {
    cells[name_of] += cell;
  }
  late_start += other.late_start;
  for (const auto& [reason, count] : other.reasons) {
    reasons[reason] += count;
  }
  timeline.resize(std::max(timeline.size(), other.timeline.size()));
  for (std::size_t i = 0; i < other.timeline.size(); ++i) {
    timeline[i].complete += other.timeline[i].complete;
    timeline[i].refused += other.timeline[i].refused;
    timeline[i].failed += other.timeline[i].failed;
  }
  if (!other.events.empty()) {
    events = other.events;
  }
  for (std::size_t i = 0; i < violation_counts.size(); ++i) {
    violation_counts[i] += other.violation_counts[i];
  }
  append(violation_examples, other.violation_examples);
  append(problems, other.problems);
  not_run_checked += other.not_run_checked;
  bookings_checked += other.bookings_checked;
  return *this;
}

workspace_class_results variant_result::sum() const {
  workspace_class_results all;
  for (const auto& [name_of, cell] : cells) {
    all += cell;
  }
  return all;
}

workspace_class_results variant_result::sum_without(const std::string& workspace) const {
  workspace_class_results all;
  for (const auto& [name_of, cell] : cells) {
    if (name_of.first != workspace) {
      all += cell;
    }
  }
  return all;
}

std::uint64_t variant_result::violations() const {
  return std::accumulate(violation_counts.begin(), violation_counts.end(), std::uint64_t{0});
}

bool variant_result::passed() const {
  if (!problems.empty()) {
    return false;
  }
  if (!expected_violation) {
    return violations() == 0;
  }
  const std::uint64_t expected = violation_counts[static_cast<std::size_t>(*expected_violation)];
  return expected > 0 && expected == violations();
}

bool experiment_report::passed() const {
  return std::all_of(variants.begin(), variants.end(),
                     [](const variant_result& v) { return v.passed(); });
}

}  // namespace arbutus
