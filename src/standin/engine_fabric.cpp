// Stand-in engines that form replicas with each other: lookup, speed and loss of members.
#include "standin/engine_fabric.h"

#include <algorithm>

#include "standin/engine_standin.h"

namespace arbutus::standin {

void engine_fabric::register_engine(engine_standin& engine) {
  engines_[engine.vm()] = &engine;
}

void engine_fabric::unregister_engine(const vm_id& vm) {
  engines_.erase(vm);
}

engine_standin* engine_fabric::find(const vm_id& vm) const {
  const auto found = engines_.find(vm);
  return found == engines_.end() ? nullptr : found->second;
}

bool engine_fabric::is_complete(time_point now, const composition& group) const {
  return std::all_of(group.members.begin(), group.members.end(), [&](const vm_id& vm) {
    const engine_standin* const member = find(vm);
    return member != nullptr && member->serves_in(now, group);
  });
}

double engine_fabric::speed(const composition& group) const {
  double min_speed = group.members.empty() ? 0.0 : 1e9;
  for (const vm_id& vm : group.members) {
    const engine_standin* const member = find(vm);
    min_speed = std::min(min_speed, member == nullptr ? 0.0 : member->speed());
  }
  return min_speed;
}

template <class Visit>
void engine_fabric::for_each_engine_with_member(const vm_id& vm, Visit&& visit) {
  for (const auto& [id, engine] : engines_) {
    const std::vector<vm_id>& members = engine->current_composition().members;
    if (std::find(members.begin(), members.end(), vm) != members.end()) {
      visit(*engine);
    }
  }
}

void engine_fabric::advance_replicas_of(time_point now, const vm_id& vm) {
  for_each_engine_with_member(vm, [now](engine_standin& engine) { engine.advance(now); });
}

void engine_fabric::on_member_left(time_point now, const vm_id& vm) {
  for_each_engine_with_member(vm,
                              [now](engine_standin& engine) { engine.interrupt_requests(now); });
}

}  // namespace arbutus::standin
