// Creates the stand-ins of an inventory and applies faults to them.
#include "standin/fleet.h"

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "base/hash.h"
#include "connection/clock.h"
#include "standin/fault_commands.h"
#include "standin/standin_http.h"

namespace arbutus::standin {

namespace {

struct engine_instance {
  engine_instance(engine_fabric& fabric, const vm_id& vm, const engine_settings& settings)
      : engine(fabric, vm, settings) {}

  engine_standin engine;  // guarded by the fleet's engine_mutex
  std::unique_ptr<engine_server> server;
};

// One service and its instances, ordered as in the inventory.
struct service_group {
  explicit service_group(const service_id& id) : shared(id) {}

  shared_service shared;
  std::vector<std::unique_ptr<service_server>> instances;
};

socket_address address_of(const endpoint& e) {
  return {e.host, e.port};
}

engine_settings settings_of(const vm_record& vm, engine_settings settings) {
  settings.checks_fencing_tokens = vm.checks_fencing_tokens;
  settings.seed ^= stable_hash(vm.id.str());
  return settings;
}

std::optional<bool> extract_flag(nlohmann::json& command, const char* name) {
  if (!command.is_object() || !command.contains(name) || !command[name].is_boolean()) {
    return std::nullopt;
  }
  const bool value = command[name].get<bool>();
  command.erase(name);
  return value;
}

// Applies a fault command to a temporary engine first, so that a refused command changes nothing.
outcome<faults_applied> validate_engine_faults(std::string_view command) {
  engine_fabric fabric;
  engine_standin unused(fabric, vm_id{}, {});
  return set_faults(unused, monotonic_now(), command);
}

}  // namespace

struct standin_fleet::state {
  state(fiber_runtime& r, const inventory& a, const fleet_settings& s)
      : runtime(r),
        assets(a),
        platform_address(s.platform),
        fabric(weight_standin{s.weight_bytes_per_second}) {}

  template <class Action>
  auto with_engine(const vm_id& vm, Action&& action) {
    engine_standin& engine = engines.at(vm)->engine;
    const std::lock_guard lock(engine_mutex);
    return std::forward<Action>(action)(engine, monotonic_now());
  }

  template <class Action>
  auto with_service(const service_id& service, Action&& action) {
    shared_service& shared = services.at(service)->shared;
    const std::lock_guard lock(shared.mutex);
    return std::forward<Action>(action)(shared.service);
  }

  void list(const vm_id& vm, vm_presence presence) {
    const std::lock_guard lock(platform.mutex);
    platform.vms.set(monotonic_now(), vm, presence);
  }

  void kill(const vm_id& vm);
  void restart(const vm_id& vm);
  void start_engines(const fleet_settings& settings);
  void start_services();
  void start_platform(const fleet_settings& settings);
  void faults(const http_request& request, response_writer& writer);
  void vm_faults(const vm_id& vm, const http_request& request, response_writer& writer);

