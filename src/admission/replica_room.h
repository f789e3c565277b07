// Which part of the requests for a model is admitted when its replicas are close to saturation, and
// which replicas have room for them.
//
// The loads that a node knows of are `load_age` old, and all nodes decide by the same reports. The
// plan therefore compares what all nodes together are expected to send within that time with what
// the replicas can take in it: part of the room they have, and the places of requests that end.
// Each node admits the same fraction of its own requests, so the sum fits without messages.
//
// Values only; the random numbers are arguments.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "capacity/model_demand.h"
#include "request/latency_calibration.h"
#include "request/replica_choice.h"
#include "version/service_map.h"

namespace arbutus {

struct room_settings {
  duration load_age = 300ms;  // see choice_settings::peer_load_age
  // Part of the room that is given away within `load_age`. The requests given away in that time are
  // not part of the known loads yet; with the whole room, loads overshoot and oscillate.
  double room_use = 0.5;
  // Least fraction of each priority that is admitted, so that none is starved.
  double min_fraction = 0.05;
  // With a smaller part of the slots taken, nothing is refused.
  double min_slots_taken = 0.5;
  // An objective that is missed already with this part of the slots taken does not make less of
  // them available: refusals would gain nothing for it.
  double min_capacity = 0.75;
  // Replicas are chosen by room once the expected arrivals exceed this part of all free room and
  // completions.
  double short_ratio = 0.5;
};

// Requests for a model with the same priority, of all nodes.
struct request_class {
  std::uint32_t priority{};  // 0 is the most urgent
  double per_second{};
  generation_size mean_size;
  duration latency_objective{};  // until the first event; zero: none
};

// The classes of a model, most urgent first.
[[nodiscard]] std::vector<request_class> request_classes(const model_demand& demand,
                                                         const model_key& model);

// What is known of a replica that may be sent requests.
struct known_replica {
  replica_load load;
  double slowdown_factor = 1;
  bool crosses_domains = false;
  bool is_allowed = true;  // false: it gets nothing, and its slots do not count
};

// Numbers of requests within room_settings::load_age.
struct class_admission {
  std::uint32_t priority{};
  double arrivals{};
  double room{};        // for requests of this class at all replicas now; negative: more than full
  double can_take{};    // of the replicas, before more urgent classes have taken their part
  double fraction = 1;  // of the arrivals that is admitted
  std::vector<double> can_take_by_replica;
};

struct admission_plan {
  double slots{};
  double active{};                       // requests at the replicas
  double completions{};                  // expected within room_settings::load_age
  duration request_time{};               // mean time that a request takes at a replica
  bool is_short = false;                 // replicas are to be chosen by can_take_by_replica
  std::vector<class_admission> classes;  // most urgent first

  // Null if the class has no demand, or no replica is allowed.
  [[nodiscard]] class_admission* find(std::uint32_t priority);
};

[[nodiscard]] admission_plan plan_admission(const engine_parameters& engine,
                                            const model_spec& model,
                                            std::span<const known_replica> replicas,
                                            std::span<const request_class> classes,
                                            const latency_correction& correction,
                                            const room_settings& settings = {});

// When the caller of a refused request should retry: between 200 ms and the time in which replicas
// complete as many requests as are refused, at most 1.2 s and a third of `time_left`, since callers
// retry by then in any case. If that third is below 200 ms, it is returned. `random_sample`:
// uniform in [0, 1).
[[nodiscard]] duration retry_delay(const admission_plan& plan, duration time_left,
                                   double random_sample);

}  // namespace arbutus
