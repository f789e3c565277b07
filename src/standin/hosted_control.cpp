// HTTP handlers of the commands that control the stand-in platform.
#include "standin/hosted_control.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>

#include "standin/standin_http.h"

namespace arbutus::standin {

namespace {

nlohmann::json restraints_json(const hosted_platform& platform) {
  const time_point now = monotonic_now();
  nlohmann::json windows = nlohmann::json::array();
  for (const backoff_window& w : platform.broken_backoff_windows()) {
    windows.push_back({{"target", w.target},
                       {"node", w.node},
                       {"asked", to_seconds(now - w.asked_at)},
                       {"ends", to_seconds(now - w.ends)},
                       {"arrivals", w.arrivals}});
  }
  nlohmann::json after_notice = nlohmann::json::array();
  for (const arrival_after_notice& a : platform.arrivals_after_notice()) {
    after_notice.push_back({{"target", a.target},
                            {"node", a.node},
                            {"request", a.request},
                            {"told", to_seconds(now - a.told_at)},
                            {"arrived", to_seconds(now - a.arrived_at)}});
  }
  return {{"windows", windows}, {"after_notice", after_notice}};
}

std::optional<path_state> read_path_state(std::string_view name) {
  static const std::map<std::string_view, path_state> states = {
      {"open", path_state::open},
      {"silent", path_state::silent},
      {"one-way", path_state::one_way},
      {"reset", path_state::reset},
      {"closed-to-new", path_state::closed_to_new}};
  const auto found = states.find(name);
  return found == states.end() ? std::nullopt : std::optional(found->second);
}

// Answers that are none, by their names. They look like a target's success as far as they go.
std::optional<faulty_answer> read_answer(std::string_view name) {
  const std::string fields = "\r\nX-Request-Id: " + std::string(request_id_mark) +
                             "\r\nX-Response-Seal: seal." + std::string(request_id_mark) + "\r\n";
  const std::map<std::string_view, faulty_answer> answers = {
      {"sound", {}},
      {"odd-status", {"HTTP/1.1 000 Odd" + fields + "Content-Length: 4\r\n\r\npart"}},
      {"reset", {"HTTP/1.1 200 OK" + fields + "\r\npart", true}}};
  const auto found = answers.find(name);
  return found == answers.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace

hosted_control::hosted_control(fiber_runtime& runtime, hosted_platform& platform,
                               const socket_address& at)
    : platform_(platform),
      server_(runtime, at, http_server_limits{},
              [this](const http_request& r, response_writer& w) { serve(r, w); }) {}

void hosted_control::serve(const http_request& request, response_writer& writer) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  const bool set = request.target.ends_with("=1");
  const std::string value = request.target.substr(request.target.rfind('=') + 1);
  nlohmann::json answer = nlohmann::json::object();
  if (path == "/counts") {
    answer = {{"runs", platform_.runs_by_request()},
              {"ends", platform_.crashes_by_path()},
              {"leaked", platform_.header_violations()},
              {"serving", platform_.count_serving_replicas()}};
  } else if (path == "/arrivals") {
    const time_point now = monotonic_now();
    for (const auto& [target, arrivals] : platform_.arrivals()) {
      answer[target] = nlohmann::json::array();
      for (const time_point at : arrivals) {
        answer[target].push_back(to_seconds(now - at));
      }
    }
  } else if (path == "/repeats") {
    const time_point now = monotonic_now();
    for (const auto& [service, repeats] : platform_.repeats()) {
      answer[service] = nlohmann::json::array();
      for (const time_point at : repeats) {
        answer[service].push_back(to_seconds(now - at));
      }
    }
  } else if (path == "/kill") {
    const std::string id = platform_.find_member(set);
    if (!id.empty()) {
      platform_.kill_engine(id);
    }
    answer["killed"] = id;
  } else if (path == "/restart") {
    const std::string named = query_parameter(request.target, "id");
    const std::string id = named.empty() ? platform_.find_member(set) : named;
    if (!id.empty()) {
      platform_.restart_engine(id);
    }
    answer["restarted"] = id;
  } else if (path == "/head") {
    answer["head"] = platform_.find_member(true);
  } else if (path == "/behave") {
    platform_.set_behaviour(
        query_parameter(request.target, "id"),
        {.turns_away = query_parameter(request.target, "away") == "1",
         .retry_after = value,
         .is_leaving = query_parameter(request.target, "leaving") == "1",
         .closes_connections = query_parameter(request.target, "closes") == "1",
         .failure_status = std::stoi("0" + query_parameter(request.target, "fails"))});
  } else if (path == "/restraints") {
    answer = restraints_json(platform_);
  } else if (path == "/paths" && request.method == "GET") {
    answer["stores"] = nlohmann::json::array();
    for (std::size_t i = 0; i < platform_.node_count(); ++i) {
      answer["stores"].push_back(platform_.store_port(i));
    }
  } else if (path == "/paths") {
    const std::size_t node = std::stoul("0" + query_parameter(request.target, "node"));
    const auto state = read_path_state(value);
    if (!state || node >= platform_.node_count()) {
      send_json(writer, 400, "{}");
      return;
    }
    platform_.set_paths(node, *state, query_parameter(request.target, "target"));
  } else if (path == "/answers") {
    const std::size_t node = std::stoul("0" + query_parameter(request.target, "node"));
    const auto faulty = read_answer(value);
    if (!faulty || node >= platform_.node_count()) {
      send_json(writer, 400, "{}");
      return;
    }
    platform_.set_answer(node, *faulty, query_parameter(request.target, "target"));
  } else if (path == "/foreign") {
    platform_.write_target_record("not-an-engine",
                                  R"({"service":"llm","state":"asleep","slots":"many"})");
    platform_.write_target_record("\x01 odd", "{");
  } else if (path == "/store") {
    platform_.set_store_down(set);
  } else if (path == "/copy") {
    platform_.copy_store();
  } else if (path == "/restore") {
    platform_.restore_store(set ? hosted_platform::rewrite::everything
                                : hosted_platform::rewrite::nothing);
  } else if (path == "/write-again") {
    platform_.write_again();
  } else if (path == "/versions") {
    platform_.use_up_versions(std::stoul("0" + value));
  } else if (path == "/rate") {
    platform_.set_store_rate(std::stoul("0" + value));
  } else if (path == "/limit") {
    platform_.set_send_limit(value);
  } else if (path == "/grow") {
    platform_.write_next_configuration(workspace_list::with_key, std::stoul("0" + value));
  } else if (path == "/configure") {
    platform_.write_next_configuration(set ? workspace_list::with_key
                                           : workspace_list::without_keys);
  } else {
    send_json(writer, 404, "{}");
    return;
  }
  send_json(writer, 200, answer.dump());
}

}  // namespace arbutus::standin
