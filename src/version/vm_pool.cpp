// Keeps free and pending VMs by fabric domain. Takes the VM with the fewest sufficient accelerators
// first.
#include "version/vm_pool.h"

#include <algorithm>
#include <map>

namespace arbutus {

vm_pool::vm_pool(const configuration& config, const data_centre_id& data_centre,
                 const std::vector<vm_health>& health) {
  vms_ = config.assets.vms_of(data_centre);
  std::ranges::sort(vms_, {}, [](const vm_record* r) -> const vm_id& { return r->id; });
  std::map<fabric_domain_id, domain_index> domains;
  for (const vm_record* record : vms_) {
    domains.emplace(record->fabric_domain, 0);
  }
  domain_index next = 0;
  for (auto& [id, index] : domains) {
    index = next++;
  }
  free_.resize(next);
  pending_.resize(next);
  entries_.reserve(vms_.size() + health.size());
  for (std::uint32_t i = 0; i < vms_.size(); ++i) {
    entries_[vms_[i]->id] = {vms_[i], vm_condition::lost, domains[vms_[i]->fabric_domain], i};
  }
  for (const vm_health& seen : health) {
    entries_[seen.vm].condition = seen.condition;
  }
}

const vm_pool::entry* vm_pool::find(const vm_id& vm) const {
  const auto found = entries_.find(vm);
  return found == entries_.end() ? nullptr : &found->second;
}

vm_condition vm_pool::condition(const vm_id& vm) const {
  const entry* e = find(vm);
  if (e == nullptr || e->condition == vm_condition::lost) {
    return vm_condition::lost;
  }
  return e->record == nullptr ? vm_condition::leaving : e->condition;
}

bool vm_pool::usable(const vm_id& vm) const {
  return condition(vm) == vm_condition::working;
}

bool vm_pool::usable(const vm_id& vm, std::uint32_t accelerators) const {
  return usable(vm) && find(vm)->record->accelerators >= accelerators;
}

domain_index vm_pool::domain_of(const vm_id& vm) const {
  const entry* e = find(vm);
  return e == nullptr ? any_domain : e->domain;
}

domain_index vm_pool::domain_count() const {
  return static_cast<domain_index>(free_.size());
}

void vm_pool::clear() {
  free_.assign(free_.size(), {});
  pending_.assign(pending_.size(), {});
}

void vm_pool::add_free(const vm_id& vm) {
  if (!usable(vm)) {
    add_pending(vm);
    return;
  }
  const entry& e = *find(vm);
  const slot s{e.record->accelerators, e.order};
  std::erase(pending_[e.domain], s);
  insert(free_[e.domain], s);
}

void vm_pool::add_pending(const vm_id& vm) {
  const entry* e = find(vm);
  const bool in_inventory = e != nullptr && e->record != nullptr;
  if (in_inventory && (usable(vm) || e->condition == vm_condition::suspect)) {
    insert(pending_[e->domain], {e->record->accelerators, e->order});
  }
}

void vm_pool::insert(slots& list, const slot& s) {
  const auto at = std::ranges::lower_bound(list, s);
  if (at == list.end() || *at != s) {
    list.insert(at, s);
  }
}

std::size_t vm_pool::count(const std::vector<slots>& lists, domain_index d,
                           std::uint32_t accelerators) {
  if (d != any_domain) {
    const slots& list = lists[d];
    const auto first = std::ranges::lower_bound(list, slot{accelerators, 0});
    return static_cast<std::size_t>(list.end() - first);
  }
  std::size_t sum = 0;
  for (domain_index i = 0; i < lists.size(); ++i) {
    sum += count(lists, i, accelerators);
  }
  return sum;
}

std::size_t vm_pool::free_count(domain_index d, std::uint32_t accelerators) const {
  return count(free_, d, accelerators);
}

std::size_t vm_pool::pending_count(domain_index d, std::uint32_t accelerators) const {
  return count(pending_, d, accelerators);
}

std::optional<vm_pool::slot> vm_pool::take(std::vector<slots>& lists, domain_index d,
                                           std::uint32_t accelerators) {
  if (d == any_domain) {
    std::size_t most = 0;
    for (domain_index i = 0; i < lists.size(); ++i) {
      const std::size_t here = count(lists, i, accelerators);
      if (here > most) {
        most = here;
        d = i;
      }
    }
  }
  if (d == any_domain || count(lists, d, accelerators) == 0) {
    return std::nullopt;
  }
  slots& list = lists[d];
  const auto first = std::ranges::lower_bound(list, slot{accelerators, 0});
  const slot taken = *first;
  list.erase(first);
  return taken;
}

std::optional<vm_id> vm_pool::take_free(domain_index d, std::uint32_t accelerators) {
  const auto taken = take(free_, d, accelerators);
  if (!taken) {
    return std::nullopt;
  }
  return vms_[taken->order]->id;
}

bool vm_pool::is_free(const vm_id& vm) const {
  const entry* e = find(vm);
  return e != nullptr && e->record != nullptr &&
         std::ranges::binary_search(free_[e->domain], slot{e->record->accelerators, e->order});
}

bool vm_pool::take_free(const vm_id& vm) {
  if (!is_free(vm)) {
    return false;
  }
  const entry& e = *find(vm);
  slots& list = free_[e.domain];
  list.erase(std::ranges::lower_bound(list, slot{e.record->accelerators, e.order}));
  return true;
}

void vm_pool::reserve_vms(domain_index d, std::uint32_t accelerators, std::size_t free,
                          std::size_t pending) {
  for (; free > 0; --free) {
    take(free_, d, accelerators);
  }
  for (; pending > 0; --pending) {
    take(pending_, d, accelerators);
  }
}

}  // namespace arbutus
