// Generates VM failures and restarts as Poisson arrivals, and each of the rare large failures at a
// uniformly random time.
#include "process/failure_schedule.h"

#include <algorithm>
#include <cmath>

namespace arbutus {

namespace {

time_point random_begin(rng& random, duration length) {
  return time_point{random.jitter(simulation_length - length)};
}

vm_outage_window random_outage(const failure_simulation_settings& s, rng& random,
                               time_point begin) {
  vm_outage_window o;
  o.domain = static_cast<std::uint32_t>(random.below(s.fabric_domains));
  // The failing VM is sampled from replica members and spares, also under policy none, where
  // failures of spares hit no VM.
  o.index = static_cast<std::uint32_t>(
      random.below(s.replicas_per_domain * s.vms_per_replica + s.spares_per_domain));
  o.begin = begin;
  return o;
}

template <class Make>
void generate_arrivals(double per_day, rng& random, Make make) {
  const double gap = to_seconds(simulation_length) / per_day;
  double at = 0;
  while (true) {
    at += -std::log(1.0 - random.unit()) * gap;
    if (at >= to_seconds(simulation_length)) {
      return;
    }
    make(time_point{from_seconds(at)});
  }
}

void add_domain_outage(const failure_simulation_settings& s, rng& random,
                       failure_schedule& schedule) {
  const auto domain = static_cast<std::uint32_t>(random.below(s.fabric_domains));
  const time_point begin = random_begin(random, s.domain_outage_duration);
  const std::uint32_t vms = s.replicas_per_domain * s.vms_per_replica + s.spares_per_domain;
  for (std::uint32_t i = 0; i < vms; ++i) {
    schedule.outages.push_back({domain, i, begin, begin + s.domain_outage_duration, {}, true});
  }
}

}  // namespace

failure_schedule make_failure_schedule(const failure_simulation_settings& s, std::uint64_t seed) {
  failure_schedule schedule;
  rng random(seed);
  generate_arrivals(s.vm_failures_per_day, random, [&](time_point at) {
    vm_outage_window o = random_outage(s, random, at);
    const double hours = -std::log(1.0 - random.unit()) * s.vm_repair_hours;
    o.end = at + from_seconds(hours * 3600);
    schedule.outages.push_back(o);
  });
  generate_arrivals(s.vm_restarts_per_day, random, [&](time_point at) {
    vm_outage_window o = random_outage(s, random, at);
    o.end = at + s.restart_duration;
    o.notice = s.restart_notice_period;
    schedule.outages.push_back(o);
  });
  for (std::uint32_t i = 0; i < s.domain_outages; ++i) {
    add_domain_outage(s, random, schedule);
  }
  for (std::uint32_t i = 0; i < s.table_outages; ++i) {
    const time_point begin = random_begin(random, s.table_outage_duration);
    schedule.table_outage_spans.push_back({begin, begin + s.table_outage_duration});
  }
  for (std::uint32_t i = 0; i < s.network_partitions; ++i) {
    const time_point begin = random_begin(random, s.partition_duration);
    schedule.table_outage_spans.push_back({begin, begin + s.partition_duration});
  }
  std::ranges::stable_sort(schedule.outages, {}, &vm_outage_window::begin);
  return schedule;
}

}  // namespace arbutus
