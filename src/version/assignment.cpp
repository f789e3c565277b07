// The assignment: lookup, invariants, and activation of standbys without agreement between nodes.
#include "version/assignment.h"

#include <algorithm>
#include <bit>
#include <charconv>
#include <unordered_map>

namespace arbutus {

namespace {

// Reads one decimal number, which ends at the end of the text if `last`, and at a '.' otherwise.
// Signs, spaces and leading zeros are refused, so that each token has exactly one spelling.
template <class Number>
std::optional<Number> parse_number(std::string_view& text, bool last) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const auto length = static_cast<std::size_t>(end - text.data());
  const bool leading_zero = length > 1 && text.front() == '0';
  if (error != std::errc{} || leading_zero || (last != (length == text.size()))) {
    return std::nullopt;
  }
  if (!last && text[length] != '.') {
    return std::nullopt;
  }
  text.remove_prefix(last ? length : length + 1);
  return value;
}

lost_vm_mask bit_at(std::size_t position) {
  return lost_vm_mask{1} << position;
}

// The mask of all VMs of a replica that has `count` members and standbys.
lost_vm_mask mask_of(std::size_t count) {
  return count >= max_positions ? ~lost_vm_mask{0} : bit_at(count) - 1;
}

finding violation(std::string message) {
  return finding{severity::error, {"assignment", 0, 0}, std::move(message), {}};
}

// Remembers where in the row each VM occurs first, so that a message about a VM that is used twice
// names both places.
class vm_uses {
 public:
  void add(const vm_id& vm, const std::string& where, findings& found) {
    if (vm.empty()) {
      found.push_back(violation("empty VM name in " + where));
      return;
    }
    const auto [entry, fresh] = seen_.emplace(vm, where);
    if (!fresh) {
      found.push_back(
          violation("VM " + vm.str() + " stands in " + entry->second + " and " + where));
    }
  }

 private:
  std::unordered_map<vm_id, std::string> seen_;
};

void check_replica(const replica_plan& replica, std::uint64_t version, findings& found) {
  const std::string name = "replica " + replica.id.str();
  if (replica.id.empty()) {
    found.push_back(violation("a replica has no name"));
  }
  if (replica.members.empty()) {
    found.push_back(violation(name + " has no members"));
  }
  if (replica.members.size() + replica.standbys.size() > max_positions) {
    found.push_back(violation(name + " has more VMs than a lost mask has bits"));
  }
  if (replica.fencing_generation.row > version) {
    found.push_back(violation(name + " has a generation of a later row"));
  }
  if (replica.fencing_generation.step !=
      static_cast<std::uint32_t>(std::popcount(replica.fencing_generation.lost))) {
    found.push_back(violation(name + " has a generation whose step is not its number of losses"));
  }
}

}  // namespace

std::string to_string(const generation& g) {
  return std::to_string(g.row) + '.' + std::to_string(g.step) + '.' + std::to_string(g.lost);
}

std::optional<generation> parse_generation(std::string_view text) {
  const auto row = parse_number<std::uint64_t>(text, false);
  if (!row) {
    return std::nullopt;
  }
  const auto step = parse_number<std::uint32_t>(text, false);
  if (!step) {
    return std::nullopt;
  }
  const auto lost = parse_number<lost_vm_mask>(text, true);
  if (!lost) {
    return std::nullopt;
  }
  return generation{*row, *step, *lost};
}

const replica_plan* assignment::find(const replica_id& id) const {
  const auto found = std::ranges::find(replicas, id, &replica_plan::id);
  return found == replicas.end() ? nullptr : &*found;
}

findings check_invariants(const assignment& a) {
  findings found;
  vm_uses vms;
  std::unordered_map<replica_id, bool> names;
  for (const replica_plan& replica : a.replicas) {
    check_replica(replica, a.version, found);
    if (!names.emplace(replica.id, true).second) {
      found.push_back(violation("replica " + replica.id.str() + " stands twice"));
    }
    for (const vm_id& vm : replica.members) {
      vms.add(vm, "the members of " + replica.id.str(), found);
    }
    for (const vm_id& vm : replica.standbys) {
      vms.add(vm, "the standbys of " + replica.id.str(), found);
    }
  }
  for (const withdrawal& taken : a.withdrawals) {
    vms.add(taken.vm, "the withdrawals", found);
    if (taken.since > a.version) {
      found.push_back(violation("VM " + taken.vm.str() + " is withdrawn by a later row"));
    }
  }
  return found;
}

composition planned_composition(const replica_plan& replica) {
  return {replica.id, replica.fencing_generation, replica.members};
}

// Nodes that know of the same losses compute the same composition without communicating. Nodes that
// know of different losses use different masks, so their orders never share a fencing token.
std::optional<composition> activate(const replica_plan& replica, std::uint64_t row_version,
                                    lost_vm_mask lost) {
  const std::size_t positions = replica.members.size() + replica.standbys.size();
  const bool invalid = positions > max_positions || (lost & ~mask_of(positions)) != 0;
  if (invalid || row_version < replica.fencing_generation.row) {
    return std::nullopt;
  }
  if (lost == 0) {
    return planned_composition(replica);
  }
  composition result{replica.id, {row_version, 0, lost}, replica.members};
  result.fencing_generation.step = static_cast<std::uint32_t>(std::popcount(lost));
  std::size_t next = replica.members.size();
  for (std::size_t i = 0; i < replica.members.size(); ++i) {
    if ((lost & bit_at(i)) == 0) {
      continue;
    }
    while (next < positions && (lost & bit_at(next)) != 0) {
      ++next;
    }
    if (next == positions) {
      return std::nullopt;
    }
    result.members[i] = replica.standbys[next - replica.members.size()];
    ++next;
  }
  return result;
}

}  // namespace arbutus
