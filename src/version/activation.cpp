// Merges standby activations into the assignment row. Each activation is checked against the row,
// since a node may have made it from an older row.
#include "version/activation.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace arbutus {

namespace {

bool contains(const std::vector<vm_id>& list, const vm_id& vm) {
  return std::ranges::find(list, vm) != list.end();
}

bool withdrawn_from(const std::vector<withdrawal>& withdrawals, const vm_id& vm,
                    const replica_id& replica) {
  return std::ranges::any_of(withdrawals,
                             [&](const withdrawal& w) { return w.vm == vm && w.from == replica; });
}

// Whether the composition is an activation of standbys of replica `r` as stored in this row or in
// an older one. An activation from an older row may use a standby that was withdrawn since: no
// other replica can have received that VM while the withdrawal is in the row. Any other VM is not
// allowed.
bool is_derived_from_row(const composition& c, const replica_plan& r, const activation_merge& row,
                         std::uint64_t row_version) {
  if (c.members.size() != r.members.size()) {
    return false;
  }
  if (c.fencing_generation.row == row_version &&
      activate(r, row_version, c.fencing_generation.lost) != c) {
    return false;
  }
  const std::set<vm_id> distinct(c.members.begin(), c.members.end());
  return distinct.size() == c.members.size() &&
         std::ranges::all_of(c.members, [&](const vm_id& vm) {
           return contains(r.members, vm) || contains(r.standbys, vm) ||
                  withdrawn_from(row.withdrawals, vm, r.id);
         });
}

void merge_activation(replica_plan& r, const composition& c, std::uint64_t next_version,
                      activation_merge& row) {
  for (const vm_id& vm : r.members) {
    if (!contains(c.members, vm)) {
      row.withdrawals.push_back({vm, r.id, next_version});
    }
  }
  std::erase_if(row.withdrawals, [&](const withdrawal& w) { return contains(c.members, w.vm); });
  std::erase_if(r.standbys, [&](const vm_id& vm) { return contains(c.members, vm); });
  r.members = c.members;
  r.fencing_generation = c.fencing_generation;
  row.changed = true;
}

}  // namespace

activation_merge merge_activations(const assignment& current,
                                   const std::vector<composition>& in_force) {
  activation_merge row{current.replicas, current.withdrawals, {}, false};
  std::unordered_map<replica_id, const composition*> newest;
  for (const composition& c : in_force) {
    const composition*& known = newest[c.replica];
    if (known == nullptr || known->fencing_generation < c.fencing_generation) {
      known = &c;
    }
  }
  for (replica_plan& r : row.replicas) {
    const auto found = newest.find(r.id);
    if (found == newest.end() || found->second->fencing_generation <= r.fencing_generation) {
      continue;
    }
    if (is_derived_from_row(*found->second, r, row, current.version)) {
      merge_activation(r, *found->second, current.version + 1, row);
    } else {
      row.superseded.push_back(r.id);
    }
  }
  return row;
}

}  // namespace arbutus
