// Consistency checks across the records of a configuration. Each check appends its findings.
#include "version/cross_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "version/field_text.h"

namespace arbutus {

namespace {

// Paths below this prefix are the model API, which the nodes serve themselves.
constexpr std::string_view model_api_prefix = "/v1";

class checker {
 public:
  checker(const inventory& assets, const rules& desired, const place_index& places)
      : assets_(assets), rules_(desired), places_(places) {}

  findings run() {
    check_names();
    check_vms_listed_twice();
    check_fabric_domains();
    check_endpoints();
    check_data_centres();
    check_services();
    check_workspaces();
    check_classes();
    check_prefixes();
    findings room = check_capacity(assets_, rules_, places_);
    problems_.insert(problems_.end(), room.begin(), room.end());
    return std::move(problems_);
  }

 private:
  void add(severity level, const std::string& path, std::string message,
           std::string expected = {}) {
    if (problems_.size() < max_findings) {
      problems_.push_back({level, places_.at(path), std::move(message), std::move(expected)});
    }
  }
  void error(const std::string& path, std::string message, std::string expected = {}) {
    add(severity::error, path, std::move(message), std::move(expected));
  }
  void warning(const std::string& path, std::string message, std::string expected = {}) {
    add(severity::warning, path, std::move(message), std::move(expected));
  }

  std::string format_location(const std::string& path) const {
    const place at = places_.at(path);
    return at.line == 0 ? at.file : at.file + ':' + std::to_string(at.line);
  }

  // ---- names ----

  using name_paths = std::map<std::string, std::string, std::less<>>;  // name to path of its record

  void add_name(name_paths& names, const std::string& name, const std::string& path,
                std::string_view what) {
    const auto [first, is_new] = names.emplace(name, path);
    if (!is_new && !name.empty()) {
      error(path + "/id",
            "the name " + quoted_for_message(name) + " of this " + std::string(what) +
                " is taken at " + format_location(first->second),
            "names that differ");
    }
  }

  template <class Record>
  void add_ids(name_paths& names, const std::vector<Record>& records, std::string_view list,
               std::string_view what) {
    for (std::size_t i = 0; i < records.size(); ++i) {
      add_name(names, records[i].id.str(), record_path(list, i), what);
    }
  }

  // VMs and nodes share one namespace, since both appear in lists of machines and in logs. Models
  // and services share another, since callers request both by name.
  void check_names() {
    name_paths data_centres;
    add_ids(data_centres, assets_.data_centres, "data_centres", "data centre");
    name_paths machines = first_vm_paths();
    add_ids(machines, assets_.nodes, "nodes", "node");
    name_paths callable_names;
    add_ids(callable_names, rules_.models, "models", "model");
    add_ids(callable_names, rules_.services, "services", "service");
    name_paths workspaces;
    add_ids(workspaces, rules_.workspaces, "workspaces", "workspace");
  }

  name_paths first_vm_paths() const {
    name_paths names;
    for (std::size_t i = 0; i < assets_.vms.size(); ++i) {
      names.emplace(assets_.vms[i].id.str(), record_path("vms", i));
    }
    return names;
  }

  // A VM that is listed twice would be planned into two replicas, one for each row.
  void check_vms_listed_twice() {
    std::map<vm_id, std::size_t> first;
    for (std::size_t i = 0; i < assets_.vms.size(); ++i) {
      const vm_record& vm = assets_.vms[i];
      const auto [before, is_new] = first.emplace(vm.id, i);
      if (is_new || vm.id.empty()) {
        continue;
      }
      const vm_record& other = assets_.vms[before->second];
      const std::string earlier = format_location(record_path("vms", before->second));
      if (other.fabric_domain != vm.fabric_domain) {
        error(record_path("vms", i) + "/fabric_domain",
              "VM " + quoted_for_message(vm.id.str()) + " is in two fabric domains, " +
                  quoted_for_message(vm.fabric_domain.str()) + " here and " +
                  quoted_for_message(other.fabric_domain.str()) + " at " + earlier,
              "one row for each VM");
      } else {
        error(record_path("vms", i) + "/id",
              "VM " + quoted_for_message(vm.id.str()) + " is listed already at " + earlier,
              "one row for each VM");
      }
    }
  }

