// Tests rate limits of workspaces over six nodes that lend shares to each other by messages, with
// network partitions.
#include <gtest/gtest.h>

#include <numeric>

#include "admission/limits.h"
#include "base/rng.h"
#include "request/policy_bench.h"

namespace arbutus {
namespace {

const workspace_id w("w");
// The start of a process whose share of the limits is whole from the first moment of a test on.
constexpr time_point long_ago = time_point{} - 1h;

int passed_in(rate_limits& limits, time_point& now, duration time, duration every) {
  int passed = 0;
  for (const time_point end = now + time; now < end; now += every) {
    passed += std::holds_alternative<limit_pass>(limits.take(now, w)) ? 1 : 0;
  }
  return passed;
}

TEST(Limits, LoneNodeHasTheWholeLimit) {
  rate_limits limits(long_ago, node_id("a"));
  time_point now{};
  limits.set_nodes(now, {node_id("a")});
  limits.set_limit(now, w, {10, 5});
  EXPECT_NEAR(passed_in(limits, now, 10s, 10ms), 105, 2);
  const limit_result v = limits.take(now, w);
  ASSERT_TRUE(std::holds_alternative<limit_exceeded>(v));
  const duration wait = std::get<limit_exceeded>(v).retry_after;
  EXPECT_GT(wait, 0us);
  EXPECT_TRUE(std::holds_alternative<limit_pass>(limits.take(now + wait + 1us, w)));
}

TEST(Limits, NoLimitPassesAll) {
  rate_limits limits({}, node_id("a"));
  limits.set_nodes({}, {node_id("a")});
  EXPECT_TRUE(std::holds_alternative<limit_pass>(limits.take({}, w)));
  limits.set_limit({}, w, {0, 0});
  EXPECT_TRUE(std::holds_alternative<limit_pass>(limits.take({}, w)));
}

TEST(Limits, NodeWithoutPeersUsesOnlyItsOwnShare) {
  rate_limits limits(long_ago, node_id("a"));
  limits.set_nodes({}, {node_id("a"), node_id("b"), node_id("c")});
  limits.set_limit({}, w, {30, 0});
  EXPECT_DOUBLE_EQ(limits.share({}, w), 10);
  (void)limits.take(time_point{} + 1s, w, 100);
  limits.update(time_point{} + 1s);
  EXPECT_DOUBLE_EQ(limits.share(time_point{} + 1s, w), 10);
  limits.set_limit(time_point{} + 1s, w, {60, 0});
  EXPECT_DOUBLE_EQ(limits.share(time_point{} + 1s, w), 20);
}

// Guards against exceeding a limit while a resumed node reads old messages: node a lends a part of
// its share of the limit to b; b is paused with the message unread and resumes after the lease. The
// lease must not start when its message is read.
TEST(Limits, LeaseReadAfterADelayHasExpired) {
  const node_id a("a");
  const node_id b("b");
  const time_point t = time_point{} + 10s;
  rate_limits lender(long_ago, a);
  rate_limits borrower(long_ago, b);
  for (rate_limits* n : {&lender, &borrower}) {
    n->set_nodes(t, {a, b});
    n->set_limit(t, w, {20, 0});
  }
  (void)borrower.take(t + 1s, w, 100);
  borrower.update(t + 1s);
  lender.received(t + 1s, b, borrower.make_message(t + 1s, a));
  lender.update(t + 2s);
  const limit_message message = lender.make_message(t + 2s, b);
  EXPECT_LT(lender.share(t + 2s, w), 10) << "the share drops before the borrower uses it";
  EXPECT_DOUBLE_EQ(lender.share(t + 6s, w), 10);
  rate_limits paused = borrower;
  borrower.received(t + 2s, a, message);
  EXPECT_GT(borrower.share(t + 2s, w), 10);
  EXPECT_DOUBLE_EQ(borrower.share(t + 5s, w), 10) << "four seconds after the echoed message";
  paused.received(t + 7s, a, message);
  EXPECT_DOUBLE_EQ(paused.share(t + 7s, w), 10);
}

std::vector<node_id> six_nodes() {
  std::vector<node_id> names;
  for (int i = 0; i < 6; ++i) {
    names.emplace_back("n" + std::to_string(i));
  }
  return names;
}

struct late_message {
  std::size_t from{};
  std::size_t to{};
  limit_message message;
};

// Guards against exceeding a workspace's limit during network partitions: random cuts, also of
// single directions, while the demand moves between nodes. No side may use the shares of peers that
// it cannot reach.
TEST(Limits, SharesStayBoundedThroughRandomCuts) {
  const std::vector<node_id> names = six_nodes();
  double worst = 0;
  double most_of_one = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    rng random(seed);
    std::vector<rate_limits> nodes;
    for (const node_id& name : names) {
      nodes.emplace_back(time_point{}, name);
      nodes.back().set_nodes({}, names);
      nodes.back().set_limit({}, w, {100, 0});
    }
    std::vector<late_message> late;
    std::vector<bool> hears(36, true);
    std::vector<double> demand(6, 10);
    for (int second = 1; second < 200; ++second) {
      if (second % 10 == 0) {
        const double cut = random.unit() < 0.3 ? 0.0 : random.unit();
        for (std::size_t i = 0; i < 36; ++i) {
          hears[i] = random.unit() >= cut;
        }
      }
      if (second % 7 == 0) {
        for (double& d : demand) {
          d = random.unit() < 0.3 ? 200 * random.unit() : random.unit();
        }
      }
      const time_point now = time_point{} + std::chrono::seconds(second);
      for (std::size_t i = 0; i < 6; ++i) {
        (void)nodes[i].take(now, w, demand[i]);
        nodes[i].update(now);
        for (std::size_t j = 0; j < 6; ++j) {
          if (i == j) {
            continue;
          }
          const limit_message told = nodes[i].make_message(now, names[j]);
          if (hears[i * 6 + j] && random.unit() < 0.1) {
            late.push_back({i, j, told});
          } else if (hears[i * 6 + j]) {
            nodes[j].received(now, names[i], told);
          }
        }
      }
      while (!late.empty() && random.unit() < 0.5) {
        const std::size_t n = random.below(late.size());
        nodes[late[n].to].received(now, names[late[n].from], late[n].message);
        late.erase(late.begin() + static_cast<std::ptrdiff_t>(n));
      }
      double sum = 0;
      for (const rate_limits& n : nodes) {
        sum += n.share(now, w);
      }
      worst = std::max(worst, sum / 100);
      most_of_one = std::max(most_of_one, nodes[0].share(now, w) / 100);
    }
  }
  EXPECT_LE(worst, 1.0 + 1e-9);
  EXPECT_GT(most_of_one, 0.6) << "shares do move";
}

// What six nodes admit together in 60 s at a demand above the limit, each killed and started again
// every `life`; messages about demand and leases are exchanged each second.
double admitted_over_restarts(const rate_limit& limit, duration life) {
  const std::vector<node_id> names = six_nodes();
  std::vector<rate_limits> nodes;
  const auto make = [&](time_point now, std::size_t i) {
    rate_limits node(now, names[i]);
    node.set_nodes(now, names);
    node.set_limit(now, w, limit);
    return node;
  };
  for (std::size_t i = 0; i < names.size(); ++i) {
    nodes.push_back(make(long_ago, i));
  }
  double admitted = 0;
  for (duration at{}; at < 60s; at += 10ms) {
    const time_point now = time_point{} + at;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (at > 0s && at % life == 0s) {
        nodes[i] = make(now, i);
      }
      // Demand that moves between the nodes, so that they lend.
      const bool wants = (at / 5s) % 6 == static_cast<std::int64_t>(i) || at % 500ms == 0s;
      while (wants && std::holds_alternative<limit_pass>(nodes[i].take(now, w))) {
        admitted += 1;
      }
      if (at % 1s == 0s) {
        nodes[i].update(now);
        for (std::size_t j = 0; j < nodes.size(); ++j) {
          if (j != i) {
            nodes[j].received(now, names[i], nodes[i].make_message(now, names[j]));
          }
        }
      }
    }
  }
  return admitted;
}

