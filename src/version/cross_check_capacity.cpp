// Checks whether the configured replicas of the models fit the VMs of the inventory.
#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "version/assignment.h"
#include "version/cross_check.h"
#include "version/field_text.h"

namespace arbutus {

namespace {

class capacity_checker {
 public:
  capacity_checker(const inventory& assets, const rules& desired, const place_index& places)
      : assets_(assets), rules_(desired), places_(places) {}

  findings run() {
    check_models();
    check_total_capacity();
    return std::move(problems_);
  }

 private:
  void add(severity level, const std::string& path, std::string message, std::string expected) {
    if (problems_.size() < max_findings) {
      problems_.push_back({level, places_.at(path), std::move(message), std::move(expected)});
    }
  }
  void error(const std::string& path, std::string message, std::string expected) {
    add(severity::error, path, std::move(message), std::move(expected));
  }
  void warning(const std::string& path, std::string message, std::string expected = {}) {
    add(severity::warning, path, std::move(message), std::move(expected));
  }

  // Number of VMs in each fabric domain of `dc` that have enough accelerators for `model`.
  std::map<fabric_domain_id, std::uint32_t> fitting_vms(const model_rule& model,
                                                        const data_centre_id& dc) const {
    std::map<fabric_domain_id, std::uint32_t> count;
    for (const vm_record& vm : assets_.vms) {
      if (vm.data_centre == dc && vm.accelerators >= model.accelerators_per_vm) {
        ++count[vm.fabric_domain];
      }
    }
    return count;
  }

  void check_models() {
    for (std::size_t m = 0; m < rules_.models.size(); ++m) {
      const model_rule& model = rules_.models[m];
      const std::string path = record_path("models", m);
      if (model.placements.empty()) {
        warning(path, "model " + quoted_for_message(model.id.str()) + " is placed nowhere",
                "replicas = { DATA_CENTRE = COUNT }");
      }
      if (model.vms_per_replica + rules_.standbys_per_replica > max_positions) {
        error(path + "/vms_per_replica",
              "members and standbys of a replica are more than " + std::to_string(max_positions),
              "at most " + std::to_string(max_positions) + " together");
      }
      for (std::size_t p = 0; p < model.placements.size(); ++p) {
        check_placement(model, model.placements[p], record_path(path + "/placements", p));
      }
    }
  }

  void check_placement(const model_rule& model, const model_placement& desired,
                       const std::string& path) {
    if (desired.replicas == 0 || model.vms_per_replica == 0) {
      return;
    }
    std::uint32_t vms = 0;
    std::uint32_t largest = 0;
    std::uint32_t in_domains = 0;  // replicas that fit without crossing fabric domains
    for (const auto& [domain, count] : fitting_vms(model, desired.data_centre)) {
      vms += count;
      largest = std::max(largest, count);
      in_domains += count / model.vms_per_replica;
    }
    const std::string what = "model " + quoted_for_message(model.id.str()) + " in " +
                             quoted_for_message(desired.data_centre.str());
    const std::string need = std::to_string(model.vms_per_replica) + " VMs with " +
                             std::to_string(model.accelerators_per_vm) + " accelerators each";
    if (vms < model.vms_per_replica) {
      over_capacity_.insert(desired.data_centre);
      error(path, what + " can never fit: " + std::to_string(vms) + " such VMs are there",
            need + " for one replica");
      return;
    }
    if (in_domains == 0 && !model.may_cross_fabric_domains) {
      over_capacity_.insert(desired.data_centre);
      error(path,
            what + " can never fit: a replica is larger than any fabric domain (largest: " +
                std::to_string(largest) + " such VMs) and may not cross",
            need + " in one fabric domain, or may_cross_fabric_domains = true");
      return;
    }
    const std::uint32_t fits =
        model.may_cross_fabric_domains ? vms / model.vms_per_replica : in_domains;
    if (fits < desired.replicas) {
      over_capacity_.insert(desired.data_centre);
      warning(path, what + ": " + std::to_string(desired.replicas) + " replicas wanted, at most " +
                        std::to_string(fits) + " fit");
    }
  }

  // Checks whether all models of a data centre fit together; skips data centres in which a single
  // model already does not fit.
  void check_total_capacity() {
    std::map<data_centre_id, std::uint64_t> desired;
    for (const model_rule& model : rules_.models) {
      for (const model_placement& p : model.placements) {
        desired[p.data_centre] += std::uint64_t{p.replicas} * model.vms_per_replica;
      }
    }
    std::map<data_centre_id, std::uint64_t> present;
    for (const vm_record& vm : assets_.vms) {
      ++present[vm.data_centre];
    }
    for (std::size_t i = 0; i < assets_.data_centres.size(); ++i) {
      const data_centre_id& dc = assets_.data_centres[i].id;
      const std::uint64_t vms = present[dc];
      if (desired[dc] > vms && !over_capacity_.contains(dc)) {
        warning(record_path("data_centres", i), "the models want " + std::to_string(desired[dc]) +
                                                    " VMs in " + quoted_for_message(dc.str()) +
                                                    ", which has " + std::to_string(vms));
      }
    }
  }

  const inventory& assets_;
  const rules& rules_;
  const place_index& places_;
  // Data centres in which a single model does not fit, which has been reported already.
  std::set<data_centre_id> over_capacity_;
  findings problems_;
};

}  // namespace

findings check_capacity(const inventory& assets, const rules& desired, const place_index& places) {
  return capacity_checker(assets, desired, places).run();
}

}  // namespace arbutus
