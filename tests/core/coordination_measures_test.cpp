// Measures repair times of replicas and wasted writes of the row in the simulated cluster over many
// seeds; prints them and compares them with the required limits.
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

#include "fake_cluster.h"

namespace arbutus::testing {
namespace {

constexpr std::uint64_t seeds = 25;
constexpr duration test_timeout = 40s;

struct sample {
  std::vector<double> values;
  void add(duration d) { values.push_back(to_seconds(d)); }
  [[nodiscard]] double at(double share) {
    std::sort(values.begin(), values.end());
    return values.at(static_cast<std::size_t>(share * static_cast<double>(values.size() - 1)));
  }
};

void print(const char* what, sample& s) {
  std::cout << what << ": median " << s.at(0.5) << " s, p90 " << s.at(0.9) << " s, most "
            << s.at(1.0) << " s over " << s.values.size() << " runs\n";
}

cluster_options sizes(std::uint64_t seed) {
  cluster_options o;
  o.nodes = 6;
  o.vms = 12;
  o.vms_per_replica = 4;
  o.seed = seed;
  return o;
}

// A simulated cluster in a stable state, at a time that depends on the seed.
std::unique_ptr<fake_cluster> settled_cluster(std::uint64_t seed) {
  auto w = std::make_unique<fake_cluster>(sizes(seed));
  EXPECT_TRUE(w->run_until([&] { return w->all_serve(2); }, test_timeout));
  w->run_for(3s + rng{seed}.jitter(2s));
  return w;
}

struct repair {
  duration no_route{};
  duration served{};
  std::uint64_t wasted{};
};

repair measure_repair(std::uint64_t seed, bool table_up) {
  const auto w = settled_cluster(seed);
  w->table.up = table_up;
  w->run_for(5s);
  const replica_plan victim = w->row_in_table().replicas.at(seed % 2);
  const std::uint64_t refused_before = w->table.writes_refused;
  const time_point start = w->now();
  w->kill(victim.members.at(seed % victim.members.size()));
  repair r;
  EXPECT_TRUE(w->run_until([&] { return !w->routed_anywhere(victim.id); }, test_timeout));
  r.no_route = w->now() - start;
  EXPECT_TRUE(w->run_until([&] { return w->all_serve(2); }, test_timeout));
  r.served = w->now() - start;
  w->table.up = true;
  w->run_for(10s);
  r.wasted = w->table.writes_refused - refused_before;
  EXPECT_TRUE(w->violations.empty());
  return r;
}

TEST(coordination_measures, member_death_and_repair) {
  sample no_route;
  sample up;
  sample down;
  std::uint64_t wasted_up = 0;
  std::uint64_t wasted_down = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const repair with = measure_repair(seed, true);
    const repair without = measure_repair(seed, false);
    no_route.add(with.no_route);
    no_route.add(without.no_route);
    up.add(with.served);
    down.add(without.served);
    wasted_up += with.wasted;
    wasted_down += without.wasted;
  }
  print("death to no route on any node", no_route);
  print("death to service again, table up", up);
  print("death to service again, table down", down);
  std::cout << "refused writes in " << seeds << " repairs: " << wasted_up << " with the table up, "
            << wasted_down << " with it down and back\n";
  EXPECT_LT(no_route.at(1.0), 2.5);
  EXPECT_LT(down.at(0.5), 1.2 * up.at(0.5));
  EXPECT_EQ(wasted_up + wasted_down, 0U);
}

TEST(coordination_measures, leaving_target) {
  sample own_report;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto w = settled_cluster(seed);
    const replica_plan r = w->row_in_table().replicas.front();
    const time_point start = w->now();
    w->set_leaving(r.members.at(seed % r.members.size()));
    EXPECT_TRUE(w->run_until([&] { return !w->routed_anywhere(r.id); }, test_timeout));
    own_report.add(w->now() - start);
  }
  print("target reports leaving to no route on any node", own_report);
  EXPECT_LT(own_report.at(1.0), 2.0);
}

}  // namespace
}  // namespace arbutus::testing
