// The story of one request, put together from the log lines of all nodes.
//
// A request's own lines say what was decided; why is mostly in other lines: which version a node
// acted on, whether it reached the store, how many replicas it counted, which target it took for
// lost. This finds both and names the cause in words.
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
  wall_clock_time time;  // by the node's own clock: nodes may differ
  std::string node;
  std::string part;
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;  // numbers as they stand, texts unquoted

  // Empty if the line has no such field.
  [[nodiscard]] std::string_view field(std::string_view key) const;
  bool operator==(const logged_line&) const = default;
};

// Reads a JSON line. What stands before its first brace (a collector's own time and name) is
// skipped. Empty: not a line of a node.
[[nodiscard]] std::optional<logged_line> read_log_line(std::string_view text);

// What a node held to be true when the request ended, as far as its log says.
struct node_belief {
  std::string node;
  std::vector<logged_line> lines;  // the newest of each kind, in order
};

struct request_story {
  std::string request;
  std::vector<logged_line> own;     // of the request, in order of time
  std::vector<logged_line> around;  // what happened to the targets that it was sent to
  std::vector<node_belief> beliefs;
  std::string cause;  // in words; empty if it ended well
};

// Collects lines, in any order of files, then tells stories.
class log_reader {
 public:
  // Keeps lines on `request` and all that concern no request; returns how many it could not read.
  std::size_t read(std::istream& lines, std::string_view request);

  // Empty if no line names the request.
  [[nodiscard]] std::optional<request_story> tell(std::string_view request) const;

 private:
  std::vector<logged_line> own_;
  std::vector<logged_line> others_;
};

// For people: the cause first, then the lines in order, then what the nodes believed.
[[nodiscard]] std::string to_text(const request_story& story);

}  // namespace arbutus
