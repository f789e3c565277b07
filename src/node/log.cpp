// Log lines with Boost.Log. A line is formatted by the thread that logs it and written by the
// sink's own thread.
#include "node/log.h"

#include <algorithm>
#include <array>
#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <type_traits>

#include "base/hash.h"
#include "connection/clock.h"
#include "process/log_budget.h"

namespace arbutus {

namespace {

namespace blog = boost::log;

// Number of log lines that were dropped. They are counted, since an unreported gap in a log
// misleads its readers.
std::atomic<std::uint64_t> dropped{0};

struct count_and_drop {
  template <class Lock>
  bool on_overflow(const blog::record_view& /*line*/, Lock& /*lock*/) {
    dropped.fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  void on_queue_space_available() {}
  void interrupt() {}
};

// Beyond this length of the queue, lines are dropped and counted. A blocking log would stop the
// request path, and with it all requests of the node, when the reader of standard error stalls.
constexpr std::size_t max_queued_lines = 4096;

using log_sink = blog::sinks::asynchronous_sink<
    blog::sinks::text_ostream_backend,
    blog::sinks::bounded_fifo_queue<max_queued_lines, count_and_drop>>;

// Set by start_log; changes only while no other thread logs.
struct log_state {
  boost::shared_ptr<log_sink> sink;
  log_format format = log_format::text;
  std::string node;
  std::optional<log_budget> budget;  // empty: unlimited
};

std::mutex& budget_lock() {
  static std::mutex value;
  return value;
}

log_state& state() {
  static log_state value;
  return value;
}

std::string utc_now() {
  const auto now = std::chrono::floor<std::chrono::microseconds>(std::chrono::system_clock::now());
  const auto day = std::chrono::floor<std::chrono::days>(now);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss time(now - day);
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02ld:%02ld:%02ld.%06ldZ",
                static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                static_cast<unsigned>(date.day()), static_cast<long>(time.hours().count()),
                static_cast<long>(time.minutes().count()),
                static_cast<long>(time.seconds().count()),
                static_cast<long>(time.subseconds().count()));
  return text.data();
}

std::string dump(const nlohmann::ordered_json& value) {
  return value.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

nlohmann::ordered_json to_json(const log_value& value) {
  return std::visit([](const auto& v) { return nlohmann::ordered_json(v); }, value);
}

// Whether a value needs no quotes. Values that callers choose are quoted if they contain a line
// break, so that no caller can forge a log line.
bool is_plain(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
  });
}

void append_text(std::string& line, const log_value& value) {
  const auto* text = std::get_if<std::string_view>(&value);
  if (text != nullptr && is_plain(*text)) {
    line += *text;
  } else {
    line += dump(to_json(value));
  }
}

std::string text_line(log_level level, std::string_view part, std::string_view message,
                      std::initializer_list<log_field> fields) {
  std::string line = utc_now() + ' ';
  line += to_string(level);
  line += " part=";
  append_text(line, part);
  line += " node=";
  append_text(line, std::string_view(state().node));
  line += " message=";
  line += dump(message);
  for (const log_field& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    append_text(line, field.value);
  }
  return line;
}

std::string json_line(log_level level, std::string_view part, std::string_view message,
                      std::initializer_list<log_field> fields) {
  nlohmann::ordered_json line = {{"time", utc_now()},
                                 {"level", to_string(level)},
                                 {"part", part},
                                 {"node", state().node},
                                 {"message", message}};
  for (const log_field& field : fields) {
    line.emplace(std::string(field.key), to_json(field.value));
  }
  return dump(line);
}

// Whether the log's rate allows a line of this size. Called for every line; holds the lock for a
// few additions only.
bool may_write(std::size_t bytes) {
  const std::lock_guard guard(budget_lock());
  return !state().budget || state().budget->spend(monotonic_now(), bytes);
}

}  // namespace

namespace detail {

// A level above all others: nothing is logged until start_log() sets the real one.
constexpr auto log_off = static_cast<log_level>(static_cast<int>(log_level::error) + 1);
std::atomic<log_level> min_log_level{log_off};

void write_log_line(log_level level, std::string_view part, std::string_view message,
                    std::initializer_list<log_field> fields) {
  const std::string line = state().format == log_format::json
                               ? json_line(level, part, message, fields)
                               : text_line(level, part, message, fields);
  if (!may_write(line.size())) {
    dropped.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  thread_local blog::sources::logger logger;
  if (blog::record record = logger.open_record()) {
    blog::record_ostream stream(record);
    stream << line;
    stream.flush();
    logger.push_record(std::move(record));
  }
}

}  // namespace detail

void start_log(const log_settings& settings, const node_id& node, std::ostream& out) {
  stop_log();
  auto backend = boost::make_shared<blog::sinks::text_ostream_backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&out, boost::null_deleter()));
  backend->auto_flush(true);
  state().sink = boost::make_shared<log_sink>(backend);
  state().format = settings.format;
  state().node = node.str();
  state().budget.reset();
  if (settings.bytes_per_second > 0) {
    state().budget.emplace(settings.bytes_per_second);
  }
  blog::core::get()->add_sink(state().sink);
  set_log_level(settings.level);
}

void stop_log() {
  detail::min_log_level = detail::log_off;
  if (state().sink) {
    blog::core::get()->remove_sink(state().sink);
    state().sink->stop();
    state().sink->flush();
    state().sink.reset();
  }
}

void set_log_level(log_level level) {
  detail::min_log_level = level;
}

bool should_write_request_lines(time_point now, std::string_view request) {
  const std::lock_guard guard(budget_lock());
  return !state().budget || state().budget->should_log_request(now, stable_hash(request));
}

std::uint64_t suppressed_request_count() {
  const std::lock_guard guard(budget_lock());
  return state().budget ? state().budget->requests_suppressed() : 0;
}

std::uint64_t dropped_log_lines() {
  return dropped.load(std::memory_order_relaxed);
}

}  // namespace arbutus
