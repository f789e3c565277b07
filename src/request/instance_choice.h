// Chooses the instance of a service for a call; not for models, whose replicas are chosen
// elsewhere.
//
// Instances may be slow, may fail some calls while their health check succeeds, and report their
// load late. The choice uses this node's own calls in flight, the load that an instance reported
// with its last response, and the outcomes of its last calls.
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

enum class instance_call_outcome : std::uint8_t {
  answered,   // the instance sent a response, of any status, so it works
  not_run,    // the instance refused the call since it is full or leaving
  failed,     // broken connection, no response, or an invalid response
  withdrawn,  // the call ended for a reason unrelated to the instance
};

struct instance_settings {
  // Weight of the newest call in the failure rate. At 0.25 three failures in a row rank an instance
  // behind one with a full queue, and four successful calls restore it.
  double failure_rate_weight = 0.25;
  // Half-life of the failure rate: as it decays, a failed instance is tried again.
  duration failure_half_life = 2s;
  // Added load, in calls, of an instance at a failure rate of 1.
  double failure_load_penalty = 24;
  // Added load, in calls, of an instance in another data centre: its slots are equivalent, but
  // traffic between data centres is expensive.
  double remote_load_penalty = 1.0;
  duration reported_load_validity = 1s;
};

class instance_table {
 public:
  explicit instance_table(const instance_settings& settings = {}) : settings_(settings) {}

  // Index of the chosen candidate; empty if all candidates are in `avoided`.
  [[nodiscard]] std::optional<std::size_t> choose(time_point now,
                                                  std::span<const service_instance> candidates,
                                                  const data_centre_id& home,
                                                  std::span<const target_id> avoided) const;

  void sent(const target_id& id);
  void ended(time_point now, const target_id& id, instance_call_outcome end);
  // Running and waiting calls that the instance reported with a response.
  void note_reported_load(time_point now, const target_id& id, double calls);
  void forget(const std::vector<target_id>& removed);

  // Calls of this node in flight at the instance.
  [[nodiscard]] double active_calls(const target_id& id) const;

 private:
  struct instance_stats {
    double active_calls = 0;
    double reported_calls = 0;
    time_point load_reported_at{};
    double failures = 0;  // moving average of the fraction of failed calls, as of `failures_at`
    time_point failures_at{};
  };

  [[nodiscard]] double failure_rate(time_point now, const instance_stats& k) const;

  instance_settings settings_;
  std::map<target_id, instance_stats> stats_;
};

}  // namespace arbutus
