// Tests log lines: format, levels, and values from callers that must not forge lines.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>

#include "node/log.h"

namespace arbutus {
namespace {

using testing::HasSubstr;
using testing::MatchesRegex;

template <class Log>
std::string lines_of(log_settings settings, Log log) {
  std::ostringstream out;
  start_log(settings, node_id{"n1"}, out);
  log();
  stop_log();
  return out.str();
}

TEST(cli_log, a_text_line_holds_time_level_part_node_and_fields) {
  const std::string line = lines_of({}, [] {
    log_line(log_level::warning, "routes", "replica lost",
             {{"request", request_id{"r-1"}}, {"members", 3}, {"open", true}, {"note", "a b"}});
  });
  EXPECT_THAT(line, MatchesRegex("....-..-..T..:..:..\\.......Z warning part=routes node=n1 "
                                 "message=\"replica lost\" request=r-1 members=3 open=true "
                                 "note=\"a b\"\n"));
}

TEST(cli_log, a_json_line_holds_the_same) {
  const std::string line = lines_of({log_level::info, log_format::json}, [] {
    log_line(log_level::error, "table", "write \"lost\"", {{"request", "r-2"}, {"took_ms", 1.5}});
  });
  const auto parsed = nlohmann::json::parse(line);
  EXPECT_EQ(parsed["level"], "error");
  EXPECT_EQ(parsed["part"], "table");
  EXPECT_EQ(parsed["node"], "n1");
  EXPECT_EQ(parsed["message"], "write \"lost\"");
  EXPECT_EQ(parsed["request"], "r-2");
  EXPECT_EQ(parsed["took_ms"], 1.5);
  EXPECT_THAT(parsed["time"].get<std::string>(), MatchesRegex("....-..-..T..:..:..\\.......Z"));
}

TEST(cli_log, the_level_changes_while_running) {
  const std::string lines = lines_of({}, [] {
    log_line(log_level::debug, "p", "before");
    set_log_level(log_level::debug);
    log_line(log_level::debug, "p", "between");
    set_log_level(log_level::error);
    log_line(log_level::warning, "p", "after");
  });
  EXPECT_THAT(lines, HasSubstr("between"));
  EXPECT_EQ(std::count(lines.begin(), lines.end(), '\n'), 1) << lines;
}

// Guards against forged log lines: a caller can put a line break and a made-up line into a header
// that is logged.
TEST(cli_log, a_value_cannot_forge_a_line) {
  const auto log = [] {
    log_line(log_level::info, "p", "m\nforged",
             {{"request", "a\n2026-01-01T00:00:00.000000Z error"}, {"bytes", "\xff\x1b[31m"}});
  };
  for (const log_format format : {log_format::text, log_format::json}) {
    const std::string lines = lines_of({log_level::info, format}, log);
    EXPECT_EQ(std::count(lines.begin(), lines.end(), '\n'), 1) << lines;
    EXPECT_EQ(lines.find('\x1b'), std::string::npos);
  }
}

TEST(cli_log, nothing_is_written_after_the_stop) {
  std::ostringstream out;
  start_log({}, node_id{"n1"}, out);
  stop_log();
  log_line(log_level::error, "p", "late");
  EXPECT_FALSE(log_enabled(log_level::error));
  EXPECT_EQ(out.str(), "");
}

// A stream buffer that blocks all writes until unblock() is called.
class stalled_buffer : public std::streambuf {
 public:
  void unblock() {
    const std::lock_guard lock(mutex_);
    stalled_ = false;
    changed_.notify_all();
  }
  [[nodiscard]] std::size_t lines() const { return lines_; }

 protected:
  std::streamsize xsputn(const char* text, std::streamsize size) override {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return !stalled_; });
    lines_ += static_cast<std::size_t>(std::count(text, text + size, '\n'));
    return size;
  }
  int_type overflow(int_type c) override {
    const char character = traits_type::to_char_type(c);
    return xsputn(&character, 1) == 1 ? c : traits_type::eof();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stalled_ = true;
  std::size_t lines_ = 0;
};

// Guards against a node whose requests all hang because the reader of standard error stops: with
// the pipe full, each thread that wrote its own log lines would block.
TEST(cli_log, a_stalled_reader_blocks_no_thread_and_dropped_lines_are_counted) {
  constexpr std::uint64_t lines = 20'000;
  const std::uint64_t before = dropped_log_lines();
  stalled_buffer buffer;
  std::ostream out(&buffer);
  start_log({}, node_id{"n1"}, out);
  for (std::uint64_t i = 0; i < lines; ++i) {
    log_line(log_level::info, "p", "line");
  }
  const std::uint64_t dropped = dropped_log_lines() - before;
  EXPECT_GT(dropped, 0U);
  buffer.unblock();
  stop_log();
  EXPECT_EQ(buffer.lines() + dropped, lines);
}

}  // namespace
}  // namespace arbutus
