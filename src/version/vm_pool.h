// The VMs of one data centre during planning: the condition of each VM, which VMs are free, and
// which are pending, that is, become free after an acknowledgement or a drain.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "version/configuration.h"
#include "version/vm_health.h"

namespace arbutus {

using domain_index = std::uint32_t;
inline constexpr domain_index any_domain = ~domain_index{0};

class vm_pool {
 public:
  vm_pool(const configuration& config, const data_centre_id& data_centre,
          const std::vector<vm_health>& health);

  // A VM that works but is no longer in the inventory counts as leaving, so that its requests are
  // finished and not interrupted.
  [[nodiscard]] vm_condition condition(const vm_id& vm) const;
  // Whether the VM works and may be chosen for something new.
  [[nodiscard]] bool usable(const vm_id& vm) const;
  [[nodiscard]] bool usable(const vm_id& vm, std::uint32_t accelerators) const;
  // The fabric domain of the VM; any_domain if the VM is not in the inventory.
  [[nodiscard]] domain_index domain_of(const vm_id& vm) const;
  [[nodiscard]] domain_index domain_count() const;
  // All VMs of the inventory in this data centre, ordered by id.
  [[nodiscard]] const std::vector<const vm_record*>& vms() const { return vms_; }

  // Removes all free and pending VMs.
  void clear();
  // add_free() and add_pending() ignore VMs that are lost or leaving, and VMs that are already
  // listed. A suspect VM counts as pending: it is likely to return soon, and if it is lost, the
  // next plan chooses another. Adding a pending VM as free removes it from the pending ones.
  void add_free(const vm_id& vm);
  void add_pending(const vm_id& vm);

  // Number of VMs with at least `accelerators` in a domain; any_domain sums over all domains.
  [[nodiscard]] std::size_t free_count(domain_index d, std::uint32_t accelerators) const;
  [[nodiscard]] std::size_t pending_count(domain_index d, std::uint32_t accelerators) const;

  // Takes the free VM with the fewest sufficient accelerators, then the first by id. For
  // any_domain, takes it from the domain with the most free VMs, so that few domains are used.
  [[nodiscard]] std::optional<vm_id> take_free(domain_index d, std::uint32_t accelerators);
  [[nodiscard]] bool is_free(const vm_id& vm) const;
  // Removes this VM from the free ones; false if it is not free.
  bool take_free(const vm_id& vm);
  // Reserves VMs for a waiting replica, so that they are not available to later ones.
  void reserve_vms(domain_index d, std::uint32_t accelerators, std::size_t free,
                   std::size_t pending);

 private:
  struct entry {
    const vm_record* record = nullptr;
    vm_condition condition = vm_condition::lost;
    domain_index domain = any_domain;
    std::uint32_t order{};  // index in vms_, by id
  };
  // A VM in a list of free or pending VMs, ordered by accelerators, then by id.
  struct slot {
    std::uint32_t accelerators{};
    std::uint32_t order{};
    auto operator<=>(const slot&) const = default;
  };
  using slots = std::vector<slot>;

  [[nodiscard]] const entry* find(const vm_id& vm) const;
  static void insert(slots& list, const slot& s);
  static std::size_t count(const std::vector<slots>& lists, domain_index d,
                           std::uint32_t accelerators);
  static std::optional<slot> take(std::vector<slots>& lists, domain_index d,
                                  std::uint32_t accelerators);

  std::vector<const vm_record*> vms_;
  std::unordered_map<vm_id, entry> entries_;
  // Free and pending VMs, indexed by fabric domain. Invariant: a VM is in at most one of the two.
  std::vector<slots> free_;
  std::vector<slots> pending_;
};

}  // namespace arbutus
