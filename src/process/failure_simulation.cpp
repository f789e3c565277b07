// Runs the simulation in time steps, accumulates the results and prints the comparison.
#include "process/failure_simulation.h"

#include <algorithm>
#include <iomanip>
#include <optional>
#include <string>

#include "process/row_write_model.h"
#include "process/simulated_data_centre.h"

namespace arbutus {

namespace {

constexpr duration simulation_step = 500ms;
constexpr duration unwritable_retry_interval = 5s;
// Share of the nodes that are dead or paused but still count as live: normally (20 pauses of 10 s
// per node and day), and right after a domain failed together with a fifth of the nodes.
constexpr double normal_absent_fraction = 0.002;
constexpr double absent_fraction_after_domain_loss = 0.2;
constexpr int seed_count = 40;

// One run of the simulation. Only one row write is in progress at a time; changes that are detected
// during a write go into the next row.
class failure_simulation_run {
 public:
  failure_simulation_run(const failure_simulation_settings& settings, std::uint64_t seed)
      : settings_(settings), data_centre_(settings, seed), random_(seed + 1) {}

  failure_simulation_result run() {
    for (time_point now{}; now < time_point{simulation_length}; now += simulation_step) {
      run_step(now);
    }
    if (settings_.writer == writer_selection::leased) {
      result_.lease_writes += static_cast<std::uint32_t>(simulation_length / (lease_duration / 3));
    }
    return result_;
  }

 private:
  void run_step(time_point now) {
    dirty_ = data_centre_.advance(now) || dirty_;
    if (!data_centre_.is_table_writable()) {
      lease_expired_ = true;
      proposal_.reset();
      result_.activations += dirty_ ? data_centre_.activate_standbys() : 0;
      not_before_ = now + unwritable_retry_interval;
      changed_while_unwritable_ = dirty_ || changed_while_unwritable_;
      dirty_ = false;
    } else {
      dirty_ = dirty_ || std::exchange(changed_while_unwritable_, false);
      finish_write(now);
      begin_write(now);
    }
    accumulate_costs();
  }

  void begin_write(time_point now) {
    if (proposal_ || !dirty_ || now < not_before_) {
      return;
    }
    dirty_ = false;
    plan next = make_plan(data_centre_.input());
    if (!next.changed) {
      return;
    }
    const double absent = data_centre_.domain_recently_lost() ? absent_fraction_after_domain_loss
                                                              : normal_absent_fraction;
    const write_timing timing =
        simulate_write({settings_.writer, settings_.nodes, absent, lease_expired_}, random_);
    lease_expired_ = false;
    proposal_ = std::move(next.next);
    written_at_ = now + timing.write_delay;
    result_.wasted_writes += timing.wasted_writes;
    result_.lease_writes += timing.lease_writes;
    result_.row_write_delays_s.push_back(to_seconds(timing.write_delay));
  }

  void finish_write(time_point now) {
    if (!proposal_ || now < written_at_) {
      return;
    }
    data_centre_.write(std::move(*proposal_));
    proposal_.reset();
    ++result_.rows_written;
    dirty_ = true;
  }

  void accumulate_costs() {
    const std::uint32_t serving = data_centre_.serving();
    const std::uint32_t unserved =
        data_centre_.desired() - std::min(data_centre_.desired(), serving);
    const std::uint32_t working = serving * settings_.vms_per_replica;
    result_.group_downtime += to_seconds(simulation_step) * unserved;
    result_.stranded_accelerators +=
        to_seconds(simulation_step) * (data_centre_.powered_accelerators() - working);
  }

