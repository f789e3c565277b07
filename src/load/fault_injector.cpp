// Injects the faults of an experiment into a fleet and undoes them.
#include "load/fault_injector.h"

#include <algorithm>

namespace arbutus {

fault_injector::fault_injector(fleet& f, std::vector<scheduled_fault> faults,
                               std::function<void(std::size_t)> exclude_node)
    : fleet_(f), faults_(std::move(faults)), exclude_node_(std::move(exclude_node)) {
  std::stable_sort(faults_.begin(), faults_.end(),
                   [](const scheduled_fault& a, const scheduled_fault& b) { return a.at < b.at; });
}

fault_injector::~fault_injector() {
  for (const auto& stop : planned_stops_) {
    if (stop->thread.joinable()) {
      stop->thread.join();
    }
  }
}

void fault_injector::apply_due(duration elapsed) {
  while (next_ < faults_.size() && faults_[next_].at <= elapsed) {
    begin(faults_[next_], elapsed);
    ++next_;
  }
  for (std::size_t i = 0; i < pending_undos_.size();) {
    if (pending_undos_[i].at > elapsed) {
      ++i;
      continue;
    }
    const pending_undo due = std::move(pending_undos_[i]);
    pending_undos_.erase(pending_undos_.begin() + static_cast<std::ptrdiff_t>(i));
    due.run();
    record_event(elapsed, due.text);
  }
  for (const auto& stop : planned_stops_) {
    if (!stop->excluded && stop->exclude_at <= elapsed) {
      stop->excluded = true;
      exclude_node_(stop->node);
    }
  }
}

void fault_injector::finish(duration elapsed) {
  for (const pending_undo& last : pending_undos_) {
    last.run();
    record_event(elapsed, last.text);
  }
  pending_undos_.clear();
  for (const auto& stop : planned_stops_) {
    if (stop->thread.joinable()) {
      stop->thread.join();
      unclean_stops_ += stop->clean ? 0U : 1U;
    }
  }
}

void fault_injector::record_event(duration elapsed, std::string text) {
  events_.push_back({to_seconds(elapsed), std::move(text)});
}

void fault_injector::schedule_undo(const scheduled_fault& fault, duration elapsed, std::string text,
                                   std::function<void()> run) {
  if (fault.undo_after) {
    pending_undos_.push_back({elapsed + *fault.undo_after, std::move(text), std::move(run)});
  }
}

void fault_injector::begin(const scheduled_fault& fault, duration elapsed) {
  switch (fault.kind) {
    case fault_kind::kill_member:
    case fault_kind::straggler:
    case fault_kind::leaving:
      inject_member_fault(fault, elapsed);
      return;
    case fault_kind::table_down:
    case fault_kind::table_slow:
    case fault_kind::lose_replies:
    case fault_kind::cut_off:
      inject_table_fault(fault, elapsed);
      return;
    case fault_kind::swapped:
    case fault_kind::late:
    case fault_kind::truncated:
    case fault_kind::service_cut:
      inject_answer_fault(fault, elapsed);
      return;
    case fault_kind::stop_node:
      start_planned_stop(fault, elapsed);
      return;
  }
}

void fault_injector::inject_member_fault(const scheduled_fault& fault, duration elapsed) {
  const vm_id vm = fleet_.find_member(fault.data_centre).vm;
  if (vm.empty()) {
    record_event(elapsed, "no serving replica to inject the fault into");
    return;
  }
  standin_fleet& standins = fleet_.standins();
  if (fault.kind == fault_kind::kill_member) {
    standins.kill_vm(vm);
    record_event(elapsed, "killed " + vm.str());
    schedule_undo(fault, elapsed, "restarted " + vm.str(),
                  [&standins, vm] { standins.restart_vm(vm); });
  } else if (fault.kind == fault_kind::straggler) {
    standins.set_straggler(vm, fault.speed);
    record_event(elapsed, "straggler " + vm.str());
    schedule_undo(fault, elapsed, "normal again " + vm.str(),
                  [&standins, vm] { standins.set_straggler(vm, 1.0); });
  } else {
    standins.set_leaving(vm, true);
    record_event(elapsed, "leaving " + vm.str());
    schedule_undo(fault, elapsed, "staying " + vm.str(),
                  [&standins, vm] { standins.set_leaving(vm, false); });
  }
}

void fault_injector::inject_table_fault(const scheduled_fault& fault, duration elapsed) {
  standin_fleet& standins = fleet_.standins();
  if (fault.kind == fault_kind::table_down) {
    standins.table_outage(true);
    record_event(elapsed, "table down");
    schedule_undo(fault, elapsed, "table up", [&standins] { standins.table_outage(false); });
  } else if (fault.kind == fault_kind::table_slow) {
    const auto set = [&standins](duration latency) {
      standins.set_table_faults([latency](standin::store_faults& f) { f.latency = latency; });
    };
    set(fault.latency);
    record_event(elapsed, "table slow");
    schedule_undo(fault, elapsed, "table fast", [set] { set(duration{}); });
  } else if (fault.kind == fault_kind::lose_replies) {
    standins.lose_replies(fault.count);
    record_event(elapsed, "table loses " + std::to_string(fault.count) + " replies");
  } else {
    const data_centre_id centre = fleet_.data_centre(fault.data_centre);
    standins.cut_off(centre, true);
    record_event(elapsed, centre.str() + " cut off from the platform");
    schedule_undo(fault, elapsed, centre.str() + " connected again",
                  [&standins, centre] { standins.cut_off(centre, false); });
  }
}

void fault_injector::inject_answer_fault(const scheduled_fault& fault, duration elapsed) {
  const std::string kind(fault_names[static_cast<std::size_t>(fault.kind)]);
  record_event(elapsed, std::to_string(fault.count) + ' ' + kind);
  standin_fleet& standins = fleet_.standins();
  if (fault.kind == fault_kind::service_cut) {
    standin::service_faults faults;
    faults.cut_after = fault.count;
    standins.set_service_faults(service_id{fleet_service_name}, faults);
    return;
  }
  standin::pending_answer_faults faults;
  faults.swapped = fault.kind == fault_kind::swapped ? fault.count : 0;
  faults.late = fault.kind == fault_kind::late ? fault.count : 0;
  faults.late_by = fault.latency;
  faults.truncated = fault.kind == fault_kind::truncated ? fault.count : 0;
  for (const fleet::replica_head& head : fleet_.heads()) {
    standins.set_answer_faults(head.vm, faults);
  }
}

// Stops a node in the planned way. The callers stop using it after half of the load balancer's lag,
// as a load balancer would; the node keeps accepting calls until the whole lag has passed.
void fault_injector::start_planned_stop(const scheduled_fault& fault, duration elapsed) {
  auto stop = std::make_unique<planned_stop>();
  stop->node = (fault.data_centre + 1) * fleet_.fleet_config().nodes_per_data_centre - 1;
  stop->exclude_at = elapsed + fleet_.fleet_config().load_balancer_lag / 2;
  planned_stop& begun = *stop;
  begun.thread = std::thread([this, &begun] { begun.clean = fleet_.nodes()[begun.node]->stop(); });
  record_event(elapsed, "node stops in " + fleet_.data_centre(fault.data_centre).str());
  planned_stops_.push_back(std::move(stop));
}

}  // namespace arbutus
