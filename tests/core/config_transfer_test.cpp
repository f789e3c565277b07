// Transfer of configurations from the hub of a data centre to its nodes: deltas, transfer in parts,
// and the time until all nodes have a change.
#include "process/config_transfer.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "base/rng.h"
#include "process/config_delta.h"
#include "process/config_distributor.h"

namespace arbutus {
namespace {

std::string text_with(std::uint64_t version, std::size_t routes) {
  std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
  for (std::size_t i = 0; i < routes; ++i) {
    text += (i > 0 ? "," : "") + std::string(R"({"name":"r-)") + std::to_string(i * 7919) +
            R"(","hostname":"desk.example","prefix":"/p)" + std::to_string(i * 104729) +
            R"(/","route-type":"streaming","timeout-ms":6000,"service":"llm","public":false})";
  }
  return text + R"(],"services":[{"name":"llm"}]})";
}

TEST(ConfigDelta, AChangedVersionNumberGivesASmallDelta) {
  const std::string base = text_with(16, 3050);
  const std::string same_but_version = text_with(20, 3050);
  const std::string more = text_with(20, 4450);
  EXPECT_LT(make_config_delta(base, same_but_version).size(), 200U);
  EXPECT_LT(make_config_delta(base, more).size(), more.size() - base.size() + 200);
  EXPECT_EQ(apply_config_delta(base, make_config_delta(base, more)), more);
  EXPECT_EQ(apply_config_delta(more, make_config_delta(more, base)), base);
  EXPECT_EQ(apply_config_delta("", make_config_delta("", base)), base);
  EXPECT_FALSE(apply_config_delta(more, make_config_delta(base, same_but_version)));
}

TEST(ConfigDelta, DamagedBytesGiveNoText) {
  const std::string base = text_with(16, 40);
  const std::string text = text_with(20, 60);
  const std::string delta = make_config_delta(base, text);
  ASSERT_EQ(apply_config_delta(base, delta), text);
  rng random(7);
  for (int i = 0; i < 2000; ++i) {
    std::string damaged = delta;
    damaged[random.below(damaged.size())] = static_cast<char>(random.below(256));
    const auto result = apply_config_delta(base, damaged);
    EXPECT_TRUE(!result || *result == text);
  }
  for (std::size_t cut = 0; cut < delta.size(); ++cut) {
    EXPECT_FALSE(apply_config_delta(base, delta.substr(0, cut)));
  }
}

TEST(ConfigTransfer, PartsOfDifferentVersionsAreNeverCombined) {
  constexpr std::size_t most = 1000;
  config_history hub;
  config_history node;
  hub.add(5, text_with(1, 10));
  node.add(5, text_with(1, 10));
  hub.add(6, text_with(2, 60));
  config_receiver receiver;
  const auto first = hub.part_for(5, receiver.progress(), most);
  ASSERT_TRUE(first);
  EXPECT_FALSE(receiver.receive(*first, node));
  EXPECT_EQ(receiver.progress().bytes, most);
  hub.add(8, text_with(3, 90));
  std::optional<std::string> text;
  for (int i = 0; i < 100 && !text; ++i) {
    const auto part = hub.part_for(5, receiver.progress(), most);
    ASSERT_TRUE(part);
    text = receiver.receive(*part, node);
  }
  EXPECT_EQ(text, text_with(3, 90));
}

