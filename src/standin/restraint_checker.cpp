// What stand-in targets ask of the nodes, and a check that each node complies.
#include "standin/restraint_checker.h"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace arbutus::standin {

namespace {

// Requests that are on their way when the target answers may still arrive within this time.
constexpr duration notice_delay = 500ms;
constexpr int unavailable_status = 503;

duration seconds_of(const std::string& text) {
  double seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return from_seconds(std::clamp(seconds, 0.0, 1e6));
}

}  // namespace

void restraint_checker::set_behaviour(const std::string& target,
                                      const target_behaviour& behaviour) {
  if (target.empty()) {
    behaviours_.clear();
  }
  behaviours_[target] = behaviour;
}

target_behaviour restraint_checker::behaviour_of(const std::string& target) const {
  auto found = behaviours_.find(target);
  if (found == behaviours_.end()) {
    found = behaviours_.find("");
  }
  return found == behaviours_.end() ? target_behaviour{} : found->second;
}

void restraint_checker::arrived(time_point now, const std::string& target,
                                const std::string& request) {
  const std::string node = node_of_request(request);
  for (backoff_window& window : windows_) {
    const bool counts = window.target == target && window.node == node &&
                        now > window.asked_at + notice_delay && now < window.ends;
    window.arrivals += counts ? 1 : 0;
  }
  if (const auto told = told_leaving_.find({target, node}); told != told_leaving_.end()) {
    arrivals_after_notice_.push_back({target, node, request, told->second, now});
  }
}

void restraint_checker::answered(time_point now, const std::string& target,
                                 const std::string& request) {
  const target_behaviour behaviour = behaviour_of(target);
  const std::string node = node_of_request(request);
  const duration asked = seconds_of(behaviour.retry_after);
  const bool asks_for_backoff =
      behaviour.turns_away || behaviour.failure_status == unavailable_status;
  if (asks_for_backoff && asked > notice_delay) {
    windows_.push_back({target, node, now, now + asked, 0});
  }
  if (behaviour.is_leaving) {
    told_leaving_.try_emplace({target, node}, now);
  }
}

void restraint_checker::restarted(const std::string& target) {
  std::erase_if(windows_, [&](const backoff_window& w) {
    return w.target == target && w.arrivals <= max_arrivals_in_window;
  });
  std::erase_if(told_leaving_, [&](const auto& entry) { return entry.first.first == target; });
  behaviours_.erase(target);
}

std::vector<backoff_window> restraint_checker::broken_windows() const {
  std::vector<backoff_window> broken;
  std::ranges::copy_if(windows_, std::back_inserter(broken),
                       [](const backoff_window& w) { return w.arrivals > max_arrivals_in_window; });
  return broken;
}

std::string node_of_request(std::string_view request) {
  const auto at = request.rfind('@');
  return at == std::string_view::npos ? std::string{} : std::string(request.substr(at + 1));
}

}  // namespace arbutus::standin
