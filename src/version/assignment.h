// The assignment: which VM belongs to which replica, one row per data centre in the table,
// changed only by conditional write. Its version is the fencing token of every order.
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

// Position of a VM in members ++ standbys, as a bit.
using lost_mask = std::uint32_t;
inline constexpr std::size_t max_positions = 32;

// Fencing token of a replica's composition, compared field by field. `row` is the assignment
// version in which this composition was laid down or from which it was activated; `step` and
// `lost` count local repairs made since without the table.
struct generation {
  std::uint64_t row{};
  std::uint32_t step{};  // invariant: popcount(lost)
  lost_mask lost{};
  auto operator<=>(const generation&) const = default;
};

[[nodiscard]] std::string to_string(const generation& g);
[[nodiscard]] std::optional<generation> parse_generation(std::string_view text);

enum class replica_phase {
  active,
  draining,  // finishes what it runs, gets nothing new; its VMs are still its own
};

struct replica_plan {
  replica_id id;
  model_id model;
  std::string model_version;
  replica_phase phase = replica_phase::active;
  bool crosses_fabric_domains = false;  // slow; routed to last
  std::vector<vm_id> members;           // by rank; the first answers requests
  std::vector<vm_id> standbys;          // reserved for this replica alone, in order of use
  generation gen;
  auto operator<=>(const replica_plan&) const = default;
};

// A reservation that was taken back. The VM belongs to nobody until every live node of the data
// centre has acknowledged `since`: a node that cannot see the table could still activate it.
struct withdrawal {
  vm_id vm;
  replica_id from;
  std::uint64_t since{};  // assignment version that withdrew it
  auto operator<=>(const withdrawal&) const = default;
};

struct assignment {
  data_centre_id data_centre;
  std::uint64_t version{};  // own counter: only rises, also when the table's copy is restored
  std::uint64_t config_version{};
  proposal_id proposal;  // of the write that made it
  // Invariant: a VM stands at most once in all members, standbys and withdrawals together.
  std::vector<replica_plan> replicas;
  std::vector<withdrawal> withdrawals;
  auto operator<=>(const assignment&) const = default;

  [[nodiscard]] const replica_plan* find(const replica_id& id) const;
};

// Breaches of the invariant above, for tests and before every write.
[[nodiscard]] findings check_invariants(const assignment& a);

// A repair made without the table: the composition of `replica` when the VMs at `lost` are gone.
// A pure function of the row and the mask, so that equal generations mean equal compositions:
// each lost member is replaced in place by the first standby that is neither lost nor used.
// Empty when the standbys do not suffice.
struct composition {
  replica_id replica;
  generation gen;
  std::vector<vm_id> members;
  auto operator<=>(const composition&) const = default;
};
[[nodiscard]] std::optional<composition> activate(const replica_plan& replica,
                                                  std::uint64_t row_version, lost_mask lost);
// The composition as the row has it.
[[nodiscard]] composition planned(const replica_plan& replica);

// Row codec (MessagePack). decode(encode(a)) == a; damaged bytes are refused with a reason.
[[nodiscard]] std::string encode(const assignment& a);
[[nodiscard]] outcome<assignment> decode_assignment(std::string_view bytes);

}  // namespace arbutus
