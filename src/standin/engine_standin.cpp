// Orders, replica membership and faults of one stand-in engine.
#include "standin/engine_standin.h"

#include <algorithm>

namespace arbutus::standin {

engine_standin::engine_standin(engine_fabric& fabric, const vm_id& vm,
                               const engine_settings& settings)
    : fabric_(fabric),
      vm_(vm),
      settings_(settings),
      incarnation_(settings.first_incarnation),
      batch_(settings.default_profile.batch),
      cache_(settings.cache, settings.seed) {
  fabric_.register_engine(*this);
}

engine_standin::~engine_standin() {
  fabric_.unregister_engine(vm_);
}

engine_state engine_standin::state(time_point now) const {
  if (composition_.replica.empty()) {
    return engine_state::idle;
  }
  if (now < composition_ready_at_) {
    return engine_state::loading;
  }
  return draining_ ? engine_state::draining : engine_state::ready;
}

bool engine_standin::serves_in(time_point now, const composition& group) const {
  return up_ && composition_ == group && now >= composition_ready_at_;
}

const model_profile& engine_standin::profile(const model_id& model) const {
  const auto found = settings_.models.find(model);
  return found == settings_.models.end() ? settings_.default_profile : found->second;
}

// Name of the part (shard) of the model's weights that an order makes this engine load. It depends
// on the member's rank, so a VM whose rank changes has to load again.
std::string engine_standin::shard_name(const order& o) const {
  const std::vector<vm_id>& members = o.target.members;
  const auto rank = std::find(members.begin(), members.end(), vm_) - members.begin();
  return o.model.str() + '/' + o.model_version + '/' + std::to_string(rank) + '/' +
         std::to_string(members.size());
}

// Reason why the engine refuses the order; empty: it accepts the order.
std::string engine_standin::refusal(const order& o, time_point now, time_point received_at) const {
  if (o.vm != vm_) {
    return "for another VM";
  }
  if (now - received_at > o.validity_period) {
    return "too late";
  }
  if (o.expected_incarnation != 0 && o.expected_incarnation != incarnation_) {
    return "for another incarnation";
  }
  if (settings_.checks_fencing_tokens && o.target.fencing_generation < highest_fencing_token_) {
    return "old fencing token";
  }
  const bool holds = composition_.replica == o.target.replica;
  if (o.kind == order_kind::drain && !holds) {
    return "not in this replica";
  }
  if (o.kind != order_kind::form) {
    return {};
  }
  const std::vector<vm_id>& members = o.target.members;
  if (o.target.replica.empty() || std::find(members.begin(), members.end(), vm_) == members.end()) {
    return "not a member of this composition";
  }
  const bool same_token = !composition_.replica.empty() &&
                          o.target.fencing_generation == composition_.fencing_generation;
  if (settings_.checks_fencing_tokens && same_token && o.target != composition_) {
    return "fencing token used for another composition";
  }
  return {};
}

order_reply engine_standin::apply(time_point now, const order& o, time_point received_at) {
  advance(now);
  const std::string reason = refusal(o, now, received_at);
  if (!reason.empty()) {
    ++counters_.orders_refused;
    return {false, report(now), reason};
  }
  ++counters_.orders_done;
  highest_fencing_token_ = std::max(highest_fencing_token_, o.target.fencing_generation);
  switch (o.kind) {
    case order_kind::form:
      form(now, o);
      break;
    case order_kind::drain:
      draining_ = true;
      break;
    case order_kind::release:
      if (composition_.replica == o.target.replica) {
        leave_group_by_order(now);
        loaded_shard_.clear();
      }
      break;
  }
  return {true, report(now), {}};
}

void engine_standin::form(time_point now, const order& o) {
  const bool repeated =
      composition_ == o.target && model_ == o.model && model_version_ == o.model_version;
  if (repeated) {
    return;
  }
  leave_group_by_order(now);
  const model_profile& desired = profile(o.model);
  const std::string shard = shard_name(o);
  if (loaded_shard_ != shard) {
    loaded_shard_ = shard;
    shard_loaded_at_ = now + fabric_.weights().load_time(now, desired.weight_bytes);
  }
  composition_ready_at_ = std::max(now, shard_loaded_at_) + settings_.group_join_time;
  composition_ = o.target;
  model_ = o.model;
  model_version_ = o.model_version;
  batch_.reset(desired.batch);
}

// Leaves the replica because of an order. Truncates the running requests: only a drained engine can
// leave its replica without losing requests.
void engine_standin::leave_group_by_order(time_point now) {
  const std::uint64_t before = counters_.cut;
  leave_group(now);
  counters_.cut_by_order += counters_.cut - before;
}

void engine_standin::leave_group(time_point now) {
  interrupt_requests(now);
  fabric_.on_member_left(now, vm_);
  composition_ = {};
  model_ = {};
  model_version_.clear();
  draining_ = false;
}

engine_report engine_standin::report(time_point now) {
  advance(now);
  record_load(now);
  const load_sample& load = load_samples_.front();
  engine_report r;
  r.vm = vm_;
  r.incarnation = incarnation_;
  r.replica = composition_.replica;
  r.fencing_generation = composition_.fencing_generation;
  r.model_version = model_version_;
  r.state = state(now);
  r.leaving = leaving_;
  r.running = load.running;
  r.queued = load.queued;
  r.slots = batch_.settings().slots;
  r.tokens_per_second = batch_.tokens_per_second(fabric_.speed(composition_));
  r.kv_used = load.kv_used;
  return r;
}

void engine_standin::record_load(time_point now) {
  const load_sample s{now, batch_.running(), batch_.queued(), cache_.used_fraction()};
  const bool unchanged = !load_samples_.empty() && load_samples_.back().running == s.running &&
                         load_samples_.back().queued == s.queued &&
                         load_samples_.back().kv_used == s.kv_used;
  if (!unchanged) {
    load_samples_.push_back(s);
  }
  const time_point shown = now - settings_.report_lag;
  while (load_samples_.size() > 1 && load_samples_[1].at <= shown) {
    load_samples_.pop_front();
  }
}

void engine_standin::kill(time_point now) {
  if (!up_) {
    return;
  }
  fabric_.advance_replicas_of(now, vm_);
  leave_group(now);
  up_ = false;
  paused_at_.reset();
  loaded_shard_.clear();
  highest_fencing_token_ = {};
  cache_.clear();
  load_samples_.clear();
}

void engine_standin::restart(time_point now) {
  kill(now);
  up_ = true;
  composition_ready_at_ = now;
  ++incarnation_;
}

void engine_standin::pause(time_point now) {
  if (!up_ || paused()) {
    return;
  }
  fabric_.advance_replicas_of(now, vm_);
  paused_at_ = now;
}

void engine_standin::resume(time_point now) {
  if (!paused()) {
    return;
  }
  fabric_.advance_replicas_of(now, vm_);
  for (time_point* const end : {&composition_ready_at_, &shard_loaded_at_}) {
    if (*end > *paused_at_) {
      *end += now - *paused_at_;
    }
  }
  paused_at_.reset();
}

void engine_standin::set_straggler(time_point now, double speed) {
  fabric_.advance_replicas_of(now, vm_);
  speed_ = speed;
}

std::uint32_t engine_standin::runs(const request_id& id) const {
  const auto found = runs_.find(id);
  return found == runs_.end() ? 0 : found->second;
}

}  // namespace arbutus::standin
