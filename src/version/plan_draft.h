// A plan under construction: the replicas of the row with their state, the VM pool, and the actions
// that the passes of the planner use. Each action keeps the invariant that a VM has one owner.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

#include "version/planner.h"
#include "version/vm_pool.h"

namespace arbutus {

struct draft_replica {
  replica_plan plan;
  const model_rule* rule = nullptr;  // null: the model is not in the rules
  std::uint32_t missing = 0;         // lost members, and leaving ones too if any is lost
  bool has_leaving = false;          // at least one member VM is leaving, and none is lost
  bool serving = false;              // all its members report that they are ready
  bool waiting = false;              // VMs for it become free after an acknowledgement or a drain
  bool removed = false;              // is not in the next row

  [[nodiscard]] bool active() const { return !removed && plan.phase == replica_phase::active; }
  [[nodiscard]] bool draining() const { return !removed && plan.phase == replica_phase::draining; }
  [[nodiscard]] bool broken() const { return missing > 0; }
};

class plan_draft {
 public:
  explicit plan_draft(const planner_input& in);

  [[nodiscard]] const planner_input& input() const { return input_; }
  [[nodiscard]] const rules& desired() const { return input_.config->desired; }
  // Models of the rules in order of repair.
  [[nodiscard]] const std::vector<const model_rule*>& models() const { return models_; }
  // Replicas that the placements of the rule give this data centre.
  [[nodiscard]] std::uint32_t configured_replicas(const model_rule& rule) const;
  [[nodiscard]] double load_in_replicas(const model_id& model) const;

  [[nodiscard]] bool outdated(const draft_replica& r) const;
  [[nodiscard]] std::uint32_t count_active(const model_id& model) const;
  [[nodiscard]] std::uint32_t count_serving(const model_id& model) const;
  // Whether a replica of this model is draining, broken, or newly created and not ready yet.
  [[nodiscard]] bool is_changing(const model_id& model) const;
  // The fabric domain that holds the most usable members of the replica.
  [[nodiscard]] domain_index main_domain(const draft_replica& r) const;
  // Number of usable members and standbys in domain `d` with at least `accelerators`.
  [[nodiscard]] std::size_t usable_vms_in(const draft_replica& r, domain_index d,
                                          std::uint32_t accelerators) const;

  // Starts a round of planning passes: recounts the free and pending VMs and drops the reservations
  // of VMs for waiting replicas, which bind only the later passes of the same round.
  void begin_round();
  [[nodiscard]] std::size_t action_count() const { return reasons_.size(); }

  // ---- actions ----

  // Takes `vm` from a replica. It stays unused until all nodes have acknowledged the next row.
  void withdraw(const vm_id& vm, const replica_id& from);
  // Gives a replica of the row new members and the model version of its rule. Withdraws the members
  // and standbys that it no longer has.
  void replace_members(draft_replica& r, const std::vector<vm_id>& members,
                       const std::string& reason);
  void withdraw_standby(draft_replica& r, const vm_id& vm, const std::string& reason);
  // Removes a replica that cannot run requests, so that no request is interrupted.
  void dissolve(draft_replica& r, const std::string& reason);
  // First step of a planned stop of a replica: it gets no new requests.
  void drain(draft_replica& r, const std::string& reason);
  // Second step of a planned stop of a replica: removes it. Its VMs are free immediately, since
  // every node has acknowledged the drain.
  void release(draft_replica& r);
  draft_replica& add(const model_rule& rule, const std::vector<vm_id>& members);
  void add_reason(const replica_id& replica, const std::string& what);

  [[nodiscard]] plan finish() const;

  vm_pool pool;
  std::vector<draft_replica> replicas;
  // Replicas that this plan released. Their successors get the same VMs if possible.
  std::vector<replica_plan> released;

 private:
  void read_replicas();
  void drop_acknowledged();
  void refresh(draft_replica& r) const;
  [[nodiscard]] bool crosses_domains(const std::vector<vm_id>& members) const;

  const planner_input& input_;
  std::uint64_t next_version_;
  std::vector<const model_rule*> models_;
  std::unordered_set<replica_id> reported_serving_;
  std::vector<withdrawal> withdrawals_;  // the next row's list of withdrawn VMs
  bool withdrawals_changed_ = false;     // the next row has withdrawals that the current one lacks
  std::uint32_t added_replica_count_ = 0;
  std::vector<std::string> reasons_;
};

}  // namespace arbutus
