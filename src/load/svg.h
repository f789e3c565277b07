// Line charts as SVG text, for the HTML report.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace arbutus {

struct chart_line {
  std::string name;
  std::vector<std::pair<double, double>> points;  // in ascending order of x
};

struct chart_event {
  double x{};
  std::string text;
};

struct chart {
  std::string title;
  std::string x_label;
  std::string y_label;
  bool log_x = false;  // logarithmic x axis; points with x <= 0 are omitted
  std::vector<chart_line> lines;
  std::vector<chart_event> events;  // drawn as vertical lines
};

[[nodiscard]] std::string render_svg(const chart& c);

// Escapes the special characters of HTML and SVG.
[[nodiscard]] std::string html_escape(const std::string& text);

}  // namespace arbutus
