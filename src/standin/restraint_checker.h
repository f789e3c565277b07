// What stand-in targets ask of the nodes in their answers (to back off, or to send nothing more
// since the target is leaving), and a check that each node complies.
//
// A request names the node that it was sent to after an '@' in its id, since all nodes of a test
// have the same address. Not thread-safe.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/units.h"

namespace arbutus::standin {

// What a stand-in target does with the requests that it gets.
struct target_behaviour {
  bool turns_away = false;  // answers 503 without running the request
  std::string retry_after;  // sent with the 503; empty: not sent
  bool is_leaving = false;  // says so in all its answers
  // An engine whose streams repeat this text without end instead of events; empty: they do not.
  std::string endless_text = {};
  // Runs requests and closes their connections without an answer.
  bool closes_connections = false;
  // Runs requests and answers them with this status, signed, and with `retry_after`; zero: it does
  // not fail them. Only a 503 asks for a backoff.
  int failure_status = 0;
};

// The requests of one node to one target from half a second after the target asked it to back off
// until the end of the time it named.
struct backoff_window {
  std::string target;
  std::string node;
  time_point asked_at{};
  time_point ends{};
  std::size_t arrivals = 0;
};

// A request that reached a target after the target had told the node that it is leaving.
struct arrival_after_notice {
  std::string target;
  std::string node;
  std::string request;
  time_point told_at{};
  time_point arrived_at{};
};

class restraint_checker {
 public:
  // Maximum number of requests in a backoff_window.
  static constexpr std::size_t max_arrivals_in_window = 2;

  // `target` empty: all targets.
  void set_behaviour(const std::string& target, const target_behaviour& behaviour);
  [[nodiscard]] target_behaviour behaviour_of(const std::string& target) const;

  void arrived(time_point now, const std::string& target, const std::string& request);
  // The target has answered the request as its behaviour says.
  void answered(time_point now, const std::string& target, const std::string& request);
  // Another incarnation of the target started: it has asked nothing yet.
  void restarted(const std::string& target);

  [[nodiscard]] std::vector<backoff_window> broken_windows() const;
  [[nodiscard]] const std::vector<arrival_after_notice>& arrivals_after_notice() const {
    return arrivals_after_notice_;
  }

 private:
  using node_at_target = std::pair<std::string, std::string>;  // target, node

  std::map<std::string, target_behaviour> behaviours_;  // key "": all targets
  std::vector<backoff_window> windows_;
  std::map<node_at_target, time_point> told_leaving_;  // first answer that said so
  std::vector<arrival_after_notice> arrivals_after_notice_;
};

// The node that the request was sent to; empty if its id names none.
[[nodiscard]] std::string node_of_request(std::string_view request);

}  // namespace arbutus::standin
