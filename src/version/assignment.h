// The assignment of VMs to replicas: one row per data centre in the platform's table, changed only
// by conditional writes. The row's version is part of the fencing token of every order that a node
// sends to a target.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"
#include "base/id.h"
#include "base/outcome.h"

namespace arbutus {

// A set of VMs of a replica. Bit i is the VM at position i of the members followed by the standbys.
using lost_vm_mask = std::uint32_t;
inline constexpr std::size_t max_positions = 32;

// Fencing token of a replica's composition, compared field by field. `row` is the assignment
// version that contains this composition or from which it was activated; `step` and `lost` describe
// the repairs that nodes made since then while the table was unavailable.
struct generation {
  std::uint64_t row{};
  std::uint32_t step{};  // number of members and standbys lost since: popcount(lost)
  lost_vm_mask lost{};
  auto operator<=>(const generation&) const = default;
};

[[nodiscard]] std::string to_string(const generation& g);
[[nodiscard]] std::optional<generation> parse_generation(std::string_view text);

enum class replica_phase {
  active,
  draining,  // finishes its requests and gets no new ones; its VMs are still reserved for it
};

struct replica_plan {
  replica_id id;
  model_id model;
  std::string model_version;
  replica_phase phase = replica_phase::active;
  // The members are in several fabric domains: the replica is slow and routing uses it last.
  bool crosses_fabric_domains = false;
  std::vector<vm_id> members;   // by rank; the first is the head
  std::vector<vm_id> standbys;  // reserved for this replica alone, in order of use
  generation fencing_generation;
  auto operator<=>(const replica_plan&) const = default;
};

// A cancelled reservation. The VM belongs to no replica until every live node of the data centre
// has acknowledged version `since`, because a node that cannot read the table could still activate
// it.
struct withdrawal {
  vm_id vm;
  replica_id from;
  std::uint64_t since{};  // assignment version that withdrew it
  auto operator<=>(const withdrawal&) const = default;
};

struct assignment {
  data_centre_id data_centre;
  std::uint64_t version{};  // own counter: only increases, also when the table is restored
  std::uint64_t config_version{};
  proposal_id proposal;  // identifies the write that stored this version
  // Invariant: a VM occurs at most once in all members, standbys and withdrawals together.
  std::vector<replica_plan> replicas;
  std::vector<withdrawal> withdrawals;
  auto operator<=>(const assignment&) const = default;

  [[nodiscard]] const replica_plan* find(const replica_id& id) const;
};

// Violations of the invariants of a row, for tests and before every write.
[[nodiscard]] findings check_invariants(const assignment& a);

// The members of a replica under one generation. activate() computes a repair that needs no write
// to the table: the composition of `replica` without the VMs in `lost`. It is a pure function of
// the row and the mask, so that equal generations mean equal compositions: each lost member is
// replaced in place by the first standby that is neither lost nor used. Empty if there are not
// enough standbys.
struct composition {
  replica_id replica;
  generation fencing_generation;
  std::vector<vm_id> members;
  auto operator<=>(const composition&) const = default;
};
[[nodiscard]] std::optional<composition> activate(const replica_plan& replica,
                                                  std::uint64_t row_version, lost_vm_mask lost);
// The composition of a replica as stored in the assignment row, without local repairs.
[[nodiscard]] composition planned_composition(const replica_plan& replica);

// Row codec (MessagePack). decode(encode(a)) == a; damaged bytes are refused with a reason.
[[nodiscard]] std::string encode(const assignment& a);
[[nodiscard]] outcome<assignment> decode_assignment(std::string_view bytes);

}  // namespace arbutus