  void check_fabric_domains() {
    std::map<fabric_domain_id, std::size_t> first;
    for (std::size_t i = 0; i < assets_.vms.size(); ++i) {
      const vm_record& vm = assets_.vms[i];
      const std::size_t before = first.emplace(vm.fabric_domain, i).first->second;
      const data_centre_id& other = assets_.vms[before].data_centre;
      if (!vm.fabric_domain.empty() && other != vm.data_centre) {
        error(record_path("vms", i) + "/fabric_domain",
              "fabric domain " + quoted_for_message(vm.fabric_domain.str()) +
                  " is in data centre " + quoted_for_message(other.str()) + " at " +
                  format_location(record_path("vms", before)),
              "a fabric domain within one data centre");
      }
    }
  }

  // ---- endpoints ----

  using endpoint_paths = std::map<endpoint, std::string>;

  void add_endpoint(endpoint_paths& uses, const endpoint& address, const std::string& path) {
    const auto [first, is_new] = uses.emplace(address, path);
    if (!is_new && address.port != 0) {
      error(path,
            "endpoint " + to_string(address) + " is taken at " + format_location(first->second),
            "endpoints that differ");
    }
  }

  void check_endpoints() {
    endpoint_paths uses;
    for (std::size_t i = 0; i < assets_.vms.size(); ++i) {
      add_endpoint(uses, assets_.vms[i].address, record_path("vms", i) + "/address");
    }
    for (std::size_t i = 0; i < assets_.nodes.size(); ++i) {
      add_endpoint(uses, assets_.nodes[i].link, record_path("nodes", i) + "/link");
      add_endpoint(uses, assets_.nodes[i].caller, record_path("nodes", i) + "/caller");
    }
    for (std::size_t i = 0; i < assets_.services.size(); ++i) {
      add_endpoint(uses, assets_.services[i].address, record_path("services_at", i));
    }
  }

  // ---- references ----

  // Reports a reference to a record that does not exist; `names` are the existing ones.
  void check_reference(const std::string& path, std::string_view what, const std::string& name,
                       const std::set<std::string, std::less<>>& names) {
    if (name.empty() || names.contains(name)) {
      return;
    }
    const std::vector<std::string_view> candidates(names.begin(), names.end());
    finding problem = unknown_name_finding(places_.at(path), what, name, candidates);
    if (problems_.size() < max_findings) {
      problems_.push_back(std::move(problem));
    }
  }

  template <class Record>
  static std::set<std::string, std::less<>> ids_of(const std::vector<Record>& records) {
    std::set<std::string, std::less<>> names;
    for (const Record& record : records) {
      names.insert(record.id.str());
    }
    return names;
  }

  template <class Record>
  void check_data_centre_of(const std::vector<Record>& records, std::string_view list,
                            const std::set<std::string, std::less<>>& names) {
    for (std::size_t i = 0; i < records.size(); ++i) {
      check_reference(record_path(list, i) + "/data_centre", "data centre",
                      records[i].data_centre.str(), names);
    }
  }

  void check_data_centres() {
    const auto names = ids_of(assets_.data_centres);
    check_data_centre_of(assets_.vms, "vms", names);
    check_data_centre_of(assets_.nodes, "nodes", names);
    check_data_centre_of(assets_.services, "services_at", names);
    for (std::size_t m = 0; m < rules_.models.size(); ++m) {
      const auto& placements = rules_.models[m].placements;
      for (std::size_t p = 0; p < placements.size(); ++p) {
        check_reference(record_path(record_path("models", m) + "/placements", p), "data centre",
                        placements[p].data_centre.str(), names);
      }
    }
    std::set<data_centre_id> with_node;
    for (const node_record& node : assets_.nodes) {
      with_node.insert(node.data_centre);
    }
    for (std::size_t i = 0; i < assets_.data_centres.size(); ++i) {
      if (!with_node.contains(assets_.data_centres[i].id)) {
        warning(
            record_path("data_centres", i),
            "data centre " + quoted_for_message(assets_.data_centres[i].id.str()) + " has no node",
            "a node in each data centre");
      }
    }
  }

  void check_services() {
    const auto names = ids_of(rules_.services);
    for (std::size_t i = 0; i < assets_.services.size(); ++i) {
      check_reference(record_path("services_at", i) + "/id", "service",
                      assets_.services[i].service.str(), names);
    }
    const auto workspaces = ids_of(rules_.workspaces);
    for (std::size_t s = 0; s < rules_.services.size(); ++s) {
      check_service(rules_.services[s], record_path("services", s), workspaces);
    }
  }

  void check_callers(const service_rule& service, const std::string& path,
                     const std::set<std::string, std::less<>>& workspaces) {
    if (!service.workspaces) {
      return;
    }
    if (service.workspaces->empty()) {
      warning(path, "no workspace may call service " + quoted_for_message(service.id.str()));
    }
    for (std::size_t i = 0; i < service.workspaces->size(); ++i) {
      check_reference(record_path(path + "/workspaces", i), "workspace",
                      (*service.workspaces)[i].str(), workspaces);
    }
  }