TEST(ConfigTransfer, ALaggingHubNeverRevertsANode) {
  config_history lagging;
  config_history node;
  lagging.add(5, text_with(1, 10));
  node.add(9, text_with(2, 20));
  config_receiver receiver;
  EXPECT_FALSE(lagging.part_for(9, receiver.progress(), 1000));
  const auto old = lagging.part_for(0, receiver.progress(), 100'000);
  ASSERT_TRUE(old);
  EXPECT_FALSE(receiver.receive(*old, node));
  node.add(5, text_with(1, 10));
  EXPECT_EQ(node.newest_version(), 9U);
}

// Simulates the nodes of one data centre and their hub in rounds of heartbeats, some of which are
// lost. Nodes can also read from the store.
class distribution_simulation {
 public:
  struct setup {
    std::size_t nodes = 25;
    std::uint32_t hub_mbps = 200;
    std::uint32_t node_mbps = 20;
    double lost = 0;                // fraction of heartbeats that are lost
    bool base_known = true;         // whether the nodes have the version before the change
    bool refused_by_store = false;  // whether the store refuses all nodes but the hub
    std::uint64_t seed = 1;
  };

  explicit distribution_simulation(const setup& s)
      : setup_(s), distributor_(s.hub_mbps), random_(s.seed) {
    nodes_.resize(s.nodes);
    hub_.add(1, text_with(1, 2450));
    for (node& n : nodes_) {
      if (s.base_known) {
        n.held.add(1, text_with(1, 2450));
      }
    }
  }

  // Time from when a configuration change is in the store until all nodes have it.
  duration time_until_all_have(const std::string& text) {
    hub_.add(2, text);
    if (setup_.hub_mbps == setup_.node_mbps) {
      now_ += read_time(text);  // time of the hub's own read from the store
    }
    while (!all_have() && now_ < time_point{} + 60s) {
      now_ += 200ms;
      round(text);
    }
    return now_ - time_point{};
  }

  [[nodiscard]] std::size_t store_reads() const { return reads_; }
  [[nodiscard]] std::size_t max_bytes_per_round() const { return max_bytes_; }

 private:
  struct node {
    config_history held;
    config_receiver receiver;
    config_lag lag;
    time_point has_read_at = time_point::max();
  };

  // Time to read the text, as Base64, over the link of a node.
  [[nodiscard]] duration read_time(const std::string& text) const {
    return from_seconds(static_cast<double>(text.size()) * 4 / 3 * 8 / (setup_.node_mbps * 1e6));
  }

  void round(const std::string& text) {
    distributor_.begin_round();
    std::size_t bytes = 0;
    for (node& n : nodes_) {
      if (random_.unit() < setup_.lost) {
        continue;
      }
      const auto next = distributor_.next_part_for(
          hub_, {n.held.newest_version(), n.receiver.progress(), setup_.refused_by_store},
          nodes_.size() + 1);
      n.lag.version_reported(now_, hub_.newest_version());
      if (next.part) {
        bytes += next.part->bytes.size();
        if (auto whole = n.receiver.receive(*next.part, n.held)) {
          n.held.add(next.part->version, std::move(*whole));
        }
      }
      if (next.withheld && n.has_read_at == time_point::max()) {
        n.has_read_at = now_ + read_time(text);
        ++reads_;
      }
      if (n.has_read_at <= now_) {
        n.held.add(2, text);
      }
    }
    max_bytes_ = std::max(max_bytes_, bytes);
  }

  [[nodiscard]] bool all_have() const {
    return std::ranges::all_of(nodes_, [](const node& n) { return n.held.newest_version() == 2; });
  }

  setup setup_;
  config_history hub_;
  config_distributor distributor_;
  rng random_;
  std::vector<node> nodes_;
  time_point now_{};
  std::size_t reads_ = 0;
  std::size_t max_bytes_ = 0;
};

// Maximum time to distribute a change: the operators' bound, less the time for a proof of
// freshness, a heartbeat and decoding.
constexpr duration distribution_bound = 2s;

TEST(ConfigDistribution, TwoThousandAddedRoutesReachAllNodesInTime) {
  const std::string more = text_with(2, 4450);
  for (const std::size_t nodes : {25U, 113U}) {
    for (const std::uint32_t hub : {20U, 200U, 1000U}) {
      for (const double lost : {0.0, 0.1}) {
        for (const bool base_known : {true, false}) {
          distribution_simulation simulation(
              {nodes, hub, 20, lost, base_known, false, nodes + hub});
          EXPECT_LE(simulation.time_until_all_have(more), distribution_bound)
              << nodes << " nodes, hub " << hub << " Mbit/s, lost " << lost << ", base "
              << base_known;
          const std::size_t tenth_of_a_second = hub * 12'500;
          EXPECT_LE(simulation.max_bytes_per_round(), tenth_of_a_second);
        }
      }
    }
  }
}

TEST(ConfigDistribution, ASmallChangeOfALargeConfigurationIsNotReadWholeByEachNode) {
  for (const std::uint32_t hub : {20U, 200U}) {
    distribution_simulation simulation({113, hub, 20, 0, true, false, 3});
    EXPECT_LE(simulation.time_until_all_have(text_with(2, 2460)), 600ms);
    EXPECT_EQ(simulation.store_reads(), 0U);
  }
}

TEST(ConfigDistribution, NodesWithoutStoreAccessReceiveALargeChange) {
  distribution_simulation simulation({25, 200, 20, 0.1, true, true, 5});
  EXPECT_LE(simulation.time_until_all_have(text_with(2, 4450)), distribution_bound);
  EXPECT_EQ(simulation.store_reads(), 0U);
}

TEST(ConfigLag, AKnownMissingVersionIsStaleAfterHalfTheBound) {
  constexpr duration bound = 3s;
  const time_point start{100s};
  config_lag lag;
  lag.version_applied(16);
  EXPECT_FALSE(lag.is_stale(start, bound));
  lag.version_reported(start, 20);
  EXPECT_FALSE(lag.is_stale(start + 1s, bound));
  // Neither a further version nor a late report of an older one restarts the time for which the
  // node has been behind.
  lag.version_reported(start + 1s, 24);
  lag.version_reported(start + 1100ms, 16);
  EXPECT_TRUE(lag.is_stale(start + 1500ms, bound));
  lag.version_applied(20);
  EXPECT_FALSE(lag.is_stale(start + 1600ms, bound));
  EXPECT_TRUE(lag.is_stale(start + 2500ms, bound));
  lag.version_applied(24);
  EXPECT_FALSE(lag.is_stale(start + 10s, bound));
  // A node that knows of no newer configuration version, as in a partitioned data centre, is not
  // stale.
  EXPECT_FALSE(lag.is_stale(start + 1000s, bound));
}

TEST(ConfigLag, FrequentVersionsAppliedInTimeAreNeverStale) {
  const time_point start{100s};
  config_lag lag;
  for (std::uint64_t row = 1; row <= 200; ++row) {
    const time_point now = start + row * 200ms;
    lag.version_reported(now, row);
    EXPECT_FALSE(lag.is_stale(now, 3s)) << row;
    lag.version_applied(row - 1);
  }
}

}  // namespace
}  // namespace arbutus
