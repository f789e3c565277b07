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
auto store_in(T& member) {
  return [&member](const json& value) { member = value.get<T>(); };
}

auto store_milliseconds_in(duration& member) {
  return [&member](const json& value) { member = milliseconds(value); };
}

outcome<fault_set> apply(const setters& known, std::string_view text) {
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
    return fault_set{};
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

outcome<fault_set> set_faults(store_faults& faults, time_point now, std::string_view text) {
  return apply({{"down", store_in(faults.down)},
                {"down_ms", [&](const json& v) { faults.down_until = now + milliseconds(v); }},
                {"latency_ms", store_milliseconds_in(faults.latency)},
                {"writes_per_second", store_in(faults.writes_per_second)},
                {"reads_per_second", store_in(faults.reads_per_second)},
                {"lose_requests", store_in(faults.lose_requests)},
                {"lose_replies", store_in(faults.lose_replies)},
                {"lose_fraction", store_in(faults.lose_fraction)},
                {"cut_off", [&](const json& v) { faults.cut_off = data_centres(v); }}},
               text);
}

outcome<fault_set> set_faults(engine_standin& engine, time_point now, std::string_view text) {
  next_answers& answers = engine.faults();
  const auto pause = [&](const json& v) { v.get<bool>() ? engine.pause(now) : engine.resume(now); };
  return apply({{"paused", pause},
                {"speed", [&](const json& v) { engine.set_straggler(now, v.get<double>()); }},
                {"leaving", [&](const json& v) { engine.set_leaving(v.get<bool>()); }},
                {"silent", [&](const json& v) { engine.set_silent(v.get<bool>()); }},
                {"checks_tokens", [&](const json& v) { engine.set_checks_tokens(v.get<bool>()); }},
                {"crossed", store_in(answers.crossed)},
                {"late", store_in(answers.late)},
                {"late_ms", store_milliseconds_in(answers.late_by)},
                {"truncated", store_in(answers.truncated)},
                {"duplicated", store_in(answers.duplicated)}},
               text);
}

outcome<fault_set> set_faults(service_faults& faults, std::string_view text) {
  return apply({{"late", store_in(faults.late)},
                {"late_ms", store_milliseconds_in(faults.late_by)},
                {"cut_before", store_in(faults.cut_before)},
                {"cut_after", store_in(faults.cut_after)}},
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
  return json{{"accepted", c.accepted},         {"completed", c.completed},
              {"cancelled", c.cancelled},       {"cut", c.cut},
              {"cut_by_order", c.cut_by_order}, {"not_run", c.not_run},
              {"orders_done", c.orders_done},   {"orders_refused", c.orders_refused}}
      .dump();
}

std::string encode(const service_counters& c) {
  return json{{"executions", c.executions}, {"keys", c.keys}, {"most_per_key", c.most_per_key}}
      .dump();
}

}  // namespace arbutus::standin
