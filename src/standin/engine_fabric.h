// The stand-in engines that can form replicas with each other. A replica is as fast as its slowest
// member, makes no progress while one is paused, and loses all its requests when one dies.
#pragma once

#include <map>

#include "base/id.h"
#include "base/units.h"
#include "standin/weight_standin.h"
#include "version/assignment.h"

namespace arbutus::standin {

class engine_standin;

// Not thread-safe: users on several threads hold one lock for the fabric and all its engines.
class engine_fabric {
 public:
  explicit engine_fabric(const weight_standin& weights = weight_standin{}) : weights_(weights) {}
  engine_fabric(const engine_fabric&) = delete;
  engine_fabric& operator=(const engine_fabric&) = delete;

  // Add and remove an engine; called by the constructor and destructor of engine_standin. The
  // fabric outlives its engines.
  void register_engine(engine_standin& engine);
  void unregister_engine(const vm_id& vm);

  [[nodiscard]] engine_standin* find(const vm_id& vm) const;
  [[nodiscard]] weight_standin& weights() noexcept { return weights_; }

  // Whether the replica can run requests: every member is up, is in this composition and has loaded
  // its weights.
  [[nodiscard]] bool is_complete(time_point now, const composition& group) const;

  // Speed of the replica (1: normal), which is that of its slowest member; 0 while a member is
  // paused.
  [[nodiscard]] double speed(const composition& group) const;

  // Advances the requests of the replicas that this VM is a member of to `now`; to be called before
  // the VM's speed changes.
  void advance_replicas_of(time_point now, const vm_id& vm);

  // Called when a VM has left its replica: ends all requests of that replica.
  void on_member_left(time_point now, const vm_id& vm);

 private:
  template <class Visit>
  void for_each_engine_with_member(const vm_id& vm, Visit&& visit);

  std::map<vm_id, engine_standin*> engines_;
  weight_standin weights_;
};

}  // namespace arbutus::standin
