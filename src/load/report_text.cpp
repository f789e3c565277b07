// Writes the report of an experiment as text tables.
#include <algorithm>
#include <iomanip>
#include <ostream>

#include "load/report.h"

namespace arbutus {

namespace {

constexpr double quantiles[] = {0.5, 0.95, 0.99};

void print_quantiles(std::ostream& out, const latency_histogram& h) {
  for (const double p : quantiles) {
    if (h.count() == 0) {
      out << std::setw(9) << '-';
    } else {
      out << std::setw(9) << h.quantile(p);
    }
  }
}

void print_cell(std::ostream& out, const std::string& workspace, const std::string& request_class,
                const workspace_class_results& cell, double seconds) {
  out << "  " << std::left << std::setw(16) << workspace << std::setw(13) << request_class
      << std::right << std::setw(8) << cell.calls() << std::setw(8)
      << cell.of(caller_outcome::complete) << std::setw(8) << cell.complete_in_time << std::setw(8)
      << cell.of(caller_outcome::not_run) + cell.of(caller_outcome::unreached) << std::setw(8)
      << cell.of(caller_outcome::unknown) + cell.of(caller_outcome::no_response) << std::setw(7)
      << cell.of(caller_outcome::wrong) << std::setprecision(1) << std::setw(10)
      << static_cast<double>(cell.of(caller_outcome::complete)) / std::max(seconds, 1e-9)
      << std::setprecision(2);
  print_quantiles(out, cell.first_token);
  print_quantiles(out, cell.total);
  print_quantiles(out, cell.per_token);
  out << '\n';
}

void print_guarantees(std::ostream& out, const variant_result& v) {
  for (std::size_t i = 0; i < v.violation_counts.size(); ++i) {
    if (v.violation_counts[i] > 0) {
      out << "  BROKEN " << v.violation_counts[i] << " times: " << guarantee_names[i] << '\n';
    }
  }
  for (const std::string& sample : v.violation_examples) {
    out << "    " << sample << '\n';
  }
  for (const std::string& problem : v.problems) {
    out << "  NOT MEASURED: " << problem << '\n';
  }
  if (v.violations() == 0 && v.problems.empty()) {
    out << "  no promise broken; " << v.not_run_checked << " refused calls and "
        << v.bookings_checked << " booking keys checked at the targets\n";
  }
  if (v.expected_violation) {
    out << (v.passed() ? "  (a safeguard was disabled; the checker detected it)\n"
                       : "  FAILED: a safeguard was disabled and the checker did not report "
                         "exactly that\n");
  }
}

void print_variant(std::ostream& out, const variant_result& v) {
  out << "\n"
      << v.name << " (" << v.rounds << (v.rounds == 1 ? " round" : " rounds") << ", "
      << v.measured_seconds << " s; calls started late by p50 " << v.late_start.quantile(0.5)
      << ", p99 " << v.late_start.quantile(0.99) << " ms)\n";
  for (const fault_event& event : v.events) {
    out << "  " << std::setw(6) << event.at_seconds << " s  " << event.text << '\n';
  }
  out << "  workspace       class           calls   whole  useful refused unknown  wrong   whole/s"
         "   first token ms 50/95/99    whole answer ms 50/95/99       ms a token 50/95/99\n";
  for (const auto& [name, cell] : v.cells) {
    print_cell(out, name.first, name.second, cell, v.measured_seconds);
  }
  if (v.cells.size() > 1) {
    print_cell(out, "all", "", v.sum(), v.measured_seconds);
  }
  if (!v.excluded_workspace.empty()) {
    print_cell(out, "not " + v.excluded_workspace, "", v.sum_without(v.excluded_workspace),
               v.measured_seconds);
  }
  for (const auto& [reason, count] : v.reasons) {
    out << "  not whole: " << count << " x " << reason << '\n';
  }
  print_guarantees(out, v);
}

}  // namespace

void print_report(std::ostream& out, const experiment_report& report) {
  const auto flags = out.flags();
  const auto precision = out.precision();
  out << std::fixed << std::setprecision(2);
  out << report.name << ", seed " << report.seed << "\n" << report.description << '\n';
  for (const variant_result& v : report.variants) {
    print_variant(out, v);
  }
  out << (report.passed() ? "\nEvery promise held.\n" : "\nThe experiment FAILED.\n");
  out.flags(flags);
  out.precision(precision);
}

}  // namespace arbutus