// Guards against processes that draw the burst of a limit, and what an earlier one has lent, again
// with each start.
TEST(Limits, RestartsAddNothing) {
  const rate_limit limit{60, 30};
  for (const duration life : {duration{100ms}, duration{1s}, duration{3s}, duration{7s}}) {
    EXPECT_LE(admitted_over_restarts(limit, life), limit.per_second * 60 + limit.burst)
        << to_seconds(life);
  }
}

// Guards against a workspace that waits for its first request, as it came with a later version.
TEST(Limits, AWorkspaceThatIsAddedLaterHasItsBurst) {
  rate_limits limits(long_ago, node_id("a"));
  limits.set_nodes({}, {node_id("a"), node_id("b")});
  limits.set_limit({}, w, {1, 10});
  time_point now{};
  EXPECT_EQ(passed_in(limits, now, 50ms, 10ms), 5);
}

TEST(Limits, FollowDemandAndStayBounded) {
  const std::vector<limit_phase_figures> figures = run_limits(5);
  for (const limit_phase_figures& f : figures) {
    // Requests in one second may include the burst, a tenth of the limit, in addition to the rate.
    EXPECT_LT(f.worst_second, 1.11) << f.phase;
    if (f.phase == "that demand, settled" || f.phase == "even demand, joined" ||
        f.phase == "cut in halves, all want 2x" || f.phase == "joined again") {
      EXPECT_GT(f.passed, 0.95) << f.phase;
    }
  }
}

}  // namespace
}  // namespace arbutus
