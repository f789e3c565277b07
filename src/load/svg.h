// Line charts as SVG text, for the report's page.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace arbutus {

struct chart_line {
  std::string name;
  std::vector<std::pair<double, double>> points;  // by rising x
};

struct chart_mark {
  double x{};
  std::string text;
};

struct chart {
  std::string title;
  std::string x_label;
  std::string y_label;
  bool log_x = false;  // points with x <= 0 are left out then
  std::vector<chart_line> lines;
  std::vector<chart_mark> marks;  // vertical
};

[[nodiscard]] std::string svg_of(const chart& c);

// Text for HTML and SVG, with what has a meaning there replaced.
[[nodiscard]] std::string html_escape(const std::string& text);

}  // namespace arbutus
