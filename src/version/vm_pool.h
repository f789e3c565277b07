// The VMs of one data centre while a plan is made: what each is like, which are free, and which
// will be free soon because they were taken back and wait for acknowledgement or a drain.
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

  // A VM that works but is no longer in the inventory counts as leaving: what runs there is
  // finished, not cut off.
  [[nodiscard]] vm_condition condition(const vm_id& vm) const;
  // Works and may be given something new.
  [[nodiscard]] bool usable(const vm_id& vm) const;
  [[nodiscard]] bool usable(const vm_id& vm, std::uint32_t accelerators) const;
  // any_domain when the inventory does not know the VM.
  [[nodiscard]] domain_index domain_of(const vm_id& vm) const;
  [[nodiscard]] domain_index domains() const;
  // All VMs of the inventory here, ordered by name.
  [[nodiscard]] const std::vector<const vm_record*>& vms() const { return vms_; }

  // Forgets what is free and pending.
  void clear();
  // Both ignore a VM that is lost or leaves, and one that is there already. A suspect counts as
  // pending: it is likely to be back in a moment, and when it is lost the next plan finds another.
  // A pending VM that becomes free is pending no more.
  void add_free(const vm_id& vm);
  void add_pending(const vm_id& vm);

  // Counts are of VMs with at least `accelerators`; `any_domain` sums over all.
  [[nodiscard]] std::size_t free_count(domain_index d, std::uint32_t accelerators) const;
  [[nodiscard]] std::size_t pending_count(domain_index d, std::uint32_t accelerators) const;

  // The free VM with the fewest accelerators that suffice, then by name. In any domain: from the
  // one with the most free, so that few domains are touched.
  [[nodiscard]] std::optional<vm_id> take_free(domain_index d, std::uint32_t accelerators);
  [[nodiscard]] bool is_free(const vm_id& vm) const;
  // This very VM; false when it is not free.
  bool take_free(const vm_id& vm);
  // Sets VMs aside for a replica that waits, so that no later one counts on them.
  void promise(domain_index d, std::uint32_t accelerators, std::size_t free, std::size_t pending);

 private:
  struct entry {
    const vm_record* record = nullptr;
    vm_condition condition = vm_condition::lost;
    domain_index domain = any_domain;
    std::uint32_t order{};  // by name
  };
  // Ordered by accelerators, then by name.
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
  // By domain. Invariant: a VM stands in at most one of the two.
  std::vector<slots> free_;
  std::vector<slots> pending_;
};

}  // namespace arbutus
