// Injects the faults of an experiment.
#include "load/faults.h"

#include <algorithm>

namespace arbutus {

fault_player::fault_player(fleet& f, std::vector<timed_fault> faults,
                           std::function<void(std::size_t)> leave_out)
    : fleet_(f), faults_(std::move(faults)), leave_out_(std::move(leave_out)) {
  std::stable_sort(faults_.begin(), faults_.end(),
                   [](const timed_fault& a, const timed_fault& b) { return a.at < b.at; });
}

fault_player::~fault_player() {
  for (const auto& stop : stops_) {
    if (stop->thread.joinable()) {
      stop->thread.join();
    }
  }
}

void fault_player::play(duration elapsed) {
  while (next_ < faults_.size() && faults_[next_].at <= elapsed) {
    begin(faults_[next_], elapsed);
    ++next_;
  }
  for (std::size_t i = 0; i < undos_.size();) {
    if (undos_[i].at > elapsed) {
      ++i;
      continue;
    }
    const undo due = std::move(undos_[i]);
    undos_.erase(undos_.begin() + static_cast<std::ptrdiff_t>(i));
    due.run();
    mark(elapsed, due.text);
  }
  for (const auto& stop : stops_) {
    if (!stop->left_out && stop->leave_out_at <= elapsed) {
      stop->left_out = true;
      leave_out_(stop->node);
    }
  }
}

void fault_player::finish(duration elapsed) {
  for (const undo& last : undos_) {
    last.run();
    mark(elapsed, last.text);
  }
  undos_.clear();
  for (const auto& stop : stops_) {
    if (stop->thread.joinable()) {
      stop->thread.join();
      unclean_stops_ += stop->clean ? 0U : 1U;
    }
  }
}

void fault_player::mark(duration elapsed, std::string text) {
  marks_.push_back({to_seconds(elapsed), std::move(text)});
}

void fault_player::undo_later(const timed_fault& fault, duration elapsed, std::string text,
                              std::function<void()> run) {
  if (fault.lasts) {
    undos_.push_back({elapsed + *fault.lasts, std::move(text), std::move(run)});
  }
}

void fault_player::begin(const timed_fault& fault, duration elapsed) {
  switch (fault.kind) {
    case fault_kind::kill_member:
    case fault_kind::straggler:
    case fault_kind::leaving:
      begin_on_member(fault, elapsed);
      return;
    case fault_kind::table_down:
    case fault_kind::table_slow:
    case fault_kind::lose_replies:
    case fault_kind::cut_off:
      begin_on_table(fault, elapsed);
      return;
    case fault_kind::crossed:
    case fault_kind::late:
    case fault_kind::truncated:
    case fault_kind::service_cut:
      begin_on_answers(fault, elapsed);
      return;
    case fault_kind::stop_node:
      begin_stop(fault, elapsed);
      return;
  }
}

void fault_player::begin_on_member(const timed_fault& fault, duration elapsed) {
  const vm_id vm = fleet_.find_member(fault.data_centre).vm;
  if (vm.empty()) {
    mark(elapsed, "no serving replica to inject the fault into");
    return;
  }
  standin_fleet& standins = fleet_.standins();
  if (fault.kind == fault_kind::kill_member) {
    standins.kill_vm(vm);
    mark(elapsed, "killed " + vm.str());
    undo_later(fault, elapsed, "restarted " + vm.str(),
               [&standins, vm] { standins.restart_vm(vm); });
  } else if (fault.kind == fault_kind::straggler) {
    standins.set_straggler(vm, fault.speed);
    mark(elapsed, "straggler " + vm.str());
    undo_later(fault, elapsed, "normal again " + vm.str(),
               [&standins, vm] { standins.set_straggler(vm, 1.0); });
  } else {
    standins.set_leaving(vm, true);
    mark(elapsed, "leaving " + vm.str());
    undo_later(fault, elapsed, "staying " + vm.str(),
               [&standins, vm] { standins.set_leaving(vm, false); });
  }
}

void fault_player::begin_on_table(const timed_fault& fault, duration elapsed) {
  standin_fleet& standins = fleet_.standins();
  if (fault.kind == fault_kind::table_down) {
    standins.table_outage(true);
    mark(elapsed, "table down");
    undo_later(fault, elapsed, "table up", [&standins] { standins.table_outage(false); });
  } else if (fault.kind == fault_kind::table_slow) {
    const auto set = [&standins](duration latency) {
      standins.set_table_faults([latency](standin::store_faults& f) { f.latency = latency; });
    };
    set(fault.latency);
    mark(elapsed, "table slow");
    undo_later(fault, elapsed, "table fast", [set] { set(duration{}); });
  } else if (fault.kind == fault_kind::lose_replies) {
    standins.lose_replies(fault.count);
    mark(elapsed, "table loses " + std::to_string(fault.count) + " replies");
  } else {
    const data_centre_id centre = fleet_.data_centre(fault.data_centre);
    standins.cut_off(centre, true);
    mark(elapsed, centre.str() + " cut off from the platform");
    undo_later(fault, elapsed, centre.str() + " connected again",
               [&standins, centre] { standins.cut_off(centre, false); });
  }
}

void fault_player::begin_on_answers(const timed_fault& fault, duration elapsed) {
  const std::string kind(fault_names[static_cast<std::size_t>(fault.kind)]);
  mark(elapsed, std::to_string(fault.count) + ' ' + kind);
  standin_fleet& standins = fleet_.standins();
  if (fault.kind == fault_kind::service_cut) {
    standin::service_faults faults;
    faults.cut_after = fault.count;
    standins.set_service_faults(service_id{fleet_service}, faults);
    return;
  }
  standin::next_answers faults;
  faults.crossed = fault.kind == fault_kind::crossed ? fault.count : 0;
  faults.late = fault.kind == fault_kind::late ? fault.count : 0;
  faults.late_by = fault.latency;
  faults.truncated = fault.kind == fault_kind::truncated ? fault.count : 0;
  for (const fleet::replica_head& head : fleet_.heads()) {
    standins.set_answer_faults(head.vm, faults);
  }
}

// The callers stop using the node after half of the balancer's lag, as a load balancer would; the
// node keeps accepting calls until the lag has passed.
void fault_player::begin_stop(const timed_fault& fault, duration elapsed) {
  auto stop = std::make_unique<planned_stop>();
  stop->node = (fault.data_centre + 1) * fleet_.shape().nodes_per_data_centre - 1;
  stop->leave_out_at = elapsed + fleet_.shape().balancer_lag / 2;
  planned_stop& begun = *stop;
  begun.thread = std::thread([this, &begun] { begun.clean = fleet_.nodes()[begun.node]->stop(); });
  mark(elapsed, "node stops in " + fleet_.data_centre(fault.data_centre).str());
  stops_.push_back(std::move(stop));
}

}  // namespace arbutus
