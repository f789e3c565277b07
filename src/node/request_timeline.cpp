// Assembles the timeline of a request and explains its outcome.
#include "node/request_timeline.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "admission/target_backoff.h"
#include "node/failure_reasons.h"

namespace arbutus {

namespace {

using namespace std::chrono_literals;

// A failure of a target precedes its effect on the request: streams end up to 4 s after their
// replica lost a member (the engines stall for that long). Events up to this time before the
// request's arrival are included.
constexpr auto related_event_lookback = 5s;
// The same for targets that asked for a backoff: it may be this long.
constexpr auto backoff_lookback = target_backoffs::max_backoff;

// Fields that every line has; they are not stored in logged_line::fields.
constexpr std::array<std::string_view, 5> common_fields = {"time", "level", "part", "node",
                                                           "message"};

template <class Number>
bool read_number(std::string_view text, std::size_t at, std::size_t digits, Number& value) {
  if (at + digits > text.size()) {
    return false;
  }
  const char* begin = text.data() + at;
  const auto [end, error] = std::from_chars(begin, begin + digits, value);
  return error == std::errc() && end == begin + digits;
}

// "2026-01-31T23:59:59.123456Z"
std::optional<wall_clock_time> read_time(std::string_view text) {
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  int micro = 0;
  const bool numbers = read_number(text, 0, 4, year) && read_number(text, 5, 2, month) &&
                       read_number(text, 8, 2, day) && read_number(text, 11, 2, hour) &&
                       read_number(text, 14, 2, minute) && read_number(text, 17, 2, second) &&
                       read_number(text, 20, 6, micro);
  const std::chrono::year_month_day date{std::chrono::year{year}, std::chrono::month{month},
                                         std::chrono::day{day}};
  if (!numbers || !date.ok()) {
    return std::nullopt;
  }
  return wall_clock_time(std::chrono::sys_days(date)) + std::chrono::hours(hour) +
         std::chrono::minutes(minute) + std::chrono::seconds(second) +
         std::chrono::microseconds(micro);
}

std::string value_text(const nlohmann::ordered_json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

bool by_time(const logged_line& a, const logged_line& b) {
  return a.time < b.time;
}

// Whether the line says how the request ended at a node.
bool is_end(const logged_line& line) {
  return line.part == "request" && line.message == "ended";
}

// Fingerprints of the request, from its lines about broken attempts and quarantine.
std::set<std::string> fingerprints_of(const std::vector<logged_line>& own) {
  std::set<std::string> result;
  for (const logged_line& line : own) {
    if (const auto fingerprint = line.field("print"); !fingerprint.empty()) {
      result.emplace(fingerprint);
    }
  }
  return result;
}

// Adds the names of a list that are separated by commas.
void add_listed(std::string_view list, std::set<std::string>& names) {
  while (!list.empty()) {
    const auto comma = list.find(',');
    names.emplace(list.substr(0, comma));
    list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
  }
}

std::set<std::string> targets_of(const std::vector<logged_line>& own) {
  std::set<std::string> result;
  for (const logged_line& line : own) {
    if (const auto target = line.field("target"); !target.empty()) {
      result.emplace(target);
    }
    for (const std::string_view list : {line.field("targets"), line.field("restrained")}) {
      add_listed(list, result);
    }
  }
  return result;
}

wall_clock_time request_start(const std::vector<logged_line>& own) {
  wall_clock_time first = own.front().time;
  for (const logged_line& line : own) {
    double total_ms = 0;
    const std::string_view text = line.field("total_ms");
    std::from_chars(text.data(), text.data() + text.size(), total_ms);
    const auto total =
        std::chrono::microseconds{static_cast<std::int64_t>(std::max(total_ms, 0.0) * 1000)};
    first = std::min(first, line.time - total);
  }
  return first;
}

// Kind of node state that the line reports; a newer line of the same kind supersedes it. Empty if
// the line reports no such state.
std::string state_kind(const logged_line& line) {
  if (line.part == "configuration" && line.message == "in force") {
    return "configuration";
  }
  if (line.part == "store" && (line.message == "lost" || line.message == "regained")) {
    return "store " + std::string(line.field("what"));
  }
  if (line.part == "fleet" && line.message == "capacity") {
    return "capacity " + std::string(line.field("service")) + ' ' +
           std::string(line.field("model"));
  }
  if (line.part == "evacuation") {
    return "evacuation " + std::string(line.field("data_centre"));
  }
  if (line.part == "keeper" && line.message == "duties") {
    return "duties";
  }
  if (line.part == "reach" && !line.field("targets").empty()) {
    return "reach";
  }
  if (line.part == "node") {
    return "node";
  }
  return {};
}

// The status of the answer that ended an attempt; empty if there was none.
std::string status_text(const logged_line& attempt) {
  const std::string_view status = attempt.field("status");
  return status.empty() || status == "0" ? std::string{} : ", status " + std::string(status);
}

std::string cause_of(const std::vector<logged_line>& own) {
  const auto end = std::find_if(own.rbegin(), own.rend(), is_end);
  if (end == own.rend()) {
    return "No line says that it ended: it is still running, its lines were left out, or the node "
           "ended before.";
  }
  if (end->field("result") == "done") {
    return {};
  }
  const std::string_view reason = end->field("reason");
  std::string text = std::string(end->field("result")) + ": " + std::string(reason) + ". ";
  text += cause_of_reason(reason);
  // Reasons of earlier failed attempts: the final reason alone is rarely enough.
  for (const logged_line& line : own) {
    if (line.message == "attempt ended") {
      text += " Before: " + std::string(line.field("reason")) + " at " +
              std::string(line.field("target")) + status_text(line) + ".";
    }
  }
  return text;
}

void add_line(std::string& text, const logged_line& line, wall_clock_time start) {
  const auto offset = std::chrono::duration<double>(line.time - start).count();
  std::array<char, 32> number{};
  std::snprintf(number.data(), number.size(), "%+10.3f s  ", offset);
  text += number.data();
  text += line.node + "  " + line.part + ' ' + line.message;
  for (const auto& [key, value] : line.fields) {
    if (key != "request") {
      // Quoted, since callers choose some of these values: escapes control characters.
      text += ' ' + key + '=' +
              nlohmann::json(value).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    }
  }
  text += '\n';
}

}  // namespace

std::string_view logged_line::field(std::string_view key) const {
  const auto found =
      std::find_if(fields.begin(), fields.end(), [&](const auto& f) { return f.first == key; });
  return found == fields.end() ? std::string_view{} : std::string_view(found->second);
}

std::optional<logged_line> read_log_line(std::string_view text) {
  const auto brace = text.find('{');
  if (brace == std::string_view::npos) {
    return std::nullopt;
  }
  const auto value = nlohmann::ordered_json::parse(text.substr(brace), nullptr, false);
  if (!value.is_object()) {
    return std::nullopt;
  }
  logged_line line;
  const auto read_text = [&](const char* key, std::string& into) {
    const auto found = value.find(key);
    if (found == value.end() || !found->is_string()) {
      return false;
    }
    into = found->get<std::string>();
    return true;
  };
  std::string time;
  if (!read_text("time", time) || !read_text("node", line.node) || !read_text("part", line.part) ||
      !read_text("message", line.message)) {
    return std::nullopt;
  }
  const auto read = read_time(time);
  if (!read) {
    return std::nullopt;
  }
  line.time = *read;
  for (const auto& [key, field] : value.items()) {
    if (std::find(common_fields.begin(), common_fields.end(), key) == common_fields.end()) {
      line.fields.emplace_back(key, value_text(field));
    }
  }
  return line;
}

std::size_t log_reader::read(std::istream& lines, std::string_view request) {
  std::size_t unreadable = 0;
  std::string text;
  while (std::getline(lines, text)) {
    // Most lines of a large log belong to other requests; they are skipped without parsing.
    const bool other =
        text.find("\"request\":") != std::string::npos && text.find(request) == std::string::npos;
    if (text.empty() || other) {
      continue;
    }
    auto line = read_log_line(text);
    if (!line) {
      ++unreadable;
    } else if (line->field("request") == request) {
      request_lines_.push_back(std::move(*line));
    } else if (line->field("request").empty()) {
      other_lines_.push_back(std::move(*line));
    }
  }
  return unreadable;
}

std::optional<request_timeline> log_reader::timeline_of(std::string_view request) const {
  request_timeline timeline;
  timeline.request = std::string(request);
  std::copy_if(request_lines_.begin(), request_lines_.end(), std::back_inserter(timeline.own),
               [&](const logged_line& line) { return line.field("request") == request; });
  if (timeline.own.empty()) {
    return std::nullopt;
  }
  std::stable_sort(timeline.own.begin(), timeline.own.end(), by_time);
  timeline.cause = cause_of(timeline.own);
  const wall_clock_time start = request_start(timeline.own);
  const wall_clock_time until = timeline.own.back().time;
  const std::set<std::string> targets = targets_of(timeline.own);
  const std::set<std::string> fingerprints = fingerprints_of(timeline.own);
  std::set<std::string> nodes;
  for (const logged_line& line : timeline.own) {
    nodes.insert(line.node);
  }
  std::map<std::string, std::map<std::string, const logged_line*>> newest;
  for (const logged_line& line : other_lines_) {
    if (line.time > until) {
      continue;
    }
    const bool of_target = targets.contains(std::string(line.field("target"))) ||
                           targets.contains(std::string(line.field("head")));
    const bool same_fingerprint =
        line.part == "poison" && fingerprints.contains(std::string(line.field("print")));
    const wall_clock_time from =
        start - (line.part == "target" ? backoff_lookback : related_event_lookback);
    if ((of_target && line.time >= from) || same_fingerprint) {
      timeline.related.push_back(line);
    }
    const std::string kind = state_kind(line);
    if (!kind.empty() && nodes.contains(line.node)) {
      const logged_line*& known = newest[line.node][kind];
      known = known == nullptr || known->time <= line.time ? &line : known;
    }
  }
  std::stable_sort(timeline.related.begin(), timeline.related.end(), by_time);
  for (const auto& [node, kinds] : newest) {
    last_known_state state{node, {}};
    for (const auto& [kind, line] : kinds) {
      state.lines.push_back(*line);
    }
    std::stable_sort(state.lines.begin(), state.lines.end(), by_time);
    timeline.last_known.push_back(std::move(state));
  }
  return timeline;
}

std::string to_text(const request_timeline& timeline) {
  const wall_clock_time start = request_start(timeline.own);
  std::string text = "request " + timeline.request + '\n';
  text += timeline.cause.empty() ? "  served whole\n" : "  " + timeline.cause + '\n';
  std::vector<logged_line> lines = timeline.own;
  lines.insert(lines.end(), timeline.related.begin(), timeline.related.end());
  std::stable_sort(lines.begin(), lines.end(), by_time);
  text += "in order, from its arrival by the nodes' clocks\n";
  for (const logged_line& line : lines) {
    add_line(text, line, start);
  }
  for (const last_known_state& state : timeline.last_known) {
    text += "newest of what " + state.node + " knew\n";
    for (const logged_line& line : state.lines) {
      add_line(text, line, start);
    }
  }
  return text;
}

}  // namespace arbutus
