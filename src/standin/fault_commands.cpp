// Parses fault commands from JSON and writes counters as JSON.
#include "standin/fault_commands.h"

#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace arbutus::standin {

namespace {

using json = nlohmann::json;
using setters = std::map<std::string, std::function<void(const json&)>>;

duration milliseconds(const json& value) {
  return from_seconds(value.get<double>() / 1000.0);
}

template <class T>
auto assign_to(T& member) {
  return [&member](const json& value) { member = value.get<T>(); };
}

auto assign_milliseconds_to(duration& member) {
  return [&member](const json& value) { member = milliseconds(value); };
}

outcome<faults_applied> apply(const setters& known, std::string_view text) {
  try {
    const json command = json::parse(text);
    for (const auto& [name, value] : command.items()) {
      if (!known.contains(name)) {
        return refused{"no such fault: " + name};
      }
    }
    for (const auto& [name, value] : command.items()) {
      known.at(name)(value);
    }
    return faults_applied{};
  } catch (const std::exception& e) {
    return refused{e.what()};
  }
}

std::set<data_centre_id> data_centres(const json& names) {
  std::set<data_centre_id> result;
  for (const json& name : names) {
    result.emplace(name.get<std::string>());
  }
  return result;
}

}  // namespace

outcome<faults_applied> set_faults(store_faults& faults, time_point now, std::string_view text) {
  return apply({{"down", assign_to(faults.down)},
                {"down_ms", [&](const json& v) { faults.down_until = now + milliseconds(v); }},
                {"latency_ms", assign_milliseconds_to(faults.latency)},
                {"writes_per_second", assign_to(faults.writes_per_second)},
                {"reads_per_second", assign_to(faults.reads_per_second)},
                {"lose_requests", assign_to(faults.lose_requests)},
                {"lose_replies", assign_to(faults.lose_replies)},
                {"lose_fraction", assign_to(faults.lose_fraction)},
                {"cut_off", [&](const json& v) { faults.cut_off = data_centres(v); }}},
               text);
}

outcome<faults_applied> set_faults(engine_standin& engine, time_point now, std::string_view text) {
  pending_answer_faults& answers = engine.faults();
  const auto pause = [&](const json& v) { v.get<bool>() ? engine.pause(now) : engine.resume(now); };
  return apply(
      {{"paused", pause},
       {"speed", [&](const json& v) { engine.set_straggler(now, v.get<double>()); }},
       {"leaving", [&](const json& v) { engine.set_leaving(v.get<bool>()); }},
       {"says_leaving", [&](const json& v) { engine.set_says_leaving(v.get<bool>()); }},
       {"backoff_ms",
        [&](const json& v) {
          const duration asked = milliseconds(v);
          engine.set_backoff(asked > duration::zero() ? std::optional(asked) : std::nullopt);
        }},
       {"silent", [&](const json& v) { engine.set_unresponsive(v.get<bool>()); }},
       {"checks_tokens", [&](const json& v) { engine.set_checks_tokens(v.get<bool>()); }},
       {"crossed", assign_to(answers.swapped)},
       {"late", assign_to(answers.late)},
       {"late_ms", assign_milliseconds_to(answers.late_by)},
       {"truncated", assign_to(answers.truncated)},
       {"duplicated", assign_to(answers.duplicated)}},
      text);
}

outcome<faults_applied> set_faults(service_faults& faults, std::string_view text) {
  return apply({{"late", assign_to(faults.late)},
                {"late_ms", assign_milliseconds_to(faults.late_by)},
                {"backoff_ms", assign_milliseconds_to(faults.backoff)},
                {"says_leaving", assign_to(faults.says_leaving)},
                {"cut_before", assign_to(faults.cut_before)},
                {"cut_after", assign_to(faults.cut_after)}},
               text);
}

std::string encode(const store_counters& c) {
  return json{{"reads", c.reads},
              {"writes", c.writes},
              {"refused", c.refused},
              {"conflicts", c.conflicts},
              {"lost_replies", c.lost_replies}}
      .dump();
}

std::string encode(const engine_counters& c) {
  return json{{"accepted", c.accepted},
              {"completed", c.completed},
              {"cancelled", c.cancelled},
              {"cut", c.cut},
              {"cut_by_order", c.cut_by_order},
              {"not_run", c.not_run},
              {"turned_away", c.turned_away},
              {"orders_done", c.orders_done},
              {"orders_refused", c.orders_refused}}
      .dump();
}

std::string encode(const service_counters& c) {
  return json{{"executions", c.executions},
              {"keys", c.keys},
              {"most_per_key", c.max_per_key},
              {"turned_away", c.turned_away}}
      .dump();
}

}  // namespace arbutus::standin
