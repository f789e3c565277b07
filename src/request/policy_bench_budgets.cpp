// Simulations of retry budgets and of shared rate limits.
#include <algorithm>

#include "admission/limits.h"
#include "base/hash.h"
#include "base/rng.h"
#include "request/policy_bench.h"
#include "request/retry.h"

namespace arbutus {

namespace {

// ---- retries ----

constexpr int retry_seconds = 120;
constexpr int requests_per_second = 100;
constexpr int failing_from = 30;
constexpr int failing_to = 90;

// A node's attempts at one request, including retries. `downstream` makes one attempt at the next
// node or the target and returns its outcome.
template <class Downstream>
execution try_hop(time_point now, const attempt_context& context, bool with_budget,
                  retry_budget& budget, rng& random, Downstream downstream) {
  attempt_context own = context;
  budget.first_attempt(now);
  for (;;) {
    const execution result = downstream(own);
    if (!with_budget) {
      if (result == execution::done || own.attempt >= budget.settings().max_attempts) {
        return result;
      }
      ++own.attempt;
      continue;
    }
    const retry_decision next = decide_retry(now, own, result, true, now + 30s, 1s, budget, random);
    const auto* again = std::get_if<retry_at>(&next);
    if (again == nullptr) {
      return result;
    }
    own.attempt = again->attempt;
  }
}

// ---- limits ----

constexpr std::size_t limit_nodes = 6;
constexpr double bench_limit = 600;
constexpr duration limit_step = 10ms;
constexpr duration gossip_lag = 100ms;

const workspace_id bench_workspace("w");

struct limit_phase {
  std::string name;
  std::vector<double> demand;  // requests per second at each node
  std::vector<int>
      partition;  // number of each node's partition; only nodes of one partition exchange messages
};

struct usage_message {
  time_point at;
  std::size_t from{};
  std::size_t to{};
  limit_message content;
};

class limit_run {
 public:
  explicit limit_run(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < limit_nodes; ++i) {
      names_.emplace_back("n" + std::to_string(i));
    }
    for (std::size_t i = 0; i < limit_nodes; ++i) {
      nodes_.push_back(make_node(i));
    }
  }

  limit_phase_figures run(const limit_phase& phase, int seconds) {
    double total = 0;
    double worst = 0;
    for (int s = 0; s < seconds; ++s) {
      const double passed = run_second(phase);
      total += passed;
      worst = std::max(worst, passed);
    }
    double demand = 0;
    for (const double d : phase.demand) {
      demand += d;
    }
    return {phase.name, demand / bench_limit, total / seconds / bench_limit, worst / bench_limit};
  }

  void restart(std::size_t node) { nodes_[node] = make_node(node); }

 private:
  rate_limits make_node(std::size_t i) {
    rate_limits limits(now_, names_[i]);
    limits.set_nodes(now_, names_);
    limits.set_limit(now_, bench_workspace, {bench_limit, bench_limit / 10});
    return limits;
  }

  double run_second(const limit_phase& phase) {
    double passed = 0;
    for (duration t{0}; t < 1s; t += limit_step) {
      now_ += limit_step;
      deliver(phase);
      for (std::size_t i = 0; i < limit_nodes; ++i) {
        passed += submit_requests(i, phase.demand[i]);
        // Nodes send their usage at different times.
        if (t == limit_step * static_cast<std::int64_t>(i * 7)) {
          send_usage(i);
        }
      }
    }
    return passed;
  }

  void send_usage(std::size_t from) {
    nodes_[from].update(now_);
    for (std::size_t to = 0; to < limit_nodes; ++to) {
      if (to != from) {
        messages_in_transit_.push_back(
            {now_ + gossip_lag, from, to, nodes_[from].make_message(now_, names_[to])});
      }
    }
  }

  // Returns how many requests passed the limit.
  double submit_requests(std::size_t node, double demand) {
    const double expected = demand * to_seconds(limit_step);
    auto count = static_cast<int>(expected);
    count += random_.unit() < expected - count ? 1 : 0;
    double passed = 0;
    for (int i = 0; i < count; ++i) {
      passed +=
          std::holds_alternative<limit_pass>(nodes_[node].take(now_, bench_workspace)) ? 1 : 0;
    }
    return passed;
  }

  void deliver(const limit_phase& phase) {
    for (const usage_message& m : messages_in_transit_) {
      if (m.at <= now_ && phase.partition[m.to] == phase.partition[m.from]) {
        nodes_[m.to].received(now_, names_[m.from], m.content);
      }
    }
    std::erase_if(messages_in_transit_, [&](const usage_message& m) { return m.at <= now_; });
  }

  rng random_;
  time_point now_;
  std::vector<node_id> names_;
  std::vector<rate_limits> nodes_;
  std::vector<usage_message> messages_in_transit_;
};

}  // namespace

retry_figures run_retries(bool with_budget, double failing_fraction, std::uint64_t seed) {
  rng random(seed);
  retry_budget outer;
  retry_budget inner;
  retry_figures figures;
  for (int second = 0; second < retry_seconds; ++second) {
    const bool failing = second >= failing_from && second < failing_to;
    std::uint64_t attempts = 0;
    for (int i = 0; i < requests_per_second; ++i) {
      const time_point now = time_point{} + std::chrono::seconds(second) + i * 10ms;
      const auto target = [&](const attempt_context&) {
        ++attempts;
        const bool fails = failing && random.unit() < failing_fraction;
        return fails ? execution::unknown : execution::done;
      };
      const auto second_hop = [&](const attempt_context& context) {
        return try_hop(now, next_hop_context(context, with_budget ? context.attempt : 1),
                       with_budget, inner, random, target);
      };
      const execution result = try_hop(now, {}, with_budget, outer, random, second_hop);
      figures.answered += result == execution::done ? 1 : 0;
    }
    figures.requests += requests_per_second;
    figures.attempts += attempts;
    const double ratio = static_cast<double>(attempts) / requests_per_second;
    figures.max_attempts_per_request_in_second =
        std::max(figures.max_attempts_per_request_in_second, ratio);
  }
  figures.signature = stable_hash(std::to_string(figures.attempts), figures.answered);
  return figures;
}

std::vector<limit_phase_figures> run_limits(std::uint64_t seed) {
  const std::vector<int> connected(limit_nodes, 0);
  const std::vector<int> halves{0, 0, 0, 1, 1, 1};
  const std::vector<int> isolated{0, 1, 2, 3, 4, 5};
  const std::vector<double> even(limit_nodes, 200);
  const std::vector<double> first_node{1000, 40, 40, 40, 40, 40};
  const std::vector<double> last_node{40, 40, 40, 40, 40, 1000};
  limit_run run(seed);
  std::vector<limit_phase_figures> figures;
  run.run({"start", even, connected}, 20);
  figures.push_back(run.run({"even demand, joined", even, connected}, 60));
  figures.push_back(run.run({"demand turns to one node", first_node, connected}, 30));
  figures.push_back(run.run({"that demand, settled", first_node, connected}, 60));
  figures.push_back(run.run({"cut in halves, same demand", first_node, halves}, 60));
  figures.push_back(run.run({"cut in halves, demand turned", last_node, halves}, 60));
  figures.push_back(run.run({"cut in halves, all want 2x", even, halves}, 60));
  figures.push_back(run.run({"each node alone, all want 2x", even, isolated}, 60));
  run.restart(5);
  figures.push_back(run.run({"alone, one node restarted", even, isolated}, 60));
  figures.push_back(run.run({"joined again", even, connected}, 60));
  return figures;
}

}  // namespace arbutus
