// Lookups of routes, workspaces, services and models in an accepted version.
#include "version/service_map.h"

#include <algorithm>

#include "base/hash.h"

namespace arbutus {

namespace {

std::string lower_host(std::string_view host) {
  std::string result(host.substr(0, host.find(':')));
  std::transform(result.begin(), result.end(), result.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return result;
}

}  // namespace

const model_spec* engine_parameters::find_model(const model_id& id) const {
  const auto found =
      std::find_if(models.begin(), models.end(), [&](const model_spec& m) { return m.id == id; });
  return found == models.end() ? nullptr : &*found;
}

service_map::service_map(std::uint64_t version, std::vector<route> routes,
                         std::vector<service_spec> services,
                         std::optional<std::vector<workspace_spec>> workspaces,
                         const caller_limits& limits)
    : version_(version),
      routes_(std::move(routes)),
      services_(std::move(services)),
      has_workspaces_(workspaces.has_value()),
      workspaces_(std::move(workspaces).value_or(std::vector<workspace_spec>{})),
      limits_(limits) {
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    routes_by_host_[lower_host(routes_[i].host)].push_back(i);
  }
  for (auto& [host, positions] : routes_by_host_) {
    std::stable_sort(positions.begin(), positions.end(), [this](std::size_t a, std::size_t b) {
      return routes_[a].prefix.size() > routes_[b].prefix.size();
    });
  }
  for (std::size_t i = 0; i < workspaces_.size(); ++i) {
    for (const std::string& key : workspaces_[i].keys) {
      workspace_by_key_.emplace(key, i);
    }
  }
  find_prioritised_services();
}

void service_map::find_prioritised_services() {
  std::map<service_id, std::uint32_t> first_priority;
  for (const route& r : routes_) {
    if (r.kind != route_kind::stream) {
      continue;
    }
    for (const route_share& share : r.shares) {
      const auto [known, is_new] = first_priority.emplace(share.service, r.priority);
      if (!is_new && known->second != r.priority) {
        prioritised_services_.insert(share.service);
      }
    }
  }
}

const route* service_map::find_route(std::string_view host, std::string_view path) const {
  const auto found = routes_by_host_.find(lower_host(host));
  if (found == routes_by_host_.end()) {
    return nullptr;
  }
  for (const std::size_t position : found->second) {
    if (path.starts_with(routes_[position].prefix)) {
      return &routes_[position];
    }
  }
  return nullptr;
}

const workspace_spec* service_map::find_workspace(std::string_view key) const {
  const auto found = workspace_by_key_.find(std::string(key));
  return found == workspace_by_key_.end() ? nullptr : &workspaces_[found->second];
}

std::set<region_id> service_map::named_regions() const {
  std::set<region_id> regions;
  for (const route& r : routes_) {
    regions.insert(r.allowed_regions.begin(), r.allowed_regions.end());
  }
  for (const workspace_spec& w : workspaces_) {
    regions.insert(w.allowed_regions.begin(), w.allowed_regions.end());
  }
  return regions;
}

const service_spec* service_map::find_service(const service_id& id) const {
  const auto found = std::find_if(services_.begin(), services_.end(),
                                  [&](const service_spec& s) { return s.id == id; });
  return found == services_.end() ? nullptr : &*found;
}

const service_id* service_map::find_service_of(const model_id& model) const {
  const auto found = std::ranges::find_if(services_, [&](const service_spec& s) {
    return s.engine && s.engine->find_model(model) != nullptr;
  });
  return found == services_.end() ? nullptr : &found->id;
}

const service_id* pick_service(const route& r, std::string_view subject) {
  double total = 0;
  for (const route_share& share : r.shares) {
    total += std::max(share.weight, 0.0);
  }
  if (total <= 0) {
    return r.shares.empty() ? nullptr : &r.shares.front().service;
  }
  constexpr double buckets = 1 << 20;
  const auto bucket = static_cast<double>(stable_hash(subject) % (1U << 20U));
  double at = bucket / buckets * total;
  for (const route_share& share : r.shares) {
    at -= std::max(share.weight, 0.0);
    if (at < 0) {
      return &share.service;
    }
  }
  return &r.shares.back().service;
}

}  // namespace arbutus
