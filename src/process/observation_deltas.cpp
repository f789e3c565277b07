// Encoding of observations for peers as deltas, and their decoding.
//
// A short form refers to the last full form. It is used only after the peer has echoed a message
// that was sent with this content or later, and reordered messages are not accepted
// (membership::receive), so both sides refer to the same full form. After a restart of either side
// there is no echo yet, and full forms are sent.
#include "process/observations.h"

namespace arbutus {

void observation_table::forget_peer(const node_id& peer) {
  sent_states_.erase(peer);
  received_slots_.erase(peer);
}

std::optional<probe_failure> observation_table::failure_of(const vm_id& vm, time_point now) const {
  const auto found = targets_.find(vm);
  if (found == targets_.end()) {
    return std::nullopt;
  }
  const target& t = found->second;
  const auto own = t.failures.find(self_);
  if (own == t.failures.end() || !own_link_fails(t) || !is_unresolved(t, own->second)) {
    return std::nullopt;
  }
  const std::uint64_t incarnation = t.newest ? t.newest->report.incarnation : 0;
  return probe_failure{vm, now - own->second.newest, incarnation, own->second.count};
}

std::optional<observation_delta> observation_table::delta(const own_target& own, sent_state& peer,
                                                          std::uint64_t sequence,
                                                          std::uint64_t echoed,
                                                          time_point now) const {
  if (!own.report) {
    return std::nullopt;
  }
  observation_delta d;
  d.slot = own.slot;
  d.age = now - own.at;
  if (peer.load != own.load) {
    peer.load = own.load;
    peer.load_sequence = sequence;
  }
  if (peer.content != own.content) {
    peer.content = own.content;
    peer.content_sequence = sequence;
  }
  const bool repeated = peer.at == own.at;
  peer.at = own.at;
  if (echoed < peer.content_sequence) {
    d.report = own.report;
    apply(own.current_load, *d.report);
    return d;
  }
  if (repeated) {
    return std::nullopt;
  }
  if (echoed < peer.load_sequence) {
    d.load = own.current_load;
  }
  return d;
}

void observation_table::append_deltas(heartbeat& message, const node_id& peer, std::uint64_t echoed,
                                      time_point now) {
  std::map<vm_id, sent_state>& known = sent_states_[peer];
  std::erase_if(known,
                [this](const auto& entry) { return !own_target_states_.contains(entry.first); });
  for (const auto& [vm, own] : own_target_states_) {
    if (auto d = delta(own, known[vm], message.stamp.sequence, echoed, now)) {
      message.observations.push_back(std::move(*d));
    }
  }
  for (const auto& [vm, t] : targets_) {
    if (t.failures.contains(self_)) {
      if (auto failure = failure_of(vm, now)) {
        message.failures.push_back(std::move(*failure));
      }
    }
  }
}

std::optional<engine_report> observation_table::restore(received_slots& slots,
                                                        const observation_delta& d) const {
  if (d.report) {
    slots[d.slot] = *d.report;
    return d.report;
  }
  const auto found = slots.find(d.slot);
  if (found == slots.end()) {
    return std::nullopt;
  }
  if (d.load) {
    apply(*d.load, found->second);
  }
  return found->second;
}

}  // namespace arbutus
