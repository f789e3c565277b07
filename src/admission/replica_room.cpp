// Room of replicas by class of requests, and the admitted fraction of each class.
#include "admission/replica_room.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace arbutus {

namespace {

// Expected times by the number of requests at a replica: until the first event of another one, with
// an empty prompt and without prompts that wait to be read, and for a whole request.
struct latency_table {
  double slowdown_factor{};
  bool crosses_domains{};
  std::vector<double> first_event_s;  // increasing; by 0 to `slots` requests
  std::vector<double> request_s;

  // The number of requests that a replica can run with the last one's first event within `limit_s`.
  [[nodiscard]] double capacity_within(double limit_s) const {
    const auto end = std::upper_bound(first_event_s.begin(), first_event_s.end() - 1, limit_s);
    return static_cast<double>(end - first_event_s.begin());
  }
};

latency_table make_table(const engine_parameters& engine, const model_spec& model,
                         const known_replica& replica) {
  latency_table table{replica.slowdown_factor, replica.crosses_domains, {}, {}};
  table.first_event_s.reserve(engine.slots + 1);
  table.request_s.reserve(engine.slots + 1);
  for (std::uint32_t active = 0; active <= engine.slots; ++active) {
    const replica_estimate at = estimate(engine, model, {static_cast<double>(active), 0}, {},
                                         replica.slowdown_factor, replica.crosses_domains);
    table.first_event_s.push_back(to_seconds(at.to_first_event));
    table.request_s.push_back(to_seconds(at.request_time));
  }
  return table;
}

double prefill_s(const engine_parameters& engine, double tokens) {
  return tokens / std::max(engine.prefill_tokens_per_s, 1.0);
}

// What the room of a replica depends on, besides the class of requests.
struct replica_state {
  std::size_t table{};
  double active{};
  double completions{};  // within the age of the known loads
  double waiting_s{};    // for prompts that are read before that of a new request
};

// Computes rooms. Most replicas of a deployment have the same slowdown, and so the same table.
class room_calculator {
 public:
  room_calculator(const engine_parameters& engine, const model_spec& model,
                  const latency_correction& correction, const room_settings& settings)
      : engine_(engine), model_(model), correction_(correction), settings_(settings) {}

  [[nodiscard]] replica_state state_of(const known_replica& replica) {
    replica_state state{table_of(replica), replica.load.active, 0, 0};
    const auto running = std::min(static_cast<std::size_t>(std::max(replica.load.active, 0.0)),
                                  std::size_t{engine_.slots});
    const double request_s =
        tables_[state.table].request_s[running] * correction_.request_time_factor;
    // By Little's law.
    state.completions =
        std::min<double>(replica.load.active, engine_.slots) * age_s() / std::max(request_s, 0.001);
    // Part of the prompts that wait by the known load were read since; passes with requests that
    // generate leave about half of the time for prompts.
    state.waiting_s =
        std::max(prefill_s(engine_, replica.load.pending_prefill_tokens) - age_s() / 2, 0.0);
    return state;
  }

  // To be called after all calls of state_of(), which make the tables. The longest time to the
  // first event of requests of this class by each table, less the time to read their prompts.
  [[nodiscard]] std::vector<double> limits_of(const request_class& requests) const {
    std::vector<double> limits;
    for (const latency_table& table : tables_) {
      const double own_s = to_seconds(estimate(engine_, model_, {}, requests.mean_size,
                                               table.slowdown_factor, table.crosses_domains)
                                          .to_first_event) -
                           table.first_event_s.front();
      const auto least = static_cast<std::size_t>(settings_.min_capacity * engine_.slots);
      const double attainable_s = table.first_event_s[least];
      const double objective_s =
          requests.latency_objective > duration{}
              ? to_seconds(requests.latency_objective - correction_.first_event) - own_s
              : std::numeric_limits<double>::infinity();
      limits.push_back(std::max(objective_s, attainable_s));
    }
    return limits;
  }

  [[nodiscard]] double room(const replica_state& replica, std::span<const double> limits) const {
    // One standard deviation of the requests of other nodes that are not known yet: as many arrive
    // as end.
    const double unknown = std::sqrt(replica.completions);
    return tables_[replica.table].capacity_within(limits[replica.table] - replica.waiting_s) -
           unknown - replica.active;
  }

  // Requests of a class that the replica can take within the age of the known loads.
  [[nodiscard]] double can_take(const replica_state& replica, double room,
                                const request_class& requests) const {
    const double prompts_read =
        age_s() / std::max(prefill_s(engine_, requests.mean_size.prompt_tokens), 1e-6);
    return std::clamp(settings_.room_use * room + replica.completions, 0.0,
                      std::min<double>(prompts_read, engine_.slots));
  }

 private:
  [[nodiscard]] double age_s() const { return to_seconds(settings_.load_age); }

