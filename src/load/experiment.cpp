// Reads experiments from TOML.
#include "load/experiment.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "version/field_text.h"
#include "version/toml_reader.h"

namespace arbutus {

namespace {

constexpr integer_range any_ms{0, 600'000};
constexpr integer_range timeout_ms{1, 600'000};
constexpr integer_range positive_count{1, 1000};
constexpr integer_range token_count{1, 100'000};
constexpr real_range positive{0, 1e6, true};
constexpr real_range non_negative_real{0, 1e6};
constexpr real_range fraction{0, 1};
constexpr std::array<std::string_view, 2> arrival_names = {"poisson", "closed"};
constexpr std::uint32_t max_rounds = 100;

class experiment_reader {
 public:
  experiment_reader(const toml_table& document, findings& problems)
      : root_(document, "", problems), problems_(problems) {}

  experiment read() {
    root_.read_name("name", result_.name, presence::required);
    root_.read("description", result_.description);
    std::uint32_t seed = 1;
    root_.read("seed", seed, presence::optional, {});
    result_.seed = seed;
    root_.read("rounds", result_.rounds, presence::optional, {1, max_rounds});
    read_fleet();
    read_workload();
    read_classes();
    read_workspaces();
    read_workspace_name(root_, "apart", result_.excluded_workspace);
    read_faults();
    read_variants();
    root_.finish();
    return std::move(result_);
  }

 private:
  static void read_size(table_reader& table, std::string_view key, std::size_t& value) {
    auto number = static_cast<std::uint32_t>(value);
    table.read(key, number, presence::optional, positive_count);
    value = number;
  }

  static void read_seconds(table_reader& table, std::string_view key, duration& value,
                           real_range range) {
    double seconds = to_seconds(value);
    table.read(key, seconds, presence::optional, range);
    value = from_seconds(seconds);
  }

  void read_fleet() {
    fleet_spec& fleet_config = result_.fleet_config;
    if (auto table = root_.table("fleet")) {
      read_size(*table, "data_centres", fleet_config.data_centres);
      read_size(*table, "nodes_per_data_centre", fleet_config.nodes_per_data_centre);
      read_size(*table, "vms_per_data_centre", fleet_config.vms_per_data_centre);
      table->read("replicas_per_data_centre", fleet_config.replicas_per_data_centre,
                  presence::optional, positive_count);
      table->read("vms_per_replica", fleet_config.vms_per_replica, presence::optional,
                  positive_count);
      table->read("slots", fleet_config.slots, presence::optional, positive_count);
      table->read("standbys_per_replica", fleet_config.standbys_per_replica, presence::optional,
                  {0, 10});
      read_size(*table, "node_workers", fleet_config.node_workers);
      read_size(*table, "runtime_workers", fleet_config.runtime_workers);
      table->read_ms("balancer_lag_ms", fleet_config.load_balancer_lag, presence::optional, any_ms);
      table->read("model", fleet_config.model, presence::optional);
      read_standins(*table);
      read_existing_nodes(*table);
      table->finish();
    }
    result_.model = fleet_config.model;
  }

  void read_standins(table_reader& table) {
    standin::engine_settings& engine = result_.fleet_config.standins.engine;
    engine.group_join_time = 150ms;
    engine.report_lag = 100ms;
    engine.counts_runs_by_request = true;
    standin::batch_settings& batch = engine.default_profile.batch;
    table.read("tokens_per_second", batch.tokens_per_second, presence::optional, positive);
    table.read("prefill_tokens_per_second", batch.prefill_tokens_per_second, presence::optional,
               positive);
    table.read("slowdown_when_full", batch.slowdown_when_full, presence::optional,
               non_negative_real);
    table.read("engine_queue", engine.max_queued_requests, presence::optional, {0, 1'000'000});
    table.read_ms("form_ms", engine.group_join_time, presence::optional, any_ms);
    table.read_ms("report_lag_ms", engine.report_lag, presence::optional, any_ms);
    table.read_ms("vm_list_lag_ms", result_.fleet_config.standins.vm_list_lag, presence::optional,
                  any_ms);
    batch.slots = result_.fleet_config.slots;
  }

  void read_existing_nodes(table_reader& table) {
    for (const located_value<std::string>& text : table.read_strings("existing_nodes")) {
      if (const auto parsed = parse_endpoint(text.value)) {
        result_.nodes.push_back(*parsed);
      } else {
        problems_.push_back({severity::error, text.at,
                             quoted_for_message(text.value) + " is no valid endpoint",
                             std::string(endpoint_expected)});
      }
    }
  }

  void read_workload() {
    auto table = root_.table("workload", presence::required);
    if (!table) {
      return;
    }
    workload& work = result_.work;
    read_seconds(*table, "seconds", work.length, {0, 3600, true});
    read_seconds(*table, "warm_up_seconds", work.warm_up, {0, 3600});
    std::size_t arrivals = 0;
    table->read_choice("arrivals", arrivals, arrival_names);
    work.arrivals = static_cast<arrival_kind>(arrivals);
    table->read("rate", work.rate, presence::optional, positive);
    table->read("callers", work.callers, presence::optional, positive_count);
    table->read("prompt_tokens", work.prompt_tokens, presence::optional, token_count);
    table->read("answer_tokens", work.answer_tokens, presence::optional, token_count);
    table->read("streamed", work.streamed_fraction, presence::optional, fraction);
    table->read("sessions", work.sessions_per_workspace, presence::optional, positive_count);
    table->read("shared_prefix", work.shared_prefix_fraction, presence::optional, fraction);
    table->read("bookings_per_second", work.bookings_per_second, presence::optional,
                non_negative_real);
    table->read("repeated", work.repeated_booking_fraction, presence::optional, fraction);
    table->read_ms("timeout_ms", work.timeout, presence::optional, timeout_ms);
    table->finish();
  }

  void read_classes() {
    for (table_reader& table : root_.tables("class")) {
      load_class c;
      table.read_name("name", c.rule.name, presence::required);
      table.read("priority", c.rule.priority, presence::optional, {0, 100});
      table.read_ms("deadline_ms", c.rule.deadline, presence::optional, timeout_ms);
      table.read_ms("first_token_ms", c.rule.first_token, presence::optional, timeout_ms);
      table.read("fraction", c.fraction, presence::optional, positive);
      table.finish();
      result_.work.classes.push_back(c);
    }
    if (result_.work.classes.empty()) {
      result_.work.classes.push_back({{"interactive", 0, 20s, 5s}, 1.0});
    }
  }

  void read_workspaces() {
    for (table_reader& table : root_.tables("workspace")) {
      load_workspace w;
      table.read_name("name", w.caller.name, presence::required);
      w.caller.key = "key-" + w.caller.name;
      table.read("key", w.caller.key);
      table.read("share", w.caller.share, presence::optional, positive);
      w.weight = w.caller.share;
      table.read("weight", w.weight, presence::optional, positive);
      if (find_workspace(w.caller.name)) {
        table.problem("name", quoted_for_message(w.caller.name) + " is taken", "names that differ");
      }
      table.finish();
      result_.work.workspaces.push_back(w);
    }
    if (result_.work.workspaces.empty()) {
      root_.problem("workspace", "is missing", "one [[workspace]] or more");
    }
  }

  [[nodiscard]] bool find_workspace(const std::string& name) const {
    const auto& list = result_.work.workspaces;
    return std::any_of(list.begin(), list.end(),
                       [&](const load_workspace& w) { return w.caller.name == name; });
  }

  void read_faults() {
    for (table_reader& table : root_.tables("fault")) {
      scheduled_fault f;
      read_seconds(table, "at_seconds", f.at, {0, 3600});
      duration undo_after{};
      read_seconds(table, "for_seconds", undo_after, {0, 3600, true});
      if (undo_after > duration{}) {
        f.undo_after = undo_after;
      }
      std::size_t kind = std::size(fault_names);
      table.read_choice("kind", kind, fault_names);
      if (kind == std::size(fault_names)) {
        table.problem("kind", "is missing or not known", "the kind of the fault");
        kind = 0;
      }
      f.kind = static_cast<fault_kind>(kind);
      table.read("data_centre", f.data_centre, presence::optional,
                 {0, static_cast<std::uint32_t>(result_.fleet_config.data_centres - 1)});
      table.read("speed", f.speed, presence::optional, positive);
      table.read_ms("latency_ms", f.latency, presence::optional, any_ms);
      table.read("count", f.count, presence::optional, {1, 1'000'000});
      if (!result_.nodes.empty()) {
        table.problem("kind", "existing nodes have no stand-ins here to set faults of");
      }
      table.finish();
      result_.faults.push_back(f);
    }
  }

  void read_variants() {
    std::set<std::string> names;
    for (table_reader& table : root_.tables("variant")) {
      result_.variants.push_back(read_variant(table));
      if (!names.insert(result_.variants.back().name).second) {
        table.problem("name", "is taken by another variant", "names that differ");
      }
    }
    if (result_.variants.empty()) {
      variant plain;
      plain.name = "nodes";
      result_.variants.push_back(plain);
    }
  }

  variant read_variant(table_reader& table) {
    variant v;
    table.read_name("name", v.name, presence::required);
    std::size_t target = 0;
    table.read_choice("target", target, target_names);
    v.target = static_cast<call_target>(target);
    table.read("rate_factor", v.rate_factor, presence::optional, positive);
    read_workspace_name(table, "only_workspace", v.only_workspace);
    read_workspace_name(table, "without_workspace", v.without_workspace);
    read_workspace_name(table, "workspace", v.scaled_workspace);
    table.read("workspace_factor", v.workspace_factor, presence::optional, positive);
    table.read("node_workers", v.node_workers, presence::optional, {1, 64});
    table.read("faults", v.with_faults);
    std::size_t check = 0;
    table.read_choice("check_self", check, checker_test_names);
    v.checker_test = static_cast<checker_test_kind>(check);
    if (v.target != call_target::nodes && !result_.nodes.empty()) {
      table.problem("target", "existing nodes have no stand-ins here to call directly");
    }
    table.finish();
    return v;
  }

  void read_workspace_name(table_reader& table, std::string_view key, std::string& name) {
    table.read_name(key, name, presence::optional);
    if (!name.empty() && !find_workspace(name)) {
      table.problem(key, "no [[workspace]] is called " + quoted_for_message(name));
    }
  }

  table_reader root_;
  findings& problems_;
  experiment result_;
};

}  // namespace

experiment_result load_experiment(std::string_view text, const std::string& file_name) {
  experiment_result result;
  const auto document = parse_toml(text, file_name, result.problems);
  if (!document) {
    return result;
  }
  result.value = experiment_reader(*document, result.problems).read();
  fleet_spec& fleet_config = result.value.fleet_config;
  fleet_config.seed = result.value.seed;
  for (const load_workspace& w : result.value.work.workspaces) {
    fleet_config.workspaces.push_back(w.caller);
  }
  for (const load_class& c : result.value.work.classes) {
    fleet_config.classes.push_back(c.rule);
  }
  return result;
}

}  // namespace arbutus
