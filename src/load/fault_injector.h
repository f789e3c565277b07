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

class fault_injector {
 public:
  // `exclude_node(node)` makes the callers stop using that node, as the platform's load balancer
  // would.
  fault_injector(fleet& f, std::vector<scheduled_fault> faults,
                 std::function<void(std::size_t)> exclude_node);
  ~fault_injector();  // waits until nodes that are being stopped have ended
  fault_injector(const fault_injector&) = delete;
  fault_injector& operator=(const fault_injector&) = delete;

  // Injects the faults whose time has come, and undoes those whose duration has passed.
  void apply_due(duration elapsed);
  // Undoes all remaining faults and waits for planned stops.
  void finish(duration elapsed);

  // Injections and undoings of faults so far, with their times.
  [[nodiscard]] const std::vector<fault_event>& events() const { return events_; }
  // Number of planned stops of nodes that interrupted requests.
  [[nodiscard]] std::size_t unclean_stops() const { return unclean_stops_; }

 private:
  struct pending_undo {
    duration at;
    std::string text;
    std::function<void()> run;
  };
  struct planned_stop {
    std::size_t node{};
    duration exclude_at{};
    bool excluded = false;
    bool clean = false;  // the stop interrupted no request; set by `thread`, read after joining it
    std::thread thread;
  };

  void begin(const scheduled_fault& fault, duration elapsed);
  void inject_member_fault(const scheduled_fault& fault, duration elapsed);
  void inject_table_fault(const scheduled_fault& fault, duration elapsed);
  void inject_answer_fault(const scheduled_fault& fault, duration elapsed);
  void start_planned_stop(const scheduled_fault& fault, duration elapsed);
  void record_event(duration elapsed, std::string text);
  void schedule_undo(const scheduled_fault& fault, duration elapsed, std::string text,
                     std::function<void()> run);

  fleet& fleet_;
  // Sorted by time; those before index next_ have been injected.
  std::vector<scheduled_fault> faults_;
  std::size_t next_ = 0;
  std::function<void(std::size_t)> exclude_node_;
  std::vector<pending_undo> pending_undos_;
  std::vector<std::unique_ptr<planned_stop>> planned_stops_;
  std::vector<fault_event> events_;
  std::size_t unclean_stops_ = 0;
};

}  // namespace arbutus
