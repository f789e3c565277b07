// Structured log lines: UTC time, level, part, node, message and fields, as text
// or JSON. The library that writes them stays behind this header.
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

// `key` names the value in the line; "request" holds the id of the request that a line is about.
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
// Below it nothing is written; read on every call, so it is kept apart from the library.
extern std::atomic<log_level> least_log_level;
void write_log_line(log_level level, std::string_view part, std::string_view message,
                    std::initializer_list<log_field> fields);
}  // namespace detail

// Starts writing to `out`, which must outlive stop_log(). Before that, lines are dropped. Lines go
// through a bounded queue and a thread of their own.
void start_log(const log_settings& settings, const node_id& node, std::ostream& out);

// Writes what is queued and stops.
void stop_log();

// May be called at any time, from any thread.
void set_log_level(log_level level);

// Whether a request that arrives now has its lines written, all or none: ask once, when it arrives.
[[nodiscard]] bool log_keeps_request(time_point now, std::string_view request);

// Requests whose lines were left out whole, as the log would have grown beyond its rate.
[[nodiscard]] std::uint64_t requests_without_log();

// Lines that were lost because the reader of `out` was too slow, or beyond twice the rate.
[[nodiscard]] std::uint64_t dropped_log_lines();

[[nodiscard]] inline bool log_enabled(log_level level) {
  return level >= detail::least_log_level.load(std::memory_order_relaxed);
}

// One comparison when the level is off.
inline void log_line(log_level level, std::string_view part, std::string_view message,
                     std::initializer_list<log_field> fields = {}) {
  if (log_enabled(level)) {
    detail::write_log_line(level, part, message, fields);
  }
}

}  // namespace arbutus