  fiber_runtime& runtime;
  inventory assets;
  endpoint platform_address;
  std::mutex engine_mutex;  // guards the fabric and all engines
  engine_fabric fabric;
  platform_standin platform;
  // Servers are declared after the members that their handlers use, so that servers are destroyed
  // first.
  std::map<vm_id, std::unique_ptr<engine_instance>> engines;
  std::map<service_id, std::unique_ptr<service_group>> services;
  std::unique_ptr<platform_server> platform_http;
};

void standin_fleet::state::start_engines(const fleet_settings& settings) {
  for (vm_record& vm : assets.vms) {
    auto started =
        std::make_unique<engine_instance>(fabric, vm.id, settings_of(vm, settings.engine));
    started->server = std::make_unique<engine_server>(runtime, address_of(vm.address), engine_mutex,
                                                      started->engine);
    vm.address.port = started->server->port();
    engines.emplace(vm.id, std::move(started));
  }
}

void standin_fleet::state::start_services() {
  for (service_target& target : assets.services) {
    auto& group = services[target.service];
    if (!group) {
      group = std::make_unique<service_group>(target.service);
    }
    group->instances.push_back(
        std::make_unique<service_server>(runtime, address_of(target.address), group->shared));
    target.address.port = group->instances.back()->port();
  }
}

void standin_fleet::state::start_platform(const fleet_settings& settings) {
  platform.table.faults() = settings.table;
  platform.objects.faults() = settings.objects;
  platform.vms.set_lag(settings.vm_list_lag);
  for (const vm_record& vm : assets.vms) {
    platform.vms.set(monotonic_now() - settings.vm_list_lag, vm.id, vm_presence::live);
  }
  platform_http = std::make_unique<platform_server>(
      runtime, address_of(platform_address), platform,
      [this](const http_request& request, response_writer& writer) { faults(request, writer); });
  platform_address.port = platform_http->port();
}

void standin_fleet::state::kill(const vm_id& vm) {
  with_engine(vm, [](engine_standin& engine, time_point now) { engine.kill(now); });
  engines.at(vm)->server->close();
}

void standin_fleet::state::restart(const vm_id& vm) {
  kill(vm);
  with_engine(vm, [](engine_standin& engine, time_point now) { engine.restart(now); });
  engines.at(vm)->server->open();
}

// POST /faults/vm/VM takes the fault names of an engine's own /faults and also "killed"; here
// "killed" closes the engine's port and "leaving" changes the list of VMs, too.
// POST /faults/service/SERVICE takes the fault names of a service.
void standin_fleet::state::faults(const http_request& request, response_writer& writer) {
  const auto vm = after(request.target, "/faults/vm/");
  if (vm && assets.find_vm(vm_id{*vm}) != nullptr) {
    vm_faults(vm_id{*vm}, request, writer);
    return;
  }
  const auto name = after(request.target, "/faults/service/");
  if (name && services.contains(service_id{*name})) {
    const auto result = with_service(service_id{*name}, [&](service_standin& service) {
      return set_faults(service.faults(), request.body);
    });
    send_fault_result(writer, result);
    return;
  }
  send_error(writer, 404, "invalid", "nothing of that name");
}

void standin_fleet::state::vm_faults(const vm_id& vm, const http_request& request,
                                     response_writer& writer) {
  auto command = nlohmann::json::parse(request.body, nullptr, false);
  const auto killed = extract_flag(command, "killed");
  const auto engine_command = command.dump();
  if (const auto valid = validate_engine_faults(engine_command); !is_ok(valid)) {
    send_fault_result(writer, valid);
    return;
  }
  if (const auto leaving = extract_flag(command, "leaving")) {
    list(vm, *leaving ? vm_presence::leaving : vm_presence::live);
  }
  if (!engines.contains(vm)) {
    send_json(writer, 200, R"({"note":"listed only: the engine is not in this process"})");
    return;
  }
  if (killed) {
    *killed ? kill(vm) : restart(vm);
  }
  const auto result = with_engine(vm, [&](engine_standin& engine, time_point now) {
    return set_faults(engine, now, engine_command);
  });
  send_fault_result(writer, result);
}

standin_fleet::standin_fleet(fiber_runtime& runtime, const inventory& assets,
                             const fleet_settings& settings)
    : state_(std::make_unique<state>(runtime, assets, settings)) {
  if (settings.engines) {
    state_->start_engines(settings);
  }
  if (settings.services) {
    state_->start_services();
  }
  state_->start_platform(settings);
}

standin_fleet::~standin_fleet() = default;

const inventory& standin_fleet::assets() const noexcept {
  return state_->assets;
}

const endpoint& standin_fleet::platform() const noexcept {
  return state_->platform_address;
}

void standin_fleet::kill_vm(const vm_id& vm) {
  state_->kill(vm);
}

void standin_fleet::restart_vm(const vm_id& vm) {
  state_->restart(vm);
  state_->list(vm, vm_presence::live);
}

void standin_fleet::kill_fabric_domain(const fabric_domain_id& domain) {
  for (const vm_record& vm : state_->assets.vms) {
    if (vm.fabric_domain == domain) {
      kill_vm(vm.id);
    }
  }
}

void standin_fleet::restart_fabric_domain(const fabric_domain_id& domain) {
  for (const vm_record& vm : state_->assets.vms) {
    if (vm.fabric_domain == domain) {
      restart_vm(vm.id);
    }
  }
}

void standin_fleet::pause_vm(const vm_id& vm) {
  state_->with_engine(vm, [](engine_standin& e, time_point now) { e.pause(now); });
}

void standin_fleet::resume_vm(const vm_id& vm) {
  state_->with_engine(vm, [](engine_standin& e, time_point now) { e.resume(now); });
}

void standin_fleet::set_straggler(const vm_id& vm, double speed) {
  state_->with_engine(vm, [&](engine_standin& e, time_point now) { e.set_straggler(now, speed); });
}

void standin_fleet::set_leaving(const vm_id& vm, bool leaving) {
  state_->with_engine(vm, [&](engine_standin& e, time_point) { e.set_leaving(leaving); });
  state_->list(vm, leaving ? vm_presence::leaving : vm_presence::live);
}

void standin_fleet::remove_vm(const vm_id& vm) {
  state_->kill(vm);
  state_->list(vm, vm_presence::removed);
}

void standin_fleet::set_unresponsive(const vm_id& vm, bool unresponsive) {
  state_->with_engine(vm, [&](engine_standin& e, time_point) { e.set_unresponsive(unresponsive); });
}

void standin_fleet::set_checks_tokens(const vm_id& vm, bool checks) {
  state_->with_engine(vm, [&](engine_standin& e, time_point) { e.set_checks_tokens(checks); });
}

void standin_fleet::set_answer_faults(const vm_id& vm, const pending_answer_faults& faults) {
  state_->with_engine(vm, [&](engine_standin& e, time_point) { e.faults() = faults; });
}

void standin_fleet::table_outage(bool down) {
  set_table_faults([down](store_faults& f) { f.down = down; });
}

void standin_fleet::lose_replies(std::uint64_t writes) {
  set_table_faults([writes](store_faults& f) { f.lose_replies = writes; });
}

void standin_fleet::set_table_faults(const std::function<void(store_faults&)>& change) {
  const std::lock_guard lock(state_->platform.mutex);
  change(state_->platform.table.faults());
}

void standin_fleet::set_object_faults(const std::function<void(store_faults&)>& change) {
  const std::lock_guard lock(state_->platform.mutex);
  change(state_->platform.objects.faults());
}

void standin_fleet::cut_off(const data_centre_id& dc, bool cut) {
  const auto change = [&](store_faults& f) {
    if (cut) {
      f.cut_off.insert(dc);
    } else {
      f.cut_off.erase(dc);
    }
  };
  set_table_faults(change);
  set_object_faults(change);
}

table_copy standin_fleet::table_snapshot() {
  const std::lock_guard lock(state_->platform.mutex);
  return state_->platform.table.snapshot();
}

void standin_fleet::restore_table(table_copy old) {
  const std::lock_guard lock(state_->platform.mutex);
  state_->platform.table.restore(std::move(old));
}

void standin_fleet::set_service_faults(const service_id& service, const service_faults& faults) {
  state_->with_service(service, [&](service_standin& s) { s.faults() = faults; });
}

void standin_fleet::kill_service_instance(const service_id& service, std::size_t index) {
  state_->services.at(service)->instances.at(index)->close();
}

void standin_fleet::restart_service_instance(const service_id& service, std::size_t index) {
  state_->services.at(service)->instances.at(index)->open();
}

engine_report standin_fleet::report(const vm_id& vm) {
  return state_->with_engine(vm, [](engine_standin& e, time_point now) { return e.report(now); });
}

engine_counters standin_fleet::counters(const vm_id& vm) {
  return state_->with_engine(vm, [](engine_standin& e, time_point) { return e.counters(); });
}

std::uint32_t standin_fleet::runs(const request_id& id) {
  const std::lock_guard lock(state_->engine_mutex);
  std::uint32_t sum = 0;
  for (const auto& [vm, target] : state_->engines) {
    sum += target->engine.runs(id);
  }
  return sum;
}

store_counters standin_fleet::table_counters() {
  const std::lock_guard lock(state_->platform.mutex);
  return state_->platform.table.counters();
}

service_counters standin_fleet::counters(const service_id& service) {
  return state_->with_service(service, [](service_standin& s) { return s.counters(); });
}

std::uint32_t standin_fleet::executions_of(const service_id& service, const std::string& key) {
  return state_->with_service(service, [&](service_standin& s) { return s.executions_of(key); });
}

}  // namespace arbutus::standin
