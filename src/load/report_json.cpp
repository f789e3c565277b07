// Writes the report of an experiment as JSON.
#include <nlohmann/json.hpp>

#include "load/report.h"

namespace arbutus {

namespace {

using json = nlohmann::json;

json quantiles_of(const latency_histogram& h) {
  return {{"count", h.count()},        {"mean_ms", h.mean()},        {"p50_ms", h.quantile(0.5)},
          {"p90_ms", h.quantile(0.9)}, {"p95_ms", h.quantile(0.95)}, {"p99_ms", h.quantile(0.99)}};
}

json cell_of(const std::string& workspace, const std::string& request_class,
             const workspace_class_results& cell) {
  json ends;
  for (std::size_t i = 0; i < caller_outcome_names.size(); ++i) {
    ends[std::string(caller_outcome_names[i])] = cell.ends[i];
  }
  return {{"workspace", workspace},
          {"class", request_class},
          {"calls", cell.calls()},
          {"ends", ends},
          {"useful", cell.complete_in_time},
          {"first_token", quantiles_of(cell.first_token)},
          {"total", quantiles_of(cell.total)},
          {"per_token", quantiles_of(cell.per_token)}};
}

json variant_of(const variant_result& v) {
  json cells = json::array();
  for (const auto& [name, cell] : v.cells) {
    cells.push_back(cell_of(name.first, name.second, cell));
  }
  json violations;
  for (std::size_t i = 0; i < guarantee_names.size(); ++i) {
    violations[std::string(guarantee_names[i])] = v.violation_counts[i];
  }
  json timeline = json::array();
  for (const second_counts& s : v.timeline) {
    timeline.push_back({{"whole", s.complete}, {"refused", s.refused}, {"failed", s.failed}});
  }
  json events = json::array();
  for (const fault_event& event : v.events) {
    events.push_back({{"at_seconds", event.at_seconds}, {"text", event.text}});
  }
  return {{"name", v.name},
          {"rounds", v.rounds},
          {"measured_seconds", v.measured_seconds},
          {"passed", v.passed()},
          {"safeguard_off", v.expected_violation.has_value()},
          {"all", cell_of("", "", v.sum())},
          {"all_but_apart", cell_of("", "", v.sum_without(v.excluded_workspace))},
          {"cells", cells},
          {"late_start", quantiles_of(v.late_start)},
          {"not_whole", v.reasons},
          {"broken", violations},
          {"samples", v.violation_examples},
          {"problems", v.problems},
          {"not_run_checked", v.not_run_checked},
          {"bookings_checked", v.bookings_checked},
          {"timeline", timeline},
          {"faults", events}};
}

}  // namespace

std::string json_report(const experiment_report& report) {
  json variants = json::array();
  for (const variant_result& v : report.variants) {
    variants.push_back(variant_of(v));
  }
  const json body = {{"name", report.name},
                     {"description", report.description},
                     {"seed", report.seed},
                     {"passed", report.passed()},
                     {"variants", variants}};
  return body.dump(1, ' ', false, json::error_handler_t::replace);
}

}  // namespace arbutus
