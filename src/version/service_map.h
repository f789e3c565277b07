// One accepted version of the operators' service configuration, as read from the platform: routes,
// services with the parameters of their engines, and workspaces with their keys.
//
// A service_map replaces `configuration` in deployments with a live inventory: targets join and
// leave without a new version, so the service configuration does not list them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

enum class route_kind : std::uint8_t {
  idempotent,  // a request may run more than once
  once,        // each request of a caller may run at most once
  stream,      // the response is a series of events; repeatable only if it can be resumed
};

// The share of a route's requests that goes to one service.
struct route_share {
  service_id service;
  double weight = 1;
};

struct route {
  std::string name;
  std::string host;    // lower case, without port
  std::string prefix;  // begins and ends with '/'
  route_kind kind = route_kind::once;
  bool resumable = false;          // another target can continue a stream after its last event
  bool needs_workspace = true;     // false: callers need no API key
  duration timeout{};              // the caller gets an answer within this time
  duration latency_objective{};    // objective until the answer; for streams until the first event
  duration event_gap_objective{};  // objective for the longest pause between events
  std::uint32_t priority{};        // 0 is the most urgent
  std::uint32_t max_attempts = 1;
  std::vector<route_share> shares;
  std::vector<region_id> allowed_regions =
      {};  // where its requests may be served; empty: everywhere

  [[nodiscard]] bool repeatable() const {
    return kind == route_kind::idempotent || (kind == route_kind::stream && resumable);
  }
};

// A model that is served by replicas, each of several engines.
struct model_spec {
  model_id id;
  std::uint32_t size = 1;  // engines per replica
  // Fraction of all engine time that operators expect this model to use when the service starts.
  double expected_engine_time_fraction = 1;
  double slowdown_factor = 1;  // factor on all times of a replica
  duration load_time{};        // to load the weights from the shared weight store
  duration warm_load_time{};   // to load the weights if they are on the host already
};

// Batching parameters of a service's engines. All times are those of a replica with
// slowdown_factor 1.
struct engine_parameters {
  std::uint32_t slots = 1;                   // requests that a replica runs simultaneously
  std::uint64_t kv_cache_capacity_tokens{};  // tokens
  std::uint32_t decode_steps_per_pass = 1;   // steps per pass while any request generates tokens
  duration step{};                    // time of a step, which gives each generating request a token
  double step_per_sequence_ms{};      // added to a step for each request that generates
  double context_ms_per_1k_tokens{};  // added to a step for each 1,000 tokens of context
  double prefill_tokens_per_s = 1;    // rate at which prompts are read (prefill)
  double attention_ms_per_million_pairs{};  // for each million pairs of a token and an earlier one
  std::uint32_t chunk = 1;                  // maximum of prompt tokens read in a step
  duration report_lag{};                    // age of a report's figures
  double max_weight_loads_per_s{};          // loads that may start per second at the weight store
  std::uint32_t concurrent_loads = 1;       // more simultaneous loads slow each other down
  double mean_prompt_tokens{};              // mean length of a prompt, in tokens
  double mean_answer_tokens{};              // mean length of an answer, in tokens
  double cross_domain_slowdown_factor = 1;  // slowdown of a replica that spans fabric domains
  duration open_time{};                     // from the order to open until the head serves
  std::vector<model_spec> models;

  [[nodiscard]] const model_spec* find_model(const model_id& id) const;
};

// How many requests a target bears while it warms up: after a start during traffic, and whenever it
// reports that it is cold.
struct warmup_limit {
  duration time{};               // from the target's start until it is warm
  double requests_per_second{};  // that a warming target bears, from all nodes together
};

struct service_spec {
  service_id id;
  std::string health_path;
  std::uint32_t max_connections{};          // to one target, for all callers together
  std::optional<engine_parameters> engine;  // empty: the service is not a model
  std::optional<warmup_limit> warmup;       // empty: its targets bear full load from the start
};

struct workspace_spec {
  workspace_id id;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority = {};   // overrides the priority of the route
  std::vector<region_id> allowed_regions = {};  // besides those of the route; empty: everywhere
};

// Limits of a caller's connection.
struct caller_limits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint32_t body_bytes = 4 * 1024 * 1024;
  duration header_timeout = 3s;
  duration idle_timeout = 15s;
};

class service_map {
 public:
  service_map() = default;
  // `workspaces`: empty if the version has no list of them, which is not the same as an empty list.
  service_map(std::uint64_t version, std::vector<route> routes, std::vector<service_spec> services,
              std::optional<std::vector<workspace_spec>> workspaces, const caller_limits& limits);

  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] const caller_limits& limits() const { return limits_; }
  [[nodiscard]] const std::vector<service_spec>& services() const { return services_; }
  [[nodiscard]] const std::vector<route>& routes() const { return routes_; }
  // Whether the version has a list of workspaces; if not, no request needs an API key. With an
  // empty list no key is valid.
  [[nodiscard]] bool has_workspaces() const { return has_workspaces_; }

  // The route of this host with the longest prefix of `path`; null if there is none.
  [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;
  [[nodiscard]] const workspace_spec* find_workspace(std::string_view key) const;
  [[nodiscard]] const service_spec* find_service(const service_id& id) const;
  // The first service with a model of this name; null if there is none.
  [[nodiscard]] const service_id* find_service_of(const model_id& model) const;
  // All regions that routes and workspaces name.
  [[nodiscard]] std::set<region_id> named_regions() const;
  // Whether the streams that this service serves differ in priority, so that its callers compete
  // for its replicas by urgency.
  [[nodiscard]] bool has_prioritised_streams(const service_id& id) const {
    return prioritised_services_.contains(id);
  }

 private:
  void find_prioritised_services();

  std::uint64_t version_{};
  std::vector<route> routes_;
  std::vector<service_spec> services_;
  bool has_workspaces_ = false;
  std::vector<workspace_spec> workspaces_;  // empty without has_workspaces_
  caller_limits limits_;
  // Indices of the host's routes in routes_, longest path prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
  std::set<service_id> prioritised_services_;  // see has_prioritised_streams()
  std::unordered_map<std::string, std::size_t>
      workspace_by_key_;  // API key to index in workspaces_
};

// Chooses the service for a request by the weights of the route; equal `subject`s get the same one.
[[nodiscard]] const service_id* pick_service(const route& r, std::string_view subject);

}  // namespace arbutus
