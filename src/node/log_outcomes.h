// What became of requests over a stretch of time, from the log lines of all nodes: by time, route,
// data centre and reason, beside the replicas that served. What an operator asks after a bad
// evening, when hundreds of nodes have written too much to be read.
//
// Requests that ended well are in the log only at its level "debug": without them their number is
// unknown, and what is shown are failures alone.
#pragma once

#include <chrono>
#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>

#include "node/log_story.h"

namespace arbutus {

struct outcome_counts {
  std::map<std::string, std::uint64_t> by_result;  // done, refused, failed, cut, caller_gone
  std::map<std::string, std::uint64_t> by_reason;  // of those that did not end well
  // Replicas that serve, by model: the most that any node counted, as nodes that are cut off or
  // have just started count fewer.
  std::map<std::string, std::uint64_t> replicas;
  std::uint64_t lost_targets = 0;
  std::uint64_t orders_obeyed = 0;
  std::uint64_t orders_failed = 0;

  [[nodiscard]] std::uint64_t ended() const;
  [[nodiscard]] std::uint64_t not_well() const;
};

class log_outcomes {
 public:
  explicit log_outcomes(std::chrono::seconds window) : window_(window) {}

  // Returns how many lines it could not read.
  std::size_t read(std::istream& lines);

  [[nodiscard]] bool empty() const { return by_window_.empty(); }
  // Windows from the first to the last line, then totals by route, by data centre and by reason.
  [[nodiscard]] std::string to_text() const;

 private:
  void take(const logged_line& line);
  void take_request(const logged_line& line, outcome_counts& counts);
  void take_capacity(const logged_line& line);
  [[nodiscard]] std::map<std::string, outcome_counts> by_data_centre() const;
  [[nodiscard]] std::map<std::string, std::uint64_t> replicas_at(wall_clock_time window) const;

  std::chrono::seconds window_;
  std::map<wall_clock_time, outcome_counts> by_window_;
  std::map<std::string, outcome_counts> by_route_;
  std::map<std::string, outcome_counts> by_node_;
  std::map<std::string, std::string> data_centre_of_;  // node: as it said when it started
  // What each node last counted of a model, by time.
  std::map<std::string, std::map<std::string, std::map<wall_clock_time, std::uint64_t>>> capacity_;
};

}  // namespace arbutus
