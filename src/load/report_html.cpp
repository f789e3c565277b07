// Writes the report of an experiment as an HTML page: tables, latency distributions, and outcomes
// by second.
#include <iomanip>
#include <sstream>

#include "load/report.h"
#include "load/svg.h"

namespace arbutus {

namespace {

constexpr std::string_view head = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>arbutusworks load</title>
<style>
body { font: 14px sans-serif; margin: 2em auto; max-width: 70em; color: #222; }
table { border-collapse: collapse; } td, th { padding: 2px 8px; text-align: right; }
td:first-child, td:nth-child(2) { text-align: left; } tr:nth-child(even) { background: #f4f4f4; }
svg { width: 100%; font: 11px sans-serif; } .bad { color: #a00; font-weight: bold; }
</style></head><body>
)";

chart_line distribution(const std::string& name, const latency_histogram& h) {
  chart_line line{name, {}};
  for (const latency_histogram::point& p : h.cumulative()) {
    line.points.emplace_back(p.milliseconds, p.fraction);
  }
  return line;
}

chart cells_chart(const variant_result& v, latency_histogram workspace_class_results::*which,
                  const std::string& title) {
  chart c{v.name + ": " + title, "ms, logarithmic", "fraction", true, {}, {}};
  for (const auto& [name, cell] : v.cells) {
    if ((cell.*which).count() > 0) {
      c.lines.push_back(distribution(name.first + ' ' + name.second, cell.*which));
    }
  }
  return c;
}

chart variants_chart(const experiment_report& report,
                     latency_histogram workspace_class_results::*which, const std::string& title) {
  chart c{title, "ms, logarithmic", "fraction", true, {}, {}};
  for (const variant_result& v : report.variants) {
    const workspace_class_results all = v.sum();
    if ((all.*which).count() > 0) {
      c.lines.push_back(distribution(v.name, all.*which));
    }
  }
  return c;
}

chart timeline_chart(const variant_result& v) {
  chart c{v.name + ": ends by second", "s", "calls", false, {}, {}};
  chart_line complete{"whole", {}};
  chart_line refused{"refused", {}};
  chart_line failed{"unknown or wrong", {}};
  for (std::size_t i = 0; i < v.timeline.size(); ++i) {
    const auto x = static_cast<double>(i);
    complete.points.emplace_back(x, v.timeline[i].complete);
    refused.points.emplace_back(x, v.timeline[i].refused);
    failed.points.emplace_back(x, v.timeline[i].failed);
  }
  c.lines = {complete, refused, failed};
  for (const fault_event& event : v.events) {
    c.events.push_back({event.at_seconds, event.text});
  }
  return c;
}

void row(std::ostream& out, const std::string& workspace, const std::string& request_class,
         const workspace_class_results& cell) {
  out << "<tr><td>" << html_escape(workspace) << "</td><td>" << html_escape(request_class)
      << "</td><td>" << cell.calls() << "</td><td>" << cell.of(caller_outcome::complete)
      << "</td><td>" << cell.complete_in_time << "</td><td>"
      << cell.of(caller_outcome::not_run) + cell.of(caller_outcome::unreached) << "</td><td>"
      << cell.of(caller_outcome::unknown) + cell.of(caller_outcome::no_response) << "</td><td>"
      << cell.of(caller_outcome::wrong) << "</td>";
  for (const latency_histogram* h : {&cell.first_token, &cell.total, &cell.per_token}) {
    for (const double p : {0.5, 0.95, 0.99}) {
      out << "<td>" << h->quantile(p) << "</td>";
    }
  }
  out << "</tr>\n";
}

void table(std::ostream& out, const variant_result& v) {
  out << "<table><tr><th>workspace</th><th>class</th><th>calls</th><th>whole</th><th>useful</th>"
         "<th>refused</th><th>unknown</th><th>wrong</th><th colspan=3>first token ms, p50 p95 "
         "p99</th><th colspan=3>whole answer ms, p50 p95 p99</th><th colspan=3>ms a token, p50 "
         "p95 p99</th></tr>\n";
  for (const auto& [name, cell] : v.cells) {
    row(out, name.first, name.second, cell);
  }
  row(out, "all", "", v.sum());
  if (!v.excluded_workspace.empty()) {
    row(out, "not " + v.excluded_workspace, "", v.sum_without(v.excluded_workspace));
  }
  out << "</table>\n";
}

void section(std::ostream& out, const variant_result& v) {
  out << "<h2>" << html_escape(v.name) << "</h2>\n<p"
      << (v.passed() ? ">passed" : " class=\"bad\">FAILED") << ", " << v.violations()
      << " broken promises" << (v.expected_violation ? " (a safeguard was disabled)" : "")
      << "</p>\n";
  for (const std::string& sample : v.violation_examples) {
    out << "<p class=\"bad\">" << html_escape(sample) << "</p>\n";
  }
  for (const std::string& problem : v.problems) {
    out << "<p class=\"bad\">not measured: " << html_escape(problem) << "</p>\n";
  }
  table(out, v);
  out << render_svg(timeline_chart(v))
      << render_svg(cells_chart(v, &workspace_class_results::total, "whole answer"));
  if (v.sum().first_token.count() > 0) {
    out << render_svg(cells_chart(v, &workspace_class_results::first_token, "first token"));
  }
}

}  // namespace

std::string html_report(const experiment_report& report) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(2) << head << "<h1>" << html_escape(report.name)
      << "</h1>\n<p>" << html_escape(report.description) << "</p>\n<p>seed " << report.seed
      << "</p>\n";
  if (report.variants.size() > 1) {
    out << render_svg(variants_chart(report, &workspace_class_results::total,
                                     "whole answer, all variants"))
        << render_svg(variants_chart(report, &workspace_class_results::first_token,
                                     "first token, all variants"));
  }
  for (const variant_result& v : report.variants) {
    section(out, v);
  }
  out << "</body></html>\n";
  return std::move(out).str();
}

}  // namespace arbutus
