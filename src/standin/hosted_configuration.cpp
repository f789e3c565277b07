// The document of the operators' configuration.
#include "standin/hosted_configuration.h"

#include <nlohmann/json.hpp>

namespace arbutus::standin {

using nlohmann::json;

std::string extra_route_path(std::size_t index) {
  return "/extra-" + std::to_string(index) + "/";
}

namespace {

json workspaces_of(const hosted_configuration& c) {
  if (c.workspaces == workspace_list::empty) {
    return json::array();
  }
  json workspace = {{"name", "desk"}, {"api-keys", json::array()}};
  if (c.workspaces == workspace_list::with_key) {
    workspace["api-keys"].push_back(hosted_caller_key);
  }
  if (!c.workspace_regions.empty()) {
    workspace["allowed-regions"] = c.workspace_regions;
  }
  return json::array({workspace});
}

}  // namespace

std::string encode(const hosted_configuration& c) {
  json route = {{"name", "summary"},
                {"hostname", hosted_host_name},
                {"prefix", "/llm/"},
                {"route-type", "streaming"},
                {"timeout-ms", 8000},
                {"target-latency-ms", 300},
                {"service", model_service_name},
                {"max-attempts", c.model_max_attempts},
                {"public", false},
                {"stream-resume", true},
                {"gap-target-ms", 300}};
  json once = {{"name", "card"},     {"hostname", hosted_host_name},
               {"prefix", "/card/"}, {"route-type", "unsafe"},
               {"timeout-ms", 1500}, {"service", plain_service_name},
               {"max-attempts", 1},  {"public", false}};
  json plain_stream = {{"name", "events"},
                       {"hostname", hosted_host_name},
                       {"prefix", plain_stream_prefix},
                       {"route-type", "streaming"},
                       {"timeout-ms", 8000},
                       {"service", plain_service_name},
                       {"max-attempts", 2},
                       {"public", false},
                       {"stream-resume", true}};
  json once_plain_stream = plain_stream;
  once_plain_stream["name"] = "once-events";
  once_plain_stream["prefix"] = once_plain_stream_prefix;
  once_plain_stream.erase("stream-resume");
  json once_stream = route;
  once_stream["name"] = "once-summary";
  once_stream["prefix"] = once_stream_prefix;
  once_stream.erase("stream-resume");
  json repeatable = once;
  repeatable["name"] = "note";
  repeatable["prefix"] = repeatable_prefix;
  repeatable["route-type"] = "safe";
  repeatable["timeout-ms"] = 8000;
  repeatable["max-attempts"] = 3;
  json long_call = once;
  long_call["name"] = "booking";
  long_call["prefix"] = long_call_prefix;
  long_call["timeout-ms"] = 8000;
  json open_to_all = once;
  open_to_all["name"] = "public";
  open_to_all["prefix"] = public_prefix;
  open_to_all["public"] = true;
  if (!c.route_regions.empty()) {
    route["allowed-regions"] = c.route_regions;
    once["allowed-regions"] = c.route_regions;
    plain_stream["allowed-regions"] = c.route_regions;
    repeatable["allowed-regions"] = c.route_regions;
  }
  json model = {{"name", hosted_model_name},
                {"size", 3},
                {"share", 1.0},
                {"pace", 1.0},
                {"load-s", 0.3},
                {"warm-s", 0.2}};
  json engine = {{"slots", 16},
                 {"stride", 1},
                 {"step_ms", 1.0},
                 {"read_per_s", 100000.0},
                 {"report_lag_ms", 20},
                 {"loads_at_once", 9},
                 {"usual", {{"prompt", 100}, {"answer", 20}}},
                 {"far_x", 2.5},
                 {"models", json::array({model})}};
  json routes = json::array({route, once, plain_stream, repeatable, long_call, open_to_all,
                             once_plain_stream, once_stream});
  if (c.has_urgent_route) {
    routes[0]["priority"] = 1;
    routes.back()["priority"] = 1;
    route["name"] = "urgent";
    route["prefix"] = "/urgent/";
    routes.push_back(route);
  }
  for (std::size_t i = 0; i < c.extra_routes; ++i) {
    once["name"] = "extra-" + std::to_string(i);
    once["prefix"] = extra_route_path(i);
    routes.push_back(once);
  }
  json services = json::array(
      {{{"name", model_service_name}, {"engine", engine}}, {{"name", plain_service_name}}});
  for (json& service : services) {
    if (c.warmup_s > 0) {
      service["warmup-s"] = c.warmup_s;
      service["cold-per-s"] = c.cold_per_s;
    }
  }
  json document = {{"version", c.version},
                   {"routes", routes},
                   {"services", services},
                   {"limits", json::object()}};
  if (c.workspaces != workspace_list::absent) {
    document["tenants"] = workspaces_of(c);
  }
  return document.dump();
}

}  // namespace arbutus::standin
