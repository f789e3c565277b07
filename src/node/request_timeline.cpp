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

struct known_reason {
  std::string_view reason;
  std::string_view cause;
};

// Explains each reason and says where to look next. The reasons are those in the nodes' log lines.
constexpr std::array<known_reason, 40> known_reasons = {{
    {"every replica is at its capacity for this latency objective",
     "More requests arrived at all nodes than the replicas of the model can begin to answer within "
     "their objectives, so a part of each priority was refused at once, the least urgent first. "
     "The line admission refused gives what was known: requests within 300 ms that arrived "
     "(arrivals) and that replicas could take (can_take), and the admitted fraction."},
    {"every replica is full",
     "Each replica of the model had all its slots in use. The number of replicas that the node "
     "counted is shown below. If it is low, look at the keeper plan lines of the data centre; "
     "otherwise there was more load than the fleet serves."},
    {"no replica of the model serves",
     "No replica of the model was open and free of suspect members. Look at the keeper plan and "
     "keeper order lines of the data centre."},
    {"another run went on first",
     "The run at this target had fallen silent, so a second one began elsewhere. One of the two "
     "answered first, and the other one was ended."},
    {"no time is left", "The time that the caller or the route allows was used up."},
    {"connection lost",
     "The connection to the target broke while it answered: the target ended or was cut off."},
    {"reset", "The target or the network reset the connection."},
    {"connection reset before the end",
     "The connection was reset while the target answered, so the end of what had arrived is not "
     "the "
     "end of the answer."},
    {"malformed", "What the target sent is not HTTP."},
    {"status out of range",
     "What the target sent has a status that is no status of HTTP (200 to 599), so it is no "
     "answer."},
    {"unknown transfer encoding",
     "The target sent its body in a transfer encoding other than chunks, so the bytes that arrived "
     "are not the body."},
    {"timeout", "The target did not answer within the time that was left."},
    {"could not be sent",
     "No connection to the target could be established, so the request did not run there."},
    {"the target did not run it",
     "The target rejected the request: it was full, stalled, or not the head of its replica any "
     "more."},
    {"the target failed", "The target answered with an error of its own."},
    {"the target's own failure",
     "The target answered with an error of its own, which was passed on unchanged."},
    {"the target refused it without saying that it did not run it",
     "The target answered 503, 429 or 408, which promises callers that the request has not run, "
     "and "
     "did not state so itself. It may have run the request, which may not be repeated, so the "
     "caller got 502 or 504 without the promise. See the status of the attempt."},
    {"the stream ended inside an event", "The target's stream ended in the middle of an event."},
    {"events out of order", "The target's events did not follow on one another."},
    {"the answer was not this request's",
     "The target sent an answer without its signature, or the answer to another request."},
    {"no configuration is known yet", "The node had just started and reached no store yet."},
    {"the configuration may be out of date",
     "The node could not confirm that its configuration is current, so it may not report that a "
     "route is not there. See its store lines below."},
    {"keys cannot be checked: the configuration is stale",
     "The node had no recent proof that its configuration is the newest: a key might have "
     "been withdrawn. See its store lines below, and the link to its hub."},
    {"the key cannot be confirmed",
     "The proof that the configuration is the newest ran out while the request waited."},
    {"the key was withdrawn", "A newer configuration no longer has the caller's key."},
    {"the key is not known", "No workspace of the configuration in force has the caller's key."},
    {"no route has this host and path",
     "No route of the configuration in force matches the host and path."},
    {"it ended the targets that ran it",
     "The same request (identified by workspace, method, host, path, model and body) was running "
     "each time when "
     "targets ended, one after the other, and never completed. It was refused without a run; see "
     "the poison evidence and poison convicted lines below, and /poison at a node's metrics "
     "address to release it."},
    {"the targets asked for a backoff",
     "Each target that could take the request had answered 503 with Retry-After, so this node sent "
     "it nothing until that time ended. The caller was told when the first backoff ends. See the "
     "lines target backs off below."},
    {"the targets are leaving",
     "Each target that could take the request had said in its answers that it is leaving. See the "
     "lines target is leaving below."},
    {"the target asked for a backoff or leaves meanwhile",
     "While the request waited for its connection, the target answered another one with 503 and "
     "Retry-After or said that it is leaving, so the request was not sent."},
    {"the data centre of the targets is evacuated",
     "Operators have evacuated each data centre with a target that could take the request. See the "
     "evacuation lines below, and the rows evacuate/NAME of table op."},
    {"no target is in a region that the request allows",
     "The route or the workspace restricts the regions, and no target that could take the request "
     "is in one of them, by [regions] of the node's settings."},
    {"this node reaches no target for it",
     "The node could open no connection to any target that could take the request, and no other "
     "node took it over. See its reach lines below."},
    {"refused by the node that took it over",
     "The node could not reach the targets and handed the request over to another node, which "
     "refused it. The lines of that node say why."},
    {"the peer gave no complete answer",
     "The node could not reach the targets and handed the request over to another node, whose "
     "answer broke off: that node ended, or was cut off, too."},
    {"the peer reaches no target for it",
     "The node could not reach the targets, and neither could the last node that it asked to take "
     "the request over."},
    {"the peer has too many calls of others",
     "The node could not reach the targets, and the last node that it asked to take the request "
     "over had no room for it."},
    {"the peer does not serve it now",
     "The node could not reach the targets, and the last node that it asked to take the request "
     "over was stopping, or had no current configuration."},
    {"no instance is known", "No instance of the service was listed as ready."},
}};

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
  const auto known = std::find_if(known_reasons.begin(), known_reasons.end(),
                                  [&](const known_reason& k) { return k.reason == reason; });
  if (known != known_reasons.end()) {
    text += known->cause;
  }
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
