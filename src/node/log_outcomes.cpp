// Counts log lines by outcome and prints the tables.
#include "node/log_outcomes.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <numeric>
#include <vector>

namespace arbutus {

namespace {

constexpr std::size_t max_reasons = 12;
constexpr std::size_t max_bar_length = 30;

std::uint64_t parse_count(std::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string clock_text(wall_clock_time time) {
  const auto day = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::hh_mm_ss clock(std::chrono::floor<std::chrono::seconds>(time - day));
  char text[16];
  std::snprintf(text, sizeof text, "%02d:%02d:%02d", static_cast<int>(clock.hours().count()),
                static_cast<int>(clock.minutes().count()),
                static_cast<int>(clock.seconds().count()));
  return text;
}

std::uint64_t count_of(const std::map<std::string, std::uint64_t>& counts, const char* name) {
  const auto found = counts.find(name);
  return found == counts.end() ? 0 : found->second;
}

std::vector<std::pair<std::string, std::uint64_t>> sorted_by_count(
    const std::map<std::string, std::uint64_t>& counts) {
  std::vector<std::pair<std::string, std::uint64_t>> sorted(counts.begin(), counts.end());
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const auto& a, const auto& b) { return a.second > b.second; });
  return sorted;
}

std::string counts_text(const outcome_counts& counts) {
  char text[80];
  std::snprintf(
      text, sizeof text, "%7llu %8llu %7llu %6llu %6llu",
      static_cast<unsigned long long>(count_of(counts.requests_by_result, "done")),
      static_cast<unsigned long long>(count_of(counts.requests_by_result, "refused")),
      static_cast<unsigned long long>(count_of(counts.requests_by_result, "failed")),
      static_cast<unsigned long long>(count_of(counts.requests_by_result, "cut")),
      static_cast<unsigned long long>(count_of(counts.requests_by_result, "caller_gone")));
  return text;
}

constexpr std::string_view counts_header = "   done  refused  failed    cut   gone";

void append_totals(std::string& text, std::string_view title,
                   const std::map<std::string, outcome_counts>& groups) {
  text += "\n" + std::string(title) + std::string(24 - title.size(), ' ') +
          std::string(counts_header) + "  main reason\n";
  for (const auto& [name, counts] : groups) {
    const auto reasons = sorted_by_count(counts.failures_by_reason);
    text += name + std::string(name.size() < 24 ? 24 - name.size() : 1, ' ') + counts_text(counts) +
            "  " + (reasons.empty() ? "" : reasons.front().first) + "\n";
  }
}

}  // namespace

std::uint64_t outcome_counts::ended_requests() const {
  return std::accumulate(requests_by_result.begin(), requests_by_result.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const auto& entry) { return sum + entry.second; });
}

std::uint64_t outcome_counts::unsuccessful_requests() const {
  return ended_requests() - count_of(requests_by_result, "done");
}

std::size_t log_outcomes::read(std::istream& lines) {
  std::size_t unreadable = 0;
  std::string text;
  while (std::getline(lines, text)) {
    if (const auto line = read_log_line(text)) {
      count_line(*line);
    } else {
      ++unreadable;
    }
  }
  return unreadable;
}

void log_outcomes::count_line(const logged_line& line) {
  const auto since_epoch = line.time.time_since_epoch();
  outcome_counts& counts = counts_by_window_[wall_clock_time(
      since_epoch - since_epoch % std::chrono::microseconds(window_duration_))];
  if (line.part == "request" && line.message == "ended") {
    count_request(line, counts);
  } else if (line.part == "fleet" && line.message == "capacity") {
    record_capacity(line);
  } else if (line.part == "fleet" && line.message == "lost") {
    ++counts.lost_targets;
  } else if (line.part == "keeper" && line.message == "order") {
    const std::string_view outcome = line.field("outcome");
    const bool obeyed = outcome == "begun" || outcome == "holds";
    ++(obeyed ? counts.orders_accepted : counts.orders_failed);
  } else if (line.part == "node" && line.message == "started") {
    data_centre_of_[line.node] = line.field("data_centre");
  }
}

