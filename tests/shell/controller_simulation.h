// Simulates stand-in engines and several replica controllers in virtual time. Checks after every
// step that no engine serves in two replicas and that every serving replica was complete when it
// opened.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "base/rng.h"
#include "capacity/replica_controller.h"
#include "process/target_incarnation.h"
#include "standin/hosted_engine.h"

namespace arbutus::testing_support {

inline const service_id llm{"llm"};
inline const model_id large{"large"};
inline const model_id small{"small"};

inline service_spec two_models() {
  service_spec service;
  service.id = llm;
  engine_parameters engine;
  engine.slots = 8;
  engine.concurrent_loads = 6;
  engine.report_lag = 200ms;
  engine.models = {{large, 4, 0.57, 1.0, 4s, 1s}, {small, 3, 0.43, 0.6, 4s, 1s}};
  service.engine = engine;
  return service;
}

// The same with the times of an engine, so that demand can be turned into work.
inline service_spec two_models_with_times() {
  service_spec service = two_models();
  engine_parameters& engine = *service.engine;
  engine.slots = 34;
  engine.step = 6ms;
  engine.step_per_sequence_ms = 0.24;
  engine.decode_steps_per_pass = 5;
  engine.prefill_tokens_per_s = 46'000;
  engine.mean_prompt_tokens = 800;
  engine.mean_answer_tokens = 110;
  return service;
}

class controller_simulation {
 public:
  struct faults {
    double order_lost = 0;  // probability that an order is carried out and its answer is lost
    // Probability that an order gets no answer and is carried out seconds later.
    double order_late = 0;
    duration max_order_delay = 6s;
  };

  explicit controller_simulation(std::uint64_t seed, std::size_t controller_count = 1,
                                 service_spec service = two_models())
      : service_(std::move(service)), random_(seed) {
    for (std::size_t i = 0; i < controller_count; ++i) {
      nodes_.push_back(std::make_unique<simulated_controller>(
          simulated_controller{{}, replica_controller({}, "k" + std::to_string(i), now_)}));
    }
  }

  target_id add_engine(const std::string& domain, const std::string& data_centre = "a",
                       std::optional<endpoint> address = std::nullopt) {
    target_record record;
    record.id = incarnation_of("i-" + std::to_string(next_id_++), 1);
    record.service = llm;
    record.address =
        address.value_or(endpoint{"10.0.0.1", static_cast<std::uint16_t>(1000 + next_id_)});
    record.data_centre = data_centre_id{data_centre};
    record.domain = fabric_domain_id{domain};
    engines_.emplace(record.id, standin::hosted_engine(record, {}));
    return record.id;
  }

  void add_domain(const std::string& domain, int engines, const std::string& data_centre = "a") {
    for (int i = 0; i < engines; ++i) {
      add_engine(domain, data_centre);
    }
  }
  // Sets the data centre whose engines this node controls; by default "a".
  void assign_data_centre(std::size_t node, const std::string& data_centre) {
    nodes_[node]->data_centres = {data_centre_id{data_centre}};
  }

