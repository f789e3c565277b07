// Which instance of a plain service gets a call.
//
// It answers uneven instances: slow ones, ones that fail a part of their calls while their health
// check is good, and loads that lag. What counts is what this node sees: its own calls in flight,
// the load that an instance told with its last answer, and how its last calls ended.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "version/inventory.h"

namespace arbutus {

struct service_instance {
  target_id id;
  endpoint address;
  data_centre_id data_centre;
  std::uint32_t slots = 1;
};

enum class call_end : std::uint8_t {
  answered,   // whatever the status: the instance works
  not_run,    // it refused: full or leaving
  failed,     // broken, silent, or an answer that is not to be believed
  withdrawn,  // ended for a reason that says nothing of the instance
};

struct instance_settings {
  // Weight of the newest call in the share of failed calls. At 0.25 three failures in a row push an
  // instance behind one with a full queue, and four good calls bring it back.
  double failure_weight = 0.25;
  // A failed instance is tried again as its share of failures fades with this half-incarnation.
  duration failure_half_life = 2s;
  // Calls' worth of load that an instance with only failures counts as having more.
  double failure_cost = 24;
  // Calls' worth of load for an instance in another data centre: its slots are as good, its bytes
  // are dear.
  double away_cost = 1.0;
  duration told_load_memory = 1s;
};

class instance_table {
 public:
  explicit instance_table(const instance_settings& settings = {}) : settings_(settings) {}

  // Empty when there is none beside those in `avoided`.
  [[nodiscard]] std::optional<std::size_t> choose(time_point now,
                                                  std::span<const service_instance> candidates,
                                                  const data_centre_id& home,
                                                  std::span<const target_id> avoided) const;

  void sent(const target_id& id);
  void ended(time_point now, const target_id& id, call_end end);
  // Running and waiting calls that the instance told with an answer.
  void told(time_point now, const target_id& id, double calls);
  void forget(const std::vector<target_id>& gone);

  // Calls of this node that are with the instance.
  [[nodiscard]] double active(const target_id& id) const;

 private:
  struct known {
    double active = 0;
    double told_calls = 0;
    time_point told_at{};
    double failures = 0;  // share of failed calls, newest weigh most
    time_point failures_at{};
  };

  [[nodiscard]] double failure_share(time_point now, const known& k) const;

  instance_settings settings_;
  std::map<target_id, known> known_;
};

}  // namespace arbutus