  std::size_t table_of(const known_replica& replica) {
    for (std::size_t i = 0; i < tables_.size(); ++i) {
      if (tables_[i].slowdown_factor == replica.slowdown_factor &&
          tables_[i].crosses_domains == replica.crosses_domains) {
        return i;
      }
    }
    tables_.push_back(make_table(engine_, model_, replica));
    return tables_.size() - 1;
  }

  const engine_parameters& engine_;
  const model_spec& model_;
  const latency_correction& correction_;
  const room_settings& settings_;
  std::vector<latency_table> tables_;
};

// Divides what the replicas can take among the classes, the most urgent first. A class may not use
// what would make a more urgent one late, so what is left never grows from one class to the next.
void divide(std::vector<class_admission>& classes, double min_fraction) {
  double floors = 0;  // least numbers of the classes that follow
  for (const class_admission& c : classes) {
    floors += min_fraction * c.arrivals;
  }
  double left = std::numeric_limits<double>::max();
  double used = 0;
  for (class_admission& c : classes) {
    floors -= min_fraction * c.arrivals;
    left = std::min(left, c.can_take - used);
    if (c.arrivals > 0) {
      c.fraction = std::clamp((left - floors) / c.arrivals, min_fraction, 1.0);
    }
    used += c.fraction * c.arrivals;
    left -= c.fraction * c.arrivals;
  }
}

}  // namespace

std::vector<request_class> request_classes(const model_demand& demand, const model_key& model) {
  std::vector<request_class> classes;
  for (const auto& [key, rate] : demand) {
    if (key.model == model && rate.calls_per_second > 0) {
      classes.push_back({key.priority,
                         rate.calls_per_second,
                         {rate.prompt_tokens_per_second / rate.calls_per_second,
                          rate.answer_tokens_per_second / rate.calls_per_second},
                         from_seconds(rate.latency_objective_s)});
    }
  }
  return classes;
}

class_admission* admission_plan::find(std::uint32_t priority) {
  const auto found = std::ranges::find(classes, priority, &class_admission::priority);
  return found == classes.end() ? nullptr : &*found;
}

admission_plan plan_admission(const engine_parameters& engine, const model_spec& model,
                              std::span<const known_replica> replicas,
                              std::span<const request_class> classes,
                              const latency_correction& correction, const room_settings& settings) {
  admission_plan plan;
  room_calculator rooms(engine, model, correction, settings);
  std::vector<replica_state> states;
  states.reserve(replicas.size());
  for (const known_replica& replica : replicas) {
    states.push_back(replica.is_allowed ? rooms.state_of(replica) : replica_state{});
    plan.slots += replica.is_allowed ? engine.slots : 0;
    plan.active += replica.is_allowed ? replica.load.active : 0;
    plan.completions += states.back().completions;
  }
  if (plan.slots <= 0) {
    return plan;
  }
  plan.classes.reserve(classes.size());
  double arrivals = 0;
  double least_urgent_room = 0;
  for (const request_class& requests : classes) {
    const std::vector<double> limits = rooms.limits_of(requests);
    class_admission& c = plan.classes.emplace_back();
    c.priority = requests.priority;
    c.arrivals = requests.per_second * to_seconds(settings.load_age);
    c.can_take_by_replica.resize(replicas.size());
    least_urgent_room = 0;
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      if (!replicas[i].is_allowed) {
        continue;
      }
      const double room = rooms.room(states[i], limits);
      c.can_take_by_replica[i] = rooms.can_take(states[i], room, requests);
      c.can_take += c.can_take_by_replica[i];
      c.room += room;
      least_urgent_room += std::max(room, 0.0);
    }
    arrivals += c.arrivals;
  }
  if (plan.completions > 0) {
    plan.request_time =
        from_seconds(plan.active * to_seconds(settings.load_age) / plan.completions);
  }
  plan.is_short = arrivals > settings.short_ratio * (least_urgent_room + plan.completions);
  if (plan.active >= settings.min_slots_taken * plan.slots) {
    divide(plan.classes, settings.min_fraction);
  }
  return plan;
}

duration retry_delay(const admission_plan& plan, duration time_left, double random_sample) {
  constexpr duration min_delay = 200ms;
  // Callers that return over a longer time keep a deployment saturated for seconds after a burst.
  constexpr duration max_spread = 1s;
  const duration longest = time_left / 3;
  if (longest <= min_delay) {
    return std::max(longest, duration{});
  }
  double refused = 0;
  for (const class_admission& c : plan.classes) {
    refused += (1 - c.fraction) * c.arrivals;
  }
  const double rounds = refused / std::max(plan.completions, 1.0);
  const duration until =
      min_delay +
      std::min<duration>(max_spread, from_seconds(to_seconds(plan.request_time) * rounds));
  return min_delay + from_seconds(to_seconds(std::min(longest, until) - min_delay) * random_sample);
}

}  // namespace arbutus
