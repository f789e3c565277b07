// Which targets of one service this node can open connections to.
//
// A failed connection attempt does not tell whether the target has ended or this node's path to it
// is cut. Attempts at other targets do: if several others cannot be reached either, the node takes
// itself to be cut off from the service, until one of its targets can be reached again. That is a
// belief about this node's paths only; it says nothing about the targets.
//
// Only new connections count: established ones may go on while new ones are refused. Reads no
// clock; the caller carries out the connection tests that tests_due() names.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "base/id.h"
#include "base/rng.h"
#include "base/units.h"

namespace arbutus {

struct reach_settings {
  // Failures at different targets within this time make the node doubt its own paths.
  duration evidence_window = 1s;
  std::size_t failures_until_doubt = 2;
  // Further targets that are tested then. If none of them can be reached, the node is cut off.
  std::size_t sample_size = 4;
  // After a sample that reached a target, no further one is taken for this time.
  duration sample_interval = 500ms;
  duration retest_interval = 400ms;    // of one unreachable target
  std::size_t max_retests = 4;         // tests of unreachable targets that begin together
  duration cut_test_interval = 200ms;  // of a node that is cut off
  std::size_t tests_while_cut = 2;     // tests that begin together then
};

enum class reach_change : std::uint8_t { none, cut_off, restored };

class target_reach {
 public:
  explicit target_reach(const reach_settings& settings = {}) : settings_(settings) {}

  // A new connection to the target could not be established.
  reach_change connect_failed(time_point now, const target_id& id);
  // A new connection to the target was established.
  reach_change connected(time_point now, const target_id& id);

  // Doubts the paths without a failed connection, since all targets have fallen silent together.
  void doubt(time_point now);

  // No target of the service is listed any more, so there is nothing to be cut off from.
  reach_change no_targets();

  // Whether tests_due() has anything to do.
  [[nodiscard]] bool needs_tests() const {
    return is_cut_off_ || is_doubtful_ || !unreachable_.empty();
  }
  // Targets to test now. `targets` are all that are listed, also those that get no requests; all
  // others are forgotten. connect_failed() or connected() has to be called for each one returned.
  [[nodiscard]] std::vector<target_id> tests_due(time_point now, std::span<const target_id> targets,
                                                 rng& random);

  [[nodiscard]] bool is_cut_off() const { return is_cut_off_; }
  // Whether it is being tested if this node is cut off.
  [[nodiscard]] bool is_doubtful() const { return is_doubtful_; }
  // Whether no new connection to the target can be expected.
  [[nodiscard]] bool is_unreachable(const target_id& id) const {
    return is_cut_off_ || unreachable_.contains(id);
  }
  [[nodiscard]] std::size_t unreachable_count() const { return unreachable_.size(); }

 private:
  [[nodiscard]] std::vector<target_id> begin_sample(std::span<const target_id> targets,
                                                    rng& random);
  [[nodiscard]] std::vector<target_id> begin_retests(time_point now);
  [[nodiscard]] std::vector<target_id> begin_cut_tests(time_point now,
                                                       std::span<const target_id> targets,
                                                       rng& random);
  void begin_test(const target_id& id, std::vector<target_id>& tests);

  reach_settings settings_;
  std::map<target_id, time_point> unreachable_;  // time of the last failed attempt
  std::set<target_id> recent_failures_;          // targets that failed since first_failure_at_
  time_point first_failure_at_{};
  bool is_doubtful_ = false;
  bool is_cut_off_ = false;
  std::set<target_id> sample_;  // targets of the sample without a result; empty: none is running
  time_point next_sample_at_{};
  time_point next_cut_tests_at_{};
  std::set<target_id> being_tested_;
};

}  // namespace arbutus
