// Structured log lines: UTC time, level, part, node, message and fields, as text
// or JSON. This header hides the logging library.
#pragma once

#include <atomic>
#include <cstdint>
#include <initializer_list>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>

#include "base/id.h"
#include "base/units.h"
#include "process/settings.h"

namespace arbutus {

using log_value = std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

// A named value of a line. The key "request" holds the id of the request that the line is about.
struct log_field {
  std::string_view key;
  log_value value;

  log_field(std::string_view k, std::string_view v) : key(k), value(v) {}
  log_field(std::string_view k, const std::string& v) : key(k), value(std::string_view(v)) {}
  log_field(std::string_view k, const char* v) : key(k), value(std::string_view(v)) {}
  log_field(std::string_view k, std::int64_t v) : key(k), value(v) {}
  log_field(std::string_view k, std::uint64_t v) : key(k), value(v) {}
  log_field(std::string_view k, std::int32_t v) : key(k), value(std::int64_t{v}) {}
  log_field(std::string_view k, std::uint32_t v) : key(k), value(std::uint64_t{v}) {}
  log_field(std::string_view k, double v) : key(k), value(v) {}
  log_field(std::string_view k, bool v) : key(k), value(v) {}
  template <class Tag>
  log_field(std::string_view k, const name_id<Tag>& id)
      : key(k), value(std::string_view(id.str())) {}
};

namespace detail {
// Lines below this level are not written. It is read on every call, so it is a plain atomic outside
// the logging library.
extern std::atomic<log_level> min_log_level;
void write_log_line(log_level level, std::string_view part, std::string_view message,
                    std::initializer_list<log_field> fields);
}  // namespace detail

// Starts writing log lines to `out`, which must stay valid until stop_log() returns. Lines logged
// before are dropped. Lines pass through a bounded queue to a writer thread.
void start_log(const log_settings& settings, const node_id& node, std::ostream& out);

// Writes the queued lines and stops.
void stop_log();

// May be called at any time, from any thread.
void set_log_level(log_level level);

// Whether the lines of a request that arrives now are written, all or none. To be called once per
// request, on its arrival.
[[nodiscard]] bool should_write_request_lines(time_point now, std::string_view request);

// Number of requests whose lines were all suppressed, because the log would have exceeded its rate.
[[nodiscard]] std::uint64_t suppressed_request_count();

// Number of lines dropped because the reader of `out` was too slow or the log exceeded its rate by
// more than the burst capacity (lines of 2 s at the rate, process/log_budget.h).
[[nodiscard]] std::uint64_t dropped_log_lines();

[[nodiscard]] inline bool log_enabled(log_level level) {
  return level >= detail::min_log_level.load(std::memory_order_relaxed);
}

// Writes a log line. Costs one comparison when the level is disabled.
inline void log_line(log_level level, std::string_view part, std::string_view message,
                     std::initializer_list<log_field> fields = {}) {
  if (log_enabled(level)) {
    detail::write_log_line(level, part, message, fields);
  }
}

}  // namespace arbutus