  void check_service(const service_rule& service, const std::string& path,
                     const std::set<std::string, std::less<>>& workspaces) {
    const auto of_this = [&](const service_target& t) { return t.service == service.id; };
    if (std::none_of(assets_.services.begin(), assets_.services.end(), of_this)) {
      warning(path, "service " + quoted_for_message(service.id.str()) +
                        " has no target in the inventory");
    }
    check_callers(service, path, workspaces);
    for (std::size_t i = 0; i < service.idempotent_calls.size(); ++i) {
      const std::string& call = service.idempotent_calls[i].path_prefix;
      if (!is_below(call, service.path_prefix)) {
        error(record_path(path + "/idempotent_calls", i),
              "path " + quoted_for_message(call) + " is not below the service's path",
              "a path below " + service.path_prefix);
      }
    }
  }

  void check_workspaces() {
    const auto models = ids_of(rules_.models);
    std::map<std::string, std::size_t> owners;  // key hash to index of the workspace
    for (std::size_t w = 0; w < rules_.workspaces.size(); ++w) {
      const workspace_rule& workspace = rules_.workspaces[w];
      const std::string path = record_path("workspaces", w);
      for (std::size_t i = 0; i < workspace.models.size(); ++i) {
        check_reference(record_path(path + "/models", i), "model", workspace.models[i].str(),
                        models);
      }
      for (std::size_t i = 0; i < workspace.key_hashes.size(); ++i) {
        const std::size_t owner = owners.emplace(workspace.key_hashes[i], w).first->second;
        if (owner != w) {
          error(record_path(path + "/key_hashes", i),
                "the key belongs to workspace " +
                    quoted_for_message(rules_.workspaces[owner].id.str()) + " already",
                "a key of its own for each workspace");
        }
      }
    }
  }

  void check_classes() {
    name_paths names;
    for (std::size_t c = 0; c < rules_.classes.size(); ++c) {
      const class_rule& entry = rules_.classes[c];
      const std::string path = record_path("classes", c);
      const auto [first, is_new] = names.emplace(entry.name, path);
      if (!is_new && !entry.name.empty()) {
        error(path + "/name",
              "class " + quoted_for_message(entry.name) + " is listed already at " +
                  format_location(first->second),
              "each class once");
      }
      if (entry.first_token > entry.deadline) {
        error(path + "/first_token_ms", "the first token may come after the deadline",
              "at most deadline_ms");
      }
    }
  }

  // ---- paths ----

  static bool is_below(std::string_view path, std::string_view prefix) {
    return path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
  }

  // Reports path prefixes of services that overlap each other or the model API. With overlapping
  // prefixes, the order of the rules would decide which service gets a request.
  void check_prefixes() {
    name_paths prefixes;
    for (std::size_t s = 0; s < rules_.services.size(); ++s) {
      const std::string& prefix = rules_.services[s].path_prefix;
      const std::string path = record_path("services", s) + "/path_prefix";
      if (is_below(prefix, model_api_prefix)) {
        error(path, "path " + quoted_for_message(prefix) + " belongs to the models' own interface",
              "a path outside of /v1");
      }
      const auto [first, is_new] = prefixes.emplace(prefix, path);
      if (!is_new && !prefix.empty()) {
        error(
            path,
            "path " + quoted_for_message(prefix) + " is taken at " + format_location(first->second),
            "paths that differ");
      }
    }
    for (const auto& [prefix, path] : prefixes) {
      check_parents(prefix, path, prefixes);
    }
  }

  void check_parents(std::string_view prefix, const std::string& path, const name_paths& all) {
    for (std::size_t slash = prefix.rfind('/'); slash != std::string_view::npos && slash > 0;
         slash = prefix.rfind('/', slash - 1)) {
      const auto parent = all.find(prefix.substr(0, slash));
      if (parent != all.end()) {
        error(path,
              "path " + quoted_for_message(prefix) + " is below " +
                  quoted_for_message(parent->first) + " at " + format_location(parent->second),
              "paths that do not overlap");
      }
    }
  }

  const inventory& assets_;
  const rules& rules_;
  const place_index& places_;
  findings problems_;
};

}  // namespace

findings cross_check(const inventory& assets, const rules& desired, const place_index& places) {
  return checker(assets, desired, places).run();
}

}  // namespace arbutus
