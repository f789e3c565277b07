// Injects the faults of an experiment into a fleet, according to their timeline.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "load/experiment.h"
#include "load/fleet.h"
#include "load/results.h"

namespace arbutus {

class fault_player {
 public:
  // `leave_out(node)` makes the callers stop using that node, as the platform's load balancer
  // would.
  fault_player(fleet& f, std::vector<timed_fault> faults,
               std::function<void(std::size_t)> leave_out);
  ~fault_player();  // waits for planned stops
  fault_player(const fault_player&) = delete;
  fault_player& operator=(const fault_player&) = delete;

  // Injects the faults that are due and undoes those whose duration has passed.
  void play(duration elapsed);
  // Undoes all remaining faults and waits for planned stops.
  void finish(duration elapsed);

  [[nodiscard]] const std::vector<fault_mark>& marks() const { return marks_; }
  // Planned stops that interrupted requests.
  [[nodiscard]] std::size_t unclean_stops() const { return unclean_stops_; }

 private:
  struct undo {
    duration at;
    std::string text;
    std::function<void()> run;
  };
  struct planned_stop {
    std::size_t node{};
    duration leave_out_at{};
    bool left_out = false;
    bool clean = false;  // read after the join
    std::thread thread;
  };

  void begin(const timed_fault& fault, duration elapsed);
  void begin_on_member(const timed_fault& fault, duration elapsed);
  void begin_on_table(const timed_fault& fault, duration elapsed);
  void begin_on_answers(const timed_fault& fault, duration elapsed);
  void begin_stop(const timed_fault& fault, duration elapsed);
  void mark(duration elapsed, std::string text);
  void undo_later(const timed_fault& fault, duration elapsed, std::string text,
                  std::function<void()> run);

  fleet& fleet_;
  std::vector<timed_fault> faults_;  // by time; those before next_ were injected
  std::size_t next_ = 0;
  std::function<void(std::size_t)> leave_out_;
  std::vector<undo> undos_;
  std::vector<std::unique_ptr<planned_stop>> stops_;
  std::vector<fault_mark> marks_;
  std::size_t unclean_stops_ = 0;
};

}  // namespace arbutus