void log_outcomes::count_request(const logged_line& line, outcome_counts& counts) {
  const std::string result(line.field("result"));
  for (outcome_counts* c : {&counts, &counts_by_route_[std::string(line.field("route"))],
                            &counts_by_node_[line.node]}) {
    ++c->requests_by_result[result];
    if (result != "done") {
      ++c->failures_by_reason[std::string(line.field("reason"))];
    }
  }
}

void log_outcomes::record_capacity(const logged_line& line) {
  // Nodes of earlier releases do not log the service.
  std::string name(line.field("service"));
  name += (name.empty() ? "" : "/") + std::string(line.field("model"));
  replica_counts_[name][line.node][line.time] = parse_count(line.field("replicas"));
}

std::map<std::string, std::uint64_t> log_outcomes::replicas_at(wall_clock_time window) const {
  std::map<std::string, std::uint64_t> result;
  for (const auto& [model, nodes] : replica_counts_) {
    std::uint64_t& max_count = result[model];
    for (const auto& [node, counts] : nodes) {
      const auto after = counts.upper_bound(window + window_duration_);
      if (after != counts.begin()) {
        max_count = std::max(max_count, std::prev(after)->second);
      }
    }
  }
  return result;
}

// Computed when printing, since a node's "started" line may be in a file that was read last.
std::map<std::string, outcome_counts> log_outcomes::by_data_centre() const {
  std::map<std::string, outcome_counts> result;
  for (const auto& [node, counts] : counts_by_node_) {
    const auto known = data_centre_of_.find(node);
    outcome_counts& sum = result[known == data_centre_of_.end() ? "unknown" : known->second];
    for (const auto& [name, count] : counts.requests_by_result) {
      sum.requests_by_result[name] += count;
    }
    for (const auto& [reason, count] : counts.failures_by_reason) {
      sum.failures_by_reason[reason] += count;
    }
  }
  return result;
}

std::string log_outcomes::to_text() const {
  std::uint64_t max_count = 1;
  for (const auto& [time, counts] : counts_by_window_) {
    max_count = std::max(max_count, counts.unsuccessful_requests());
  }
  std::string text = "from    " + std::string(counts_header) +
                     "   lost  orders  failed  replicas by model, what mostly went wrong\n";
  for (const auto& [time, counts] : counts_by_window_) {
    char numbers[64];
    std::snprintf(numbers, sizeof numbers, " %6llu %7llu %7llu  ",
                  static_cast<unsigned long long>(counts.lost_targets),
                  static_cast<unsigned long long>(counts.orders_accepted),
                  static_cast<unsigned long long>(counts.orders_failed));
    text += clock_text(time) + counts_text(counts) + numbers;
    for (const auto& [model, replicas] : replicas_at(time)) {
      text += model + " " + std::to_string(replicas) + " ";
    }
    text += std::string(counts.unsuccessful_requests() * max_bar_length / max_count, '#');
    const auto reasons = sorted_by_count(counts.failures_by_reason);
    text += reasons.empty() ? "\n" : " " + reasons.front().first + "\n";
  }
  append_totals(text, "route", counts_by_route_);
  append_totals(text, "data centre", by_data_centre());
  text += "\nreason\n";
  std::map<std::string, std::uint64_t> all;
  for (const auto& [time, counts] : counts_by_window_) {
    for (const auto& [reason, count] : counts.failures_by_reason) {
      all[reason] += count;
    }
  }
  std::size_t shown = 0;
  for (const auto& [reason, count] : sorted_by_count(all)) {
    if (shown++ == max_reasons) {
      break;
    }
    char number[16];
    std::snprintf(number, sizeof number, "%8llu  ", static_cast<unsigned long long>(count));
    text += number + (reason.empty() ? "not given" : reason) + "\n";
  }
  return text;
}

}  // namespace arbutus
