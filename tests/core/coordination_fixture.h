// Fixture of the coordination tests: a simulated cluster in a stable state, and helpers that wait
// for expected events.
#pragma once

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <optional>

#include "fake_cluster.h"
#include "process/assignment_writer.h"

namespace arbutus::testing {

using ::testing::IsEmpty;

// Long enough for simulated nodes to agree, send orders, load models and observe the result.
inline constexpr duration test_timeout = 30s;

// Runs a simulation in which all replicas serve and the row does not change.
class coordination : public ::testing::Test {
 protected:
  void bring_up(cluster_options o = {}) {
    cluster_.emplace(o);
    replicas_ = o.replicas;
    ASSERT_TRUE(cluster_->run_until([&] { return cluster_->all_serve(replicas_); }, test_timeout));
    cluster_->run_for(3s);
    row_ = cluster_->row_in_table();
    ASSERT_EQ(row_.replicas.size(), replicas_);
    for (const replica_plan& r : row_.replicas) {
      ASSERT_EQ(r.standbys.size(), o.standbys_per_replica);
    }
  }
  void TearDown() override { EXPECT_THAT(cluster_->violations, IsEmpty()); }

  [[nodiscard]] bool all_serve() const { return cluster_->all_serve(replicas_); }
  [[nodiscard]] bool serve_within(duration d) {
    return cluster_->run_until([&] { return all_serve(); }, d);
  }
  [[nodiscard]] duration time_until(const std::function<bool()>& condition) {
    const time_point start = cluster_->now();
    EXPECT_TRUE(cluster_->run_until(condition, test_timeout));
    return cluster_->now() - start;
  }
  [[nodiscard]] duration time_to_no_route(const replica_id& id) {
    return time_until([&] { return !cluster_->routed_anywhere(id); });
  }
  // Waits until a route is lost and then until all replicas serve again.
  [[nodiscard]] bool loses_route_and_recovers(duration d = test_timeout) {
    return cluster_->run_until([&] { return !all_serve(); }, 5s) && serve_within(d);
  }
  [[nodiscard]] std::uint64_t activations() {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < cluster_->node_count(); ++i) {
      sum += cluster_->node(i).status(cluster_->now()).counters.activations;
    }
    return sum;
  }

  std::optional<fake_cluster> cluster_;
  std::size_t replicas_{};
  assignment row_;  // assignment row after startup
};

}  // namespace arbutus::testing
