// What operators want served, as one accepted version from outside: routes, services with the
// parameters of their engines, and the workspaces with their keys.
//
// It is the counterpart of `configuration` for deployments whose inventory is live: targets come
// and go without a new version, so none is named here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

enum class route_kind : std::uint8_t {
  idempotent,  // may run more than once
  once,        // may run at most once for each request of a caller
  stream,      // a series of events; repeatable only where it can be resumed
};

// A part of a route's requests that goes to one service.
struct route_share {
  service_id service;
  double weight = 1;
};

struct route {
  std::string name;
  std::string host;    // lower case, without port
  std::string prefix;  // begins and ends with '/'
  route_kind kind = route_kind::once;
  bool resumable = false;       // a stream can go on behind its last event, on another target
  bool needs_workspace = true;  // false: served without a key
  duration timeout{};           // the longest a caller is kept waiting
  duration target_latency{};    // to the answer; for streams to the first event
  duration gap_target{};        // longest pause between events that is still on time
  std::uint32_t priority{};     // 0 is the most urgent
  std::uint32_t max_attempts = 1;
  std::vector<route_share> shares;

  [[nodiscard]] bool repeatable() const {
    return kind == route_kind::idempotent || (kind == route_kind::stream && resumable);
  }
};

// A model that replicas of engines serve together.
struct model_shape {
  model_id id;
  std::uint32_t size = 1;      // engines of a replica
  double work_share = 1;       // of the engines' time, as operators expect it at the start
  double slowdown_factor = 1;  // factor on all times of a replica
  duration load_time{};        // from the shared weight store
  duration warm_time{};        // when the weights are on the host already
};

// How engines of a service batch. All times are those of a replica with slowdown_factor 1.
struct engine_parameters {
  std::uint32_t slots = 1;          // requests that a replica runs at once
  std::uint64_t kv_capacity{};      // tokens
  std::uint32_t stride = 1;         // steps of a pass while some request generates
  duration step{};                  // of one token for all that generate
  double step_per_sequence_ms{};    // added to a step for each request that generates
  double context_ms_per_k{};        // added to a step for each 1,000 tokens of context
  double read_tokens_per_s = 1;     // prompt tokens
  double pair_ms_per_m{};           // for each million pairs of a token and an earlier one
  std::uint32_t chunk = 1;          // most prompt tokens read in a step
  duration report_lag{};            // age of a report's figures
  double loads_per_s{};             // starts of loads that the weight store allows
  std::uint32_t loads_at_once = 1;  // beyond it loads slow each other down
  double usual_prompt{};            // mean tokens
  double usual_answer{};            // mean tokens
  double cross_domain_factor = 1;   // slowdown of a replica that spans fabric domains
  duration open_time{};             // from the order to serve until the head serves
  std::vector<model_shape> models;

  [[nodiscard]] const model_shape* find_model(const model_id& id) const;
};

struct service_shape {
  service_id id;
  std::string health_path;
  std::uint32_t max_connections{};          // of all callers together, to one target
  std::optional<engine_parameters> engine;  // empty: a plain service
};

struct workspace_shape {
  workspace_id id;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority;  // goes before that of the route
};

// What a caller's connection may do.
struct caller_limits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint32_t body_bytes = 4 * 1024 * 1024;
  duration header_timeout = 3s;
  duration idle_timeout = 15s;
};

class service_map {
 public:
  service_map() = default;
  service_map(std::uint64_t version, std::vector<route> routes, std::vector<service_shape> services,
              std::vector<workspace_shape> workspaces, const caller_limits& limits);

  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] const caller_limits& limits() const { return limits_; }
  [[nodiscard]] const std::vector<service_shape>& services() const { return services_; }
  [[nodiscard]] const std::vector<route>& routes() const { return routes_; }
  // Without any, no request needs a key.
  [[nodiscard]] bool has_workspaces() const { return !workspaces_.empty(); }

  // The route of this host with the longest prefix that begins `path`; null if none does.
  [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;
  [[nodiscard]] const workspace_shape* find_workspace(std::string_view key) const;
  [[nodiscard]] const service_shape* find_service(const service_id& id) const;

 private:
  std::uint64_t version_{};
  std::vector<route> routes_;
  std::vector<service_shape> services_;
  std::vector<workspace_shape> workspaces_;
  caller_limits limits_;
  // Positions in routes_, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
  std::unordered_map<std::string, std::size_t> by_key_;  // position in workspaces_
};

// The service of a route for a request: by weight, and the same for equal `subject`s.
[[nodiscard]] const service_id* pick_service(const route& r, std::string_view subject);

}  // namespace arbutus
