// Counts the outcomes of requests over a period from the log lines of all nodes: by time window,
// route, data centre and reason, together with the number of serving replicas. Meant for the
// analysis of an incident in which hundreds of nodes wrote more lines than a person can read.
//
// Successful requests are logged at level "debug" only. At other levels their number is unknown and
// the tables contain failures only.
#pragma once

#include <chrono>
#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>

#include "node/request_timeline.h"

namespace arbutus {

struct outcome_counts {
  std::map<std::string, std::uint64_t>
      requests_by_result;  // done, refused, failed, cut, caller_gone
  std::map<std::string, std::uint64_t> failures_by_reason;  // of requests that did not succeed
  // Serving replicas by model: the highest count of any node, since nodes that are partitioned or
  // have just started count fewer.
  std::map<std::string, std::uint64_t> replicas;
  std::uint64_t lost_targets = 0;     // number of log lines that report a target as lost
  std::uint64_t orders_accepted = 0;  // orders of nodes to targets, by outcome
  std::uint64_t orders_failed = 0;

  [[nodiscard]] std::uint64_t ended_requests() const;
  [[nodiscard]] std::uint64_t unsuccessful_requests() const;
};

class log_outcomes {
 public:
  explicit log_outcomes(std::chrono::seconds window) : window_duration_(window) {}

  // Counts the log lines of a file. Returns the number of lines that could not be parsed.
  std::size_t read(std::istream& lines);

  [[nodiscard]] bool empty() const { return counts_by_window_.empty(); }
  // A table with one row per time window, then totals by route, by data centre and by reason.
  [[nodiscard]] std::string to_text() const;

 private:
  void count_line(const logged_line& line);
  void count_request(const logged_line& line, outcome_counts& counts);
  void record_capacity(const logged_line& line);
  [[nodiscard]] std::map<std::string, outcome_counts> by_data_centre() const;
  [[nodiscard]] std::map<std::string, std::uint64_t> replicas_at(wall_clock_time window) const;

  std::chrono::seconds window_duration_;
  std::map<wall_clock_time, outcome_counts> counts_by_window_;
  std::map<std::string, outcome_counts> counts_by_route_;
  std::map<std::string, outcome_counts> counts_by_node_;
  std::map<std::string, std::string> data_centre_of_;  // by node, from its "started" line
  // Number of serving replicas that a node logged, by model, node and time.
  std::map<std::string, std::map<std::string, std::map<wall_clock_time, std::uint64_t>>>
      replica_counts_;
};

}  // namespace arbutus
