// Samples the time to write the row under both schemes: nodes that wait by rank, and a lease
// holder.
#include "process/row_write_model.h"

#include <algorithm>
#include <vector>

namespace arbutus {

namespace {

// A node of rank r writes r times this after the detection of the change; longer than a normal
// write and its gossip take.
constexpr duration rank_delay = 500ms;
// Within this time, an urgent gossip message reaches the other nodes of the data centre.
constexpr duration urgent_gossip_delay = 100ms;
constexpr duration row_gossip_delay = 300ms;
// Share of table writes that are slow: one in ten.
constexpr double slow_write_share = 0.1;
constexpr duration normal_write_latency = 60ms;
constexpr duration slow_write_latency = 2s;

duration random_write_latency(rng& random) {
  const bool slow = random.unit() < slow_write_share;
  return slow ? normal_write_latency + random.jitter(slow_write_latency)
              : 20ms + random.jitter(normal_write_latency - 20ms);
}

struct attempt {
  duration begin{};
  duration end{};
};

// The first write to end wins; the writes of nodes that began before they learnt of it are wasted.
write_timing race(const std::vector<attempt>& attempts, rng& random) {
  write_timing timing;
  timing.write_delay = duration::max();
  for (const attempt& a : attempts) {
    timing.write_delay = std::min(timing.write_delay, a.end);
  }
  for (const attempt& a : attempts) {
    timing.wasted_writes += a.begin < timing.write_delay + random.jitter(row_gossip_delay) ? 1 : 0;
  }
  timing.wasted_writes -= 1;
  return timing;
}

write_timing write_ranked(const write_conditions& conditions, rng& random) {
  std::vector<attempt> attempts;
  for (std::uint32_t rank = 0; rank < conditions.nodes; ++rank) {
    const bool absent = random.unit() < conditions.undetected_absent_fraction;
    const duration begin = random.jitter(urgent_gossip_delay) + rank * rank_delay;
    const duration end = begin + random_write_latency(random);
    if (!absent || rank + 1 == conditions.nodes) {
      attempts.push_back({begin, end});
    }
  }
  return race(attempts, random);
}

// Without ranks all nodes that notice the expiry of the lease try to take it, spread over 1 s.
write_timing take_lease(const write_conditions& conditions, rng& random, duration expires_in) {
  std::vector<attempt> attempts;
  for (std::uint32_t i = 1; i < conditions.nodes; ++i) {
    const duration begin = expires_in + random.jitter(1s);
    attempts.push_back({begin, begin + random_write_latency(random)});
  }
  write_timing timing = race(attempts, random);
  timing.lease_writes = 1;
  return timing;
}

write_timing write_leased(const write_conditions& conditions, rng& random) {
  const bool absent = random.unit() < conditions.undetected_absent_fraction;
  write_timing timing;
  if (conditions.lease_expired) {
    timing = take_lease(conditions, random, {});
  } else if (absent) {
    timing = take_lease(conditions, random, random.jitter(lease_duration));
    timing.wasted_writes +=
        1;  // the old lease holder resumes and writes; its conditional write is refused
  } else {
    timing.write_delay = random.jitter(urgent_gossip_delay);
  }
  timing.write_delay += random_write_latency(random);
  return timing;
}

}  // namespace

write_timing simulate_write(const write_conditions& conditions, rng& random) {
  return conditions.writer == writer_selection::ranked ? write_ranked(conditions, random)
                                                       : write_leased(conditions, random);
}

}  // namespace arbutus