  // The engine dies without notice; the list of targets drops it after three missed heartbeats.
  void kill(const target_id& id) {
    dead_.insert(id);
    unlist_at_[id] = now_ + 3600ms;
  }
  // The engine dies, and its host refuses connections; otherwise as kill().
  void kill_refusing(const target_id& id) {
    kill(id);
    refusing_.insert(id);
  }
  // The engine answers nothing for this time, then it goes on; what was sent to it arrives then.
  void silence(const target_id& id, duration length) { silent_until_[id] = now_ + length; }
  // A request starts at the head of a replica and runs for this time, unless the head or a member
  // leaves the replica.
  void start_answer(const target_id& head, duration length) {
    answers_[head] = {engines_.at(head).record().member_of->replica, now_, now_ + length};
  }
  [[nodiscard]] bool is_answer_running(const target_id& head) const {
    const auto found = answers_.find(head);
    return found != answers_.end() && now_ < found->second.until;
  }
  // Answers that ended because an engine obeyed an order to leave their replica.
  [[nodiscard]] std::size_t answers_ended_by_orders() const { return answers_ended_by_orders_; }
  // The caller of the answer has got the rest of it from elsewhere.
  void cancel_answer(const target_id& head) { answers_.erase(head); }
  // The engines of this model stay, but it is no longer configured.
  void remove_model(const model_id& model) {
    std::erase_if(service_.engine->models, [&](const model_spec& m) { return m.id == model; });
  }
  // The engine dies, and another one starts at its address. Reports do not name their sender, so
  // its answers look like those of the dead engine.
  target_id replace_engine(const target_id& id) {
    kill(id);
    const target_record& old = engines_.at(id).record();
    return add_engine(old.domain.str(), old.data_centre.str(), old.address);
  }
  // The engine loses its connection to the list of targets, which drops it, but the engine
  // continues to work.
  void unlist_engine(const target_id& id) { unlist_at_[id] = now_; }
  // The node receives no updates of the list of targets and goes on deciding on its last view.
  void block_list_updates(std::size_t node, bool blocked) {
    nodes_[node]->receives_list = !blocked;
  }
  // The engine restarts under its name. Orders for its previous incarnation may still arrive.
  target_id restart(const target_id& id) {
    const target_id next = incarnation_of(engine_of(id), ++newest_incarnation_);
    auto node = engines_.extract(id);
    node.mapped().restart_as(next);
    node.key() = next;
    engines_.insert(std::move(node));
    dead_.erase(id);
    unlist_at_.erase(id);
    return next;
  }
  // The node reaches no engines and receives no list updates, but goes on deciding.
  void set_partitioned(std::size_t node, bool blocked) {
    nodes_[node]->receives_list = !blocked;
    nodes_[node]->partitioned = blocked;
  }
  // The node marks the engine as lost, as it does after failed probes.
  void mark_lost(std::size_t node, const target_id& id) {
    for (std::uint32_t i = 0; i < fleet_view::probes_until_lost; ++i) {
      nodes_[node]->fleet.probe_failed(now_, id, failure_at(id));
    }
  }
  void set_faults(const faults& f) { faults_ = f; }
  void set_evacuated(const std::string& data_centre, bool evacuated) {
    if (evacuated) {
      evacuated_.insert(data_centre_id{data_centre});
    } else {
      evacuated_.erase(data_centre_id{data_centre});
    }
  }
  // Serving replicas of the model whose heads are in the data centre.
  [[nodiscard]] std::size_t count_serving_in(const std::string& data_centre,
                                             const model_id& model) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(serving_heads(model), [&](const target_id& head) {
          return engines_.at(head).record().data_centre == data_centre_id{data_centre};
        }));
  }
  // Orders that engines of the data centre have carried out.
  [[nodiscard]] std::uint64_t orders_carried_out_in(const std::string& data_centre) const {
    std::uint64_t count = 0;
    for (const auto& [id, engine] : engines_) {
      count += engine.record().data_centre == data_centre_id{data_centre}
                   ? engine.report(now_).orders
                   : 0;
    }
    return count;
  }
  void drain(const target_id& id) { engines_.at(id).set_draining(); }

  void run(duration length) {
    const time_point until = now_ + length;
    while (now_ < until) {
      step();
      if (::testing::Test::HasFatalFailure()) {
        return;
      }
    }
  }

  [[nodiscard]] bool run_until(const std::function<bool()>& condition, duration max_time) {
    const time_point until = now_ + max_time;
    while (now_ < until && !::testing::Test::HasFatalFailure()) {
      if (condition()) {
        return true;
      }
      step();
    }
    return condition();
  }

  // Number of serving replicas of the model: those with an open head and all members alive.
  [[nodiscard]] std::size_t count_serving_replicas(const model_id& model) const {
    std::size_t count = 0;
    for (const auto& [id, engine] : engines_) {
      count += engine.is_open() &&
                       model_of_name(engine.record().member_of->replica.name) == model &&
                       is_complete(engine)
                   ? 1
                   : 0;
    }
    return count;
  }

  // Heads of the serving replicas of the model.
  [[nodiscard]] std::vector<target_id> serving_heads(const model_id& model) const {
    std::vector<target_id> result;
    for (const auto& [id, engine] : engines_) {
      if (engine.is_open() && !dead_.contains(id) && is_complete(engine) &&
          model_of_name(engine.record().member_of->replica.name) == model) {
        result.push_back(id);
      }
    }
    return result;
  }
  // Head of one serving replica of the model; empty if there is none.
  [[nodiscard]] target_id any_serving_head(const model_id& model) const {
    const auto all = serving_heads(model);
    return all.empty() ? target_id{} : all.front();
  }
  // Open head of a replica for which a spare with the same model is ready in the fabric domain;
  // empty if there is none.
  [[nodiscard]] target_id head_with_spare() const {
    for (const model_id& model : {large, small}) {
      for (const auto& [id, engine] : engines_) {
        if (!engine.is_open() || model_of_name(engine.record().member_of->replica.name) != model) {
          continue;
        }
        for (const auto& [other, spare] : engines_) {
          const auto& member_of = spare.record().member_of;
          if (spare.record().domain == engine.record().domain && member_of &&
              is_spare_name(member_of->replica.name) && member_of->state == member_state::ready &&
              model_of_name(member_of->replica.name) == model) {
            return id;
          }
        }
      }
    }
    return {};
  }
  [[nodiscard]] const standin::hosted_engine& engine(const target_id& id) const {
    return engines_.at(id);
  }
  [[nodiscard]] std::vector<target_id> living_engines() const {
    std::vector<target_id> result;
    for (const auto& [id, engine] : engines_) {
      if (!dead_.contains(id)) {
        result.push_back(id);
      }
    }
    return result;
  }
  [[nodiscard]] std::size_t orders_sent() const { return orders_sent_; }
  [[nodiscard]] time_point now() const { return now_; }
  rng& random() { return random_; }
  void start_requests() { requests_started_ = true; }

  // Engines are divided by this demand from now on.
  void set_demand(model_demand demand) { demand_ = std::move(demand); }
  // Fraction of the known nodes that this node hears; the demand that it knows is theirs.
  void set_heard_nodes(std::size_t node, double fraction) { nodes_[node]->heard_nodes = fraction; }
  // As the nodes know it; does not start an answer.
  void set_active(const target_id& head, double active) {
    loads_.set_peer_loads(node_id{head.str()}, data_centre_id{"a"}, load_scope::node, now_,
                          {{head, {active, 0}}});
  }
  [[nodiscard]] const replica_controller& controller(std::size_t node) const {
    return nodes_[node]->controller;
  }
  // Number of engines that load a model from the weight store.
  [[nodiscard]] std::size_t loading_engines() const {
    return static_cast<std::size_t>(
        std::count_if(engines_.begin(), engines_.end(), [](const auto& entry) {
          const auto& member_of = entry.second.record().member_of;
          return member_of && member_of->state == member_state::joining &&
                 is_spare_name(member_of->replica.name);
        }));
  }

 private:
  struct simulated_controller {
    fleet_view fleet;
    replica_controller controller;
    bool receives_list = true;
    bool partitioned = false;
    double heard_nodes = 1;
    // Last records of targets that the node received from the list.
    std::map<target_id, target_record> received_records = {};
    std::set<data_centre_id> data_centres = {data_centre_id{"a"}};
  };
  struct running_answer {
    replica_key replica;
    time_point from;
    time_point until;
  };
  struct event {
    time_point at;
    std::size_t order;
    std::function<void()> act;
    bool operator<(const event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void schedule(duration after, std::function<void()> act) {
    events_.push({now_ + after, next_event_++, std::move(act)});
  }

  void step() {
    constexpr duration tick = 20ms;
    now_ += tick;
    while (!events_.empty() && events_.top().at <= now_) {
      const auto act = events_.top().act;
      events_.pop();
      act();
    }
    for (auto& [id, engine] : engines_) {
      if (!dead_.contains(id)) {
        engine.advance(now_);
      }
    }
    if (++ticks_ % 5 == 0) {
      read_list();
    }
    if (ticks_ % 40 == 0) {
      probe_unlisted();
    }
    if (ticks_ % 20 == 0) {
      probe_lost();
    }
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      replica_controller::responsibilities responsibilities{nodes_[n]->data_centres, nodes_.size(),
                                                            requests_started_};
      responsibilities.is_first_start = true;
      responsibilities.evacuated = evacuated_;
      if (demand_) {
        responsibilities.plans_by_demand = true;
        responsibilities.demand = *demand_;
        responsibilities.heard_nodes = nodes_[n]->heard_nodes;
        responsibilities.loads = &loads_;
      }
      for (const controller_effect& e :
           nodes_[n]->controller.tick(now_, nodes_[n]->fleet, service_, responsibilities)) {
        carry_out(n, e);
      }
    }
    end_answers();
    check();
  }

  void end_answers() {
    std::erase_if(answers_, [this](const auto& entry) {
      const auto& [head, answer] = entry;
      const bool ended = now_ < answer.until && !is_working_for(answer, head);
      answers_ended_by_orders_ += ended ? 1 : 0;
      return ended;
    });
  }

  [[nodiscard]] bool is_working_for(const running_answer& answer, const target_id& head) const {
    const auto& members = engines_.at(head).members();
    return std::all_of(members.begin(), members.end(), [&](const target_id& id) {
      const auto engine = engines_.find(id);
      const bool dead = engine == engines_.end() || dead_.contains(id);
      return dead || (engine->second.record().member_of &&
                      engine->second.record().member_of->replica == answer.replica);
    });
  }

  [[nodiscard]] bool is_silent(const target_id& id) const {
    const auto found = silent_until_.find(id);
    return dead_.contains(id) || (found != silent_until_.end() && now_ < found->second);
  }

  // A closed head that still runs a request is closing, not ready.
  void show_closing(const target_id& id, std::optional<membership>& member_of) const {
    if (member_of && member_of->rank == 0 && member_of->state == member_state::ready &&
        is_answer_running(id) && answers_.at(id).replica == member_of->replica) {
      member_of->state = member_state::closing;
    }
  }

  [[nodiscard]] target_record record_of(const standin::hosted_engine& engine) const {
    target_record record = engine.record();
    show_closing(record.id, record.member_of);
    return record;
  }

  [[nodiscard]] target_report report_of(const standin::hosted_engine& engine) const {
    constexpr duration lag = 200ms;
    target_report report = engine.report(now_);
    const auto answer = answers_.find(engine.record().id);
    const bool active = answer != answers_.end() && answer->second.from <= now_ - lag &&
                        now_ - lag < answer->second.until;
    report.active = active ? 1 : 0;
    show_closing(engine.record().id, report.member_of);
    return report;
  }

  [[nodiscard]] unanswered_probe failure_at(const target_id& id) const {
    return refusing_.contains(id) ? unanswered_probe::refused : unanswered_probe::silent;
  }

  void read_list() {
    for (const auto& n : nodes_) {
      if (!n->receives_list) {
        continue;
      }
      for (const auto& [id, engine] : engines_) {
        const auto dropped = unlist_at_.find(id);
        if (dropped != unlist_at_.end() && now_ >= dropped->second) {
          n->fleet.mark_unlisted(now_, id);
        } else if (const target_record record = record_of(engine);
                   !is_silent(id) &&
                   (!n->received_records.contains(id) || n->received_records[id] != record)) {
          n->received_records[id] = record;
          n->fleet.apply_record(now_, record, ++row_version_);
        }
      }
    }
  }

  // As controller_loop does, probes members of replicas that are not in the list of targets, since
  // they may still work or be dead.
  void probe_unlisted() {
    for (const auto& n : nodes_) {
      for (const auto& [id, engine] : engines_) {
        const target_view* view = n->fleet.find(id);
        const bool dropped = view != nullptr && !view->listed && view->record.member_of;
        if (const auto* other = at_address_of(id); dropped && other != nullptr) {
          const target_report report = other->report(now_);
          n->fleet.apply_answer(now_, now_ - 250ms, id, {id, report.member_of, report.loaded, 1});
          continue;
        }
        for (std::uint32_t i = 0;
             dropped && dead_.contains(id) && i < fleet_view::probes_until_lost; ++i) {
          n->fleet.probe_failed(now_, id);
        }
      }
    }
  }

  // The engine that now answers at the address of a dead one; null if there is none.
  [[nodiscard]] const standin::hosted_engine* at_address_of(const target_id& dead) const {
    for (const auto& [id, engine] : engines_) {
      const bool same = engine.record().address == engines_.at(dead).record().address;
      if (dead_.contains(dead) && same && !dead_.contains(id)) {
        return &engine;
      }
    }
    return nullptr;
  }

  // As controller_loop does, probes lost engines: one that answers is reachable again. After a
  // partition engines become reachable one by one, as connections are retried at different times.
  void probe_lost() {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      for (const auto& [id, engine] : engines_) {
        const target_view* view = nodes_[n]->fleet.find(id);
        if (view != nullptr && view->lost && view->listed) {
          schedule(random_.jitter(400ms), [this, n, id = id] { probe_if_recovered(n, id); });
        }
      }
    }
  }

  void probe_if_recovered(std::size_t n, const target_id& id) {
    const auto engine = engines_.find(id);
    if (nodes_[n]->partitioned || engine == engines_.end() || is_silent(id)) {
      return;
    }
    const target_report report = report_of(engine->second);
    nodes_[n]->fleet.apply_answer(now_, now_ - 250ms, id,
                                  {report.incarnation, report.member_of, report.loaded, 1});
  }

  void carry_out(std::size_t n, const controller_effect& e) {
    constexpr duration network_delay = 2ms;
    constexpr duration timeout = 300ms;
    if (const auto* query = std::get_if<report_request>(&e)) {
      const target_id id = query->to;
      const time_point requested_at = now_;
      if (is_silent(id) || nodes_[n]->partitioned) {
        schedule(timeout, [this, n, id] {
          nodes_[n]->fleet.probe_failed(now_, id, failure_at(id));
          nodes_[n]->controller.on_report(now_, id, std::nullopt);
        });
        return;
      }
      schedule(network_delay, [this, n, id, requested_at] {
        const target_report report = report_of(find_engine(id));
        nodes_[n]->fleet.apply_answer(requested_at, requested_at - 250ms, id,
                                      {report.incarnation, report.member_of, report.loaded, 1});
        nodes_[n]->controller.on_report(now_, id, report);
      });
      return;
    }
    const replica_order order = std::get<replica_order>(e);
    ++orders_sent_;
    const double sample = random_.unit();
    const bool late = sample < faults_.order_late && !nodes_[n]->partitioned;
    const bool lost = !late && sample < faults_.order_late + faults_.order_lost;
    if (late) {
      schedule(random_.jitter(faults_.max_order_delay), [this, order] { deliver(order); });
    }
    if (!late && is_silent(order.to) && !dead_.contains(order.to) && !nodes_[n]->partitioned) {
      schedule(silent_until_.at(order.to) - now_, [this, order] { deliver(order); });
    }
    if (late || is_silent(order.to) || nodes_[n]->partitioned) {
      schedule(timeout, [this, n, order] {
        nodes_[n]->fleet.probe_failed(now_, order.to);
        nodes_[n]->controller.on_order_outcome(now_, nodes_[n]->fleet, order,
                                               order_outcome::no_answer);
      });
      return;
    }
    schedule(network_delay, [this, n, order, lost] {
      const order_outcome outcome = deliver(order);
      if (!lost) {
        nodes_[n]->controller.on_order_outcome(now_, nodes_[n]->fleet, order, outcome);
      }
    });
    if (lost) {
      schedule(timeout, [this, n, order] {
        nodes_[n]->controller.on_order_outcome(now_, nodes_[n]->fleet, order,
                                               order_outcome::no_answer);
      });
    }
  }

  order_outcome deliver(const replica_order& order) {
    standin::hosted_engine& engine = find_engine(order.to);
    if (dead_.contains(engine.record().id)) {
      return order_outcome::no_answer;
    }
    const auto before = engine.record().member_of;
    const auto members = engine.members();
    const order_outcome outcome = engine.execute(now_, order);
    // Checks that no engine joins another replica while the head of its own one serves.
    if (order.action == order_action::join && outcome == order_outcome::accepted && before &&
        before->replica != order.replica) {
      const standin::hosted_engine& head = find_engine(members.front());
      const bool serves = !dead_.contains(head.record().id) && head.is_open() &&
                          head.record().member_of->replica == before->replica;
      EXPECT_FALSE(serves && engine_of(members.front()) != engine_of(order.to))
          << order.to << " joins " << order.replica.name << " epoch " << order.replica.epoch
          << " from " << before->replica.name << " epoch " << before->replica.epoch;
    }
    return outcome;
  }

  // The engine with the name in `id`: orders and queries reach it in any incarnation.
  [[nodiscard]] standin::hosted_engine& find_engine(const target_id& id) {
    const auto found = std::find_if(engines_.begin(), engines_.end(), [&id](const auto& entry) {
      return engine_of(entry.first) == engine_of(id);
    });
    return found->second;
  }

  [[nodiscard]] bool is_complete(const standin::hosted_engine& head) const {
    const replica_key& key = head.record().member_of->replica;
    for (const target_id& id : head.members()) {
      const auto engine = engines_.find(id);
      if (engine == engines_.end()) {
        return false;  // the member has restarted
      }
      const auto& member_of = engine->second.record().member_of;
      if (dead_.contains(id) || !member_of || member_of->replica != key) {
        return false;
      }
    }
    return true;
  }

  // Checks the invariants. An open head whose replica was never complete would accept requests that
  // cannot run.
  void check() {
    for (const auto& [id, engine] : engines_) {
      if (dead_.contains(id) || !engine.is_open()) {
        continue;
      }
      const replica_key& key = engine.record().member_of->replica;
      ASSERT_FALSE(is_spare_name(key.name)) << "a spare serves";
      for (const target_id& member : engine.members()) {
        const auto found = engines_.find(member);
        // A member that has restarted since it was ready is a lost member, not an error of the
        // controller.
        ASSERT_TRUE(found == engines_.end() || found->second.was_ready_in(key))
            << member << " was never ready in " << key.name << " epoch " << key.epoch;
      }
    }
  }

  service_spec service_;
  time_point now_{1h};
  rng random_;
  faults faults_;
  std::set<data_centre_id> evacuated_;
  bool requests_started_ = false;
  std::optional<model_demand> demand_;
  load_table loads_;
  std::map<target_id, standin::hosted_engine> engines_;
  std::set<target_id> dead_;
  std::set<target_id> refusing_;
  std::map<target_id, time_point> silent_until_;
  std::map<target_id, running_answer> answers_;  // by the head
  std::size_t answers_ended_by_orders_ = 0;
  std::map<target_id, time_point> unlist_at_;
  std::vector<std::unique_ptr<simulated_controller>> nodes_;
  std::priority_queue<event> events_;
  std::size_t next_event_ = 0;
  std::size_t orders_sent_ = 0;
  std::uint64_t row_version_ = 0;
  int ticks_ = 0;
  int next_id_ = 1;
  std::uint64_t newest_incarnation_ = 1;
};

}  // namespace arbutus::testing_support