  failure_simulation_settings settings_;
  simulated_data_centre data_centre_;
  rng random_;
  failure_simulation_result result_;
  bool dirty_ = false;
  bool changed_while_unwritable_ = false;
  bool lease_expired_ = false;
  time_point not_before_;
  std::optional<assignment> proposal_;
  time_point written_at_;
};

struct totals {
  failure_simulation_result sum;
  std::vector<double> row_write_delays_s;
};

totals run_all_seeds(const failure_simulation_settings& settings) {
  totals t;
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    const failure_simulation_result r = run_failure_simulation(settings, seed);
    t.sum.group_downtime += r.group_downtime;
    t.sum.stranded_accelerators += r.stranded_accelerators;
    t.sum.rows_written += r.rows_written;
    t.sum.wasted_writes += r.wasted_writes;
    t.sum.lease_writes += r.lease_writes;
    t.sum.activations += r.activations;
    t.row_write_delays_s.insert(t.row_write_delays_s.end(), r.row_write_delays_s.begin(),
                                r.row_write_delays_s.end());
  }
  std::ranges::sort(t.row_write_delays_s);
  return t;
}

double quantile(const std::vector<double>& sorted, double q) {
  if (sorted.empty()) {
    return 0;
  }
  return sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
}

// Weighted loss in accelerator-hours; a replica that does not serve counts with all its
// accelerators.
double cost(const failure_simulation_settings& s, const totals& t, const weights& w) {
  return (w.group_downtime * t.sum.group_downtime * s.vms_per_replica +
          w.stranded_accelerators * t.sum.stranded_accelerators) /
         3600 / seed_count;
}

void print_row(std::ostream& out, const std::string& name, const failure_simulation_settings& s) {
  const totals t = run_all_seeds(s);
  out << std::left << std::setw(26) << name << std::right << std::fixed << std::setprecision(0)
      << std::setw(10) << t.sum.group_downtime / seed_count << std::setw(10)
      << t.sum.stranded_accelerators / 3600 / seed_count << std::setw(10) << cost(s, t, {4, 1})
      << std::setw(10) << cost(s, t, {1, 4}) << std::setprecision(1) << std::setw(8)
      << static_cast<double>(t.sum.rows_written) / seed_count << std::setw(8)
      << static_cast<double>(t.sum.wasted_writes) / seed_count << std::setw(9)
      << static_cast<double>(t.sum.lease_writes) / seed_count << std::setw(8)
      << static_cast<double>(t.sum.activations) / seed_count << std::setprecision(2) << std::setw(8)
      << quantile(t.row_write_delays_s, 0.5) << std::setw(8) << quantile(t.row_write_delays_s, 0.99)
      << std::setw(8) << quantile(t.row_write_delays_s, 1.0) << '\n';
}

struct policy_row {
  const char* name;
  standby_policy policy;
  std::uint32_t spares_per_domain;
  weights preference;
  writer_selection writer = writer_selection::ranked;
};

constexpr policy_row policy_rows[] = {
    {"no spares", standby_policy::none, 0, {1, 1}},
    {"1 shared", standby_policy::shared, 1, {1, 1}},
    {"2 shared", standby_policy::shared, 2, {1, 1}},
    {"1 reserved, 4:1", standby_policy::reserved, 1, {4, 1}},
    {"1 reserved, 1:4", standby_policy::reserved, 1, {1, 4}},
    {"2 reserved, 4:1", standby_policy::reserved, 2, {4, 1}},
    {"2 reserved, 1:4", standby_policy::reserved, 2, {1, 4}},
    {"2 reserved, 4:1, leased", standby_policy::reserved, 2, {4, 1}, writer_selection::leased},
};

void print_policies(std::ostream& out, failure_simulation_settings s) {
  for (const policy_row& p : policy_rows) {
    s.policy = p.policy;
    // Policy none samples failures over one spare per domain too, so that its domains have the size
    // that they have under the policies with one spare; failures of the missing spare hit no VM.
    s.spares_per_domain = std::max(1U, p.spares_per_domain);
    s.preference = p.preference;
    s.writer = p.writer;
    print_row(out, p.name, s);
  }
}

}  // namespace

failure_simulation_result run_failure_simulation(const failure_simulation_settings& settings,
                                                 std::uint64_t seed) {
  return failure_simulation_run(settings, seed).run();
}

void print_failure_simulation(std::ostream& out) {
  out << "One data centre, mean of " << seed_count << " days. down: replica-seconds not served; "
      << "strand: accelerator-hours\npowered and not working; cost 4:1 and 1:4: downtime weighted "
      << "against stranding, in accelerator-hours;\np50, p99, worst: seconds from the detection of "
      << "a change to the writing of its row, without\ntime when the table could not be written. "
         "Spares are per fabric domain.\n"
      << std::left << std::setw(26) << "policy" << std::right << std::setw(10) << "down"
      << std::setw(10) << "strand" << std::setw(10) << "cost 4:1" << std::setw(10) << "cost 1:4"
      << std::setw(8) << "rows" << std::setw(8) << "wasted" << std::setw(9) << "lease"
      << std::setw(8) << "activ." << std::setw(8) << "p50" << std::setw(8) << "p99" << std::setw(8)
      << "worst" << '\n';
  out << "a day with a table outage, a cut-off and a domain loss\n";
  print_policies(out, {});
  out << "the same without the domain loss\n";
  failure_simulation_settings calm;
  calm.domain_outages = 0;
  print_policies(out, calm);
}

}  // namespace arbutus
