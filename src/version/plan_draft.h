// A plan while it is made: the row's replicas with what is known of them, the VM pool, and the
// few moves that every pass is made of. Each move keeps the rule that a VM has one owner.
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
  std::uint32_t missing = 0;         // members that are lost, or, once one is lost, leaving too
  bool has_leaving = false;          // a member leaves; only meaningful when none is missing
  bool serving = false;              // seen ready
  bool waiting = false;              // its VMs are on their way: acknowledgement or a drain
  bool removed = false;

  [[nodiscard]] bool active() const { return !removed && plan.phase == replica_phase::active; }
  [[nodiscard]] bool draining() const { return !removed && plan.phase == replica_phase::draining; }
  [[nodiscard]] bool broken() const { return missing > 0; }
};

class plan_draft {
 public:
  explicit plan_draft(const planner_input& in);

  [[nodiscard]] const planner_input& in() const { return in_; }
  [[nodiscard]] const rules& desired() const { return in_.config->desired; }
  // Models of the rules, repaired first first.
  [[nodiscard]] const std::vector<const model_rule*>& models() const { return models_; }
  [[nodiscard]] std::uint32_t base_replicas(const model_rule& rule) const;
  [[nodiscard]] double busy_replicas(const model_id& model) const;

  [[nodiscard]] bool outdated(const draft_replica& r) const;
  [[nodiscard]] std::uint32_t count_active(const model_id& model) const;
  [[nodiscard]] std::uint32_t count_serving(const model_id& model) const;
  // A replica of this model drains, is broken, or was laid down and is not ready yet.
  [[nodiscard]] bool in_change(const model_id& model) const;
  // The domain that holds most of the usable members.
  [[nodiscard]] domain_index home(const draft_replica& r) const;
  // Usable members and standbys in a domain with at least so many accelerators.
  [[nodiscard]] std::size_t usable_in(const draft_replica& r, domain_index d,
                                      std::uint32_t accelerators) const;

  // Counts the free and pending VMs anew. Passes set VMs aside for replicas that wait, which later
  // passes must respect, but a new round of passes decides again.
  void begin_round();
  [[nodiscard]] std::size_t moves() const { return reasons_.size(); }

  // ---- moves ----

  // Takes `vm` from a replica. It is nobody's until the coming row is acknowledged.
  void withdraw(const vm_id& vm, const replica_id& from);
  // Gives a replica of the row new members and the rule's model version. Members and standbys
  // that it no longer has are withdrawn.
  void recompose(draft_replica& r, const std::vector<vm_id>& members, const std::string& reason);
  void take_back_standby(draft_replica& r, const vm_id& vm, const std::string& reason);
  // Removes a replica that cannot run anything: nothing is cut off.
  void dissolve(draft_replica& r, const std::string& reason);
  // First half of a planned stop.
  void drain(draft_replica& r, const std::string& reason);
  // Second half: its VMs are free at once, since every node has acknowledged the drain.
  void release(draft_replica& r);
  draft_replica& add(const model_rule& rule, const std::vector<vm_id>& members);
  void say(const replica_id& replica, const std::string& what);

  [[nodiscard]] plan finish() const;

  vm_pool pool;
  std::vector<draft_replica> replicas;
  // Released just now; their successors get the same VMs where they can.
  std::vector<replica_plan> released;

 private:
  void read_replicas();
  void drop_acknowledged();
  void refresh(draft_replica& r) const;
  [[nodiscard]] bool crosses(const std::vector<vm_id>& members) const;

  const planner_input& in_;
  std::uint64_t next_version_;
  std::vector<const model_rule*> models_;
  std::unordered_set<replica_id> serving_;
  std::vector<withdrawal> withdrawals_;  // of the next row
  bool withdrew_ = false;
  std::uint32_t added_ = 0;
  std::vector<std::string> reasons_;
};

}  // namespace arbutus
