// Renders line charts as SVG.
#include "load/svg.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <limits>
#include <sstream>
#include <string_view>

namespace arbutus {

namespace {

constexpr double width = 860;
constexpr double height = 300;
constexpr double left = 60;
constexpr double right = 180;  // margin to the right of the chart, with the names of the lines
constexpr double top = 30;
constexpr double bottom = 45;
constexpr int linear_steps = 5;
constexpr double line_height = 14;
constexpr std::array<std::string_view, 10> colours = {"#1f77b4", "#d62728", "#2ca02c", "#9467bd",
                                                      "#ff7f0e", "#17becf", "#8c564b", "#e377c2",
                                                      "#7f7f7f", "#bcbd22"};

struct range {
  double lowest_value = std::numeric_limits<double>::max();
  double highest_value = std::numeric_limits<double>::lowest();

  void include(double value) {
    lowest_value = std::min(lowest_value, value);
    highest_value = std::max(highest_value, value);
  }
  void ensure_nonempty() {
    if (lowest_value > highest_value) {
      lowest_value = 0;
      highest_value = 1;
    } else if (lowest_value == highest_value) {
      highest_value = lowest_value + 1;
    }
  }
  [[nodiscard]] double position(double value) const {
    return (value - lowest_value) / (highest_value - lowest_value);
  }
};

class svg_renderer {
 public:
  explicit svg_renderer(const chart& c) : chart_(c) {
    out_ << std::fixed << std::setprecision(1);
    for (const chart_line& line : c.lines) {
      for (const auto& [x, y] : line.points) {
        if (is_shown(x)) {
          x_.include(scaled(x));
          y_.include(y);
        }
      }
    }
    y_.include(0);
    x_.ensure_nonempty();
    y_.ensure_nonempty();
  }

  std::string draw() {
    out_ << "<svg viewBox=\"0 0 " << width << ' ' << height << "\" role=\"img\">\n";
    text(left, top - 12, chart_.title, "font-weight=\"bold\"");
    draw_x_axis();
    draw_y_axis();
    draw_marks();
    for (std::size_t i = 0; i < chart_.lines.size(); ++i) {
      draw_line(chart_.lines[i], i);
    }
    out_ << "</svg>\n";
    return std::move(out_).str();
  }

 private:
  [[nodiscard]] bool is_shown(double x) const { return !chart_.log_x || x > 0; }
  [[nodiscard]] double scaled(double x) const { return chart_.log_x ? std::log10(x) : x; }
  [[nodiscard]] double to_pixel_x(double x) const {
    return left + x_.position(scaled(x)) * (width - left - right);
  }
  [[nodiscard]] double to_pixel_y(double y) const {
    return height - bottom - y_.position(y) * (height - top - bottom);
  }

  void text(double x, double y, const std::string& what, std::string_view more = {}) {
    out_ << "<text x=\"" << x << "\" y=\"" << y << "\" " << more << '>' << html_escape(what)
         << "</text>\n";
  }
  void line(double x1, double y1, double x2, double y2, std::string_view colour,
            std::string_view more = {}) {
    out_ << "<line x1=\"" << x1 << "\" y1=\"" << y1 << "\" x2=\"" << x2 << "\" y2=\"" << y2
         << "\" stroke=\"" << colour << "\" " << more << "/>\n";
  }
  static std::string number(double value) {
    std::ostringstream text;
    text << std::setprecision(3) << value;
    return text.str();
  }

  void tick_x(double x) {
    line(to_pixel_x(x), top, to_pixel_x(x), height - bottom, "#ddd");
    text(to_pixel_x(x) - 8, height - bottom + line_height, number(x));
  }

  void draw_x_axis() {
    if (chart_.log_x) {
      for (double decade = std::floor(x_.lowest_value); decade <= x_.highest_value; ++decade) {
        for (const double factor : {1.0, 2.0, 5.0}) {
          const double x = std::pow(10.0, decade) * factor;
          if (scaled(x) >= x_.lowest_value && scaled(x) <= x_.highest_value) {
            tick_x(x);
          }
        }
      }
    } else {
      for (int i = 0; i <= linear_steps; ++i) {
        tick_x(x_.lowest_value + (x_.highest_value - x_.lowest_value) * i / linear_steps);
      }
    }
    text((left + width - right) / 2, height - 8, chart_.x_label);
  }

  void draw_y_axis() {
    for (int i = 0; i <= linear_steps; ++i) {
      const double y = y_.lowest_value + (y_.highest_value - y_.lowest_value) * i / linear_steps;
      line(left, to_pixel_y(y), width - right, to_pixel_y(y), "#ddd");
      text(8, to_pixel_y(y) + 4, number(y));
    }
    text(8, top - 12, chart_.y_label);
  }

  void draw_marks() {
    double y = top + line_height;
    for (const chart_event& event : chart_.events) {
      const double x = std::clamp(to_pixel_x(event.x), left, width - right);
      line(x, top, x, height - bottom, "#a00", "stroke-dasharray=\"3 3\"");
      text(x + 3, y, event.text, "fill=\"#a00\" font-size=\"9\"");
      y = y + line_height > height - bottom ? top + line_height : y + line_height;
    }
  }

  void draw_line(const chart_line& series, std::size_t index) {
    const std::string_view colour = colours[index % colours.size()];
    out_ << "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" << colour << "\" points=\"";
    for (const auto& [x, y] : series.points) {
      if (is_shown(x)) {
        out_ << to_pixel_x(x) << ',' << to_pixel_y(y) << ' ';
      }
    }
    out_ << "\"/>\n";
    const double y = top + line_height * static_cast<double>(index);
    line(width - right + 8, y, width - right + 26, y, colour, "stroke-width=\"3\"");
    text(width - right + 30, y + 4, series.name);
  }

  const chart& chart_;
  range x_;
  range y_;
  std::ostringstream out_;
};

}  // namespace

std::string render_svg(const chart& c) {
  return svg_renderer(c).draw();
}

std::string html_escape(const std::string& text) {
  std::string result;
  for (const char c : text) {
    switch (c) {
      case '<':
        result += "&lt;";
        break;
      case '>':
        result += "&gt;";
        break;
      case '&':
        result += "&amp;";
        break;
      case '"':
        result += "&quot;";
        break;
      default:
        result += c;
    }
  }
  return result;
}

}  // namespace arbutus
