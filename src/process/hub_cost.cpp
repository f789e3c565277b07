// Builds the target list of a serving fleet and times the replica controller and the planner on it.
#include "process/hub_cost.h"

#include <array>
#include <ctime>
#include <iomanip>
#include <string>
#include <variant>
#include <vector>

#include "capacity/domain_layout.h"
#include "capacity/replica_controller.h"

namespace arbutus {

namespace {

const model_id large{"large"};
const model_id small{"small"};
constexpr time_point begin{1h};

service_spec make_service_spec(const hub_cost_size& size) {
  service_spec service;
  service.id = service_id{"llm"};
  engine_parameters engine;
  engine.slots = 22;
  engine.concurrent_loads = 136;
  engine.models = {{large, size.large_replica, 0.5, 1.0, 16s, 1600ms},
                   {small, size.small_replica, 0.5, 0.6, 12s, 1100ms}};
  service.engine = engine;
  return service;
}

data_centre_id data_centre_at(std::size_t index) {
  return data_centre_id{"hall-" + std::to_string(index)};
}

// Builds the records of the engines. Domains alternate between the large and the small model;
// engines that are left over after forming replicas are ready spares.
std::vector<target_record> make_target_records(const hub_cost_size& size) {
  std::vector<target_record> records;
  for (std::size_t d = 0; d < size.data_centres * size.domains; ++d) {
    const std::uint32_t replica_size = d % 2 == 0 ? size.large_replica : size.small_replica;
    const model_id& model = d % 2 == 0 ? large : small;
    target_id head;
    for (std::size_t e = 0; e < size.engines; ++e) {
      target_record record;
      record.id = target_id{"i-" + std::to_string(1'000'000 + d * size.engines + e)};
      record.service = service_id{"llm"};
      record.address = {"10.0.0.1", static_cast<std::uint16_t>(1000 + e)};
      record.data_centre = data_centre_at(d / size.domains);
      record.domain = fabric_domain_id{"domain-" + std::to_string(d)};
      record.loaded = model;
      const auto rank = static_cast<std::uint32_t>(e % replica_size);
      const bool complete = e / replica_size < size.engines / replica_size;
      head = rank == 0 ? record.id : head;
      if (complete) {
        record.member_of =
            membership{{"r." + model.str() + ".k.d." + head.str(), 1 + e / replica_size},
                       rank,
                       rank == 0 ? member_state::open : member_state::ready};
      } else {
        record.member_of =
            membership{{"s." + model.str() + "." + record.id.str(), 1}, 0, member_state::ready};
      }
      records.push_back(std::move(record));
    }
  }
  return records;
}

class measured_controller {
 public:
  explicit measured_controller(const hub_cost_size& size)
      : service_(make_service_spec(size)),
        controller_({}, "k", begin),
        records_(make_target_records(size)) {
    own_.data_centres = {data_centre_at(0)};
    own_.all_data_centres = size.data_centres;
    own_.requests_seen = true;
    for (const target_record& record : records_) {
      fleet_.apply_record(now_, record);
    }
    constexpr int settle_ticks = 20;  // after these, every engine has answered its report request
    for (int i = 0; i < settle_ticks; ++i) {
      tick();
    }
  }

  // Mean processor time of a tick of the replica controller, in ms.
  double time_ticks(int count, bool with_changes) {
    const std::clock_t from = std::clock();
    for (int i = 0; i < count; ++i) {
      if (with_changes) {
        target_record& record = records_[static_cast<std::size_t>(i) % records_.size()];
        record.slots += 1;
        fleet_.apply_record(now_, record);
      }
      tick();
    }
    return static_cast<double>(std::clock() - from) * 1000 / CLOCKS_PER_SEC / count;
  }

 private:
  void tick() {
    constexpr duration interval = 20ms;
    now_ += interval;
    for (const controller_effect& e : controller_.tick(now_, fleet_, service_, own_)) {
      if (const auto* query = std::get_if<report_request>(&e)) {
        const target_view* view = fleet_.find(query->to);
        target_report report;
        report.incarnation = query->to;
        report.member_of = view->record.member_of;
        report.loaded = view->record.loaded;
        controller_.on_report(now_, query->to, report);
      }
    }
  }

  service_spec service_;
  replica_controller controller_;
  std::vector<target_record> records_;
  fleet_view fleet_;
  replica_controller::responsibilities own_;
  time_point now_ = begin;
};

double time_plan(const hub_cost_size& size) {
  constexpr int count = 10;
  std::vector<layout_domain> domains(size.data_centres * size.domains);
  for (std::size_t d = 0; d < domains.size(); ++d) {
    const auto all = static_cast<std::uint32_t>(size.engines);
    domains[d].ready =
        d % 2 == 0 ? std::vector<std::uint32_t>{all, 0} : std::vector<std::uint32_t>{0, all};
  }
  const std::array<layout_model, 2> models = {
      layout_model{size.large_replica, 0.5 / size.large_replica},
      layout_model{size.small_replica, 0.5 / size.small_replica}};
  const std::clock_t from = std::clock();
  for (int i = 0; i < count; ++i) {
    domains.front().unloaded = static_cast<std::uint32_t>(i);
    const fleet_layout layout = plan_layout(domains, models);
    if (layout.size() != domains.size()) {
      return 0;
    }
  }
  return static_cast<double>(std::clock() - from) * 1000 / CLOCKS_PER_SEC / count;
}

}  // namespace

hub_cost measure_hub_cost(const hub_cost_size& size) {
  constexpr int ticks = 50;  // one second
  measured_controller controller(size);
  hub_cost cost;
  cost.engines = size.data_centres * size.domains * size.engines;
  cost.quiet_tick_ms = controller.time_ticks(ticks, false);
  cost.busy_tick_ms = controller.time_ticks(ticks, true);
  cost.plan_ms = time_plan(size);
  return cost;
}

void print_hub_cost(std::ostream& out) {
  constexpr std::array<hub_cost_size, 6> sizes = {
      {{5, 1, 13}, {3, 3, 37}, {5, 3, 73}, {3, 12, 8, 4, 2}, {3, 40, 8, 4, 2}, {3, 120, 8, 4, 2}}};
  out << "engines  quiet tick ms  busy tick ms  plan ms\n" << std::fixed << std::setprecision(2);
  for (const hub_cost_size& size : sizes) {
    const hub_cost cost = measure_hub_cost(size);
    out << std::setw(7) << cost.engines << std::setw(15) << cost.quiet_tick_ms << std::setw(14)
        << cost.busy_tick_ms << std::setw(9) << cost.plan_ms << '\n';
  }
}

}  // namespace arbutus
