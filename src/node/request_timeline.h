// The timeline of one request, assembled from the log lines of all nodes.
//
// The lines of a request say what was decided; the reasons are mostly in other lines: which
// configuration version a node used, whether it reached the store, how many replicas it counted,
// which target it considered lost. The log_reader finds both and describes the cause.
#pragma once

#include <chrono>
#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutus {

using wall_clock_time = std::chrono::sys_time<std::chrono::microseconds>;

// One line of a log, as a node wrote it.
struct logged_line {
  wall_clock_time time;  // by the node's own clock; clocks of nodes may differ
  std::string node;
  std::string part;
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;  // numbers as written, texts unquoted

  // The value of the field with this name. Empty if the line has no such field.
  [[nodiscard]] std::string_view field(std::string_view key) const;
  bool operator==(const logged_line&) const = default;
};

// Parses a JSON log line. Text before the first brace (a log collector's time and name) is
// skipped. Empty: not a node's log line.
[[nodiscard]] std::optional<logged_line> read_log_line(std::string_view text);

// The state that a node last logged before the request ended.
struct last_known_state {
  std::string node;
  std::vector<logged_line> lines;  // the newest of each kind, ordered by time
};

struct request_timeline {
  std::string request;
  std::vector<logged_line> own;      // lines of the request, ordered by time
  std::vector<logged_line> related;  // events of its targets, and poison events of its fingerprint
  std::vector<last_known_state> last_known;
  std::string cause;  // explanation for people; empty if the request succeeded
};

// Collects log lines, from files in any order, and assembles the timeline of a request.
class log_reader {
 public:
  // Keeps the lines of `request` and those of no request. Returns the number of lines that could
  // not be parsed.
  std::size_t read(std::istream& lines, std::string_view request);

  // Assembles the timeline of a request. Empty if no line names the request.
  [[nodiscard]] std::optional<request_timeline> timeline_of(std::string_view request) const;

 private:
  std::vector<logged_line> request_lines_;
  std::vector<logged_line> other_lines_;
};

// For people: the cause, then the lines ordered by time, then the last known state of the nodes.
[[nodiscard]] std::string to_text(const request_timeline& timeline);

}  // namespace arbutus
