// Simulation of routing: nodes choose replicas independently, and each replica runs as many
// requests at a time as it has slots.
#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <unordered_map>

#include "base/hash.h"
#include "base/rng.h"
#include "request/event_queue.h"
#include "request/policy_bench.h"
#include "request/router.h"

namespace arbutus {

namespace {

const model_id bench_model("m");

double quantile(std::vector<double>& values, double q) {
  if (values.empty()) {
    return 0;
  }
  const auto at = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
  return values[at];
}

// Prefix cache of one replica with least-recently-used eviction.
class block_cache {
 public:
  explicit block_cache(std::size_t capacity) : capacity_(capacity) {}

  // Returns how many leading blocks were cached; adds the missing ones.
  std::uint32_t use(const prefix_blocks& blocks, std::vector<std::uint64_t>& stored,
                    std::vector<std::uint64_t>& evicted) {
    std::uint32_t hits = 0;
    bool leading = true;
    for (const std::uint64_t block : blocks) {
      const auto found = entries_.find(block);
      leading = leading && found != entries_.end();
      hits += leading ? 1 : 0;
      if (found != entries_.end()) {
        order_.splice(order_.end(), order_, found->second);
        continue;
      }
      entries_[block] = order_.insert(order_.end(), block);
      stored.push_back(block);
    }
    while (order_.size() > capacity_) {
      evicted.push_back(order_.front());
      entries_.erase(order_.front());
      order_.pop_front();
    }
    return hits;
  }

 private:
  std::size_t capacity_;
  std::list<std::uint64_t> order_;  // least recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> entries_;
};

struct job {
  request_facts facts;
  std::size_t node{};
  route_choice choice;
  time_point sent;
  time_point first_token;
};

struct simulated_replica {
  replica_id id;
  double slowdown_factor = 1.0;
  block_cache cache;
  std::deque<job> queue;
  std::uint32_t running = 0;
  std::uint64_t event_sequence = 0;
};

template <routing_policy Policy>
class routing_run {
 public:
  template <class Make>
  routing_run(const routing_load& load, std::uint64_t seed, Make make)
      : load_(load), random_(seed) {
    for (std::uint32_t i = 0; i < load.replicas; ++i) {
      const bool is_straggler = i < load.stragglers;
      replicas_.push_back({replica_id("r" + std::to_string(100 + i)),
                           is_straggler ? load.straggler_factor : 1.0,
                           block_cache(load.cache_blocks),
                           {}});
    }
    for (std::uint32_t i = 0; i < load.nodes; ++i) {
      nodes_.push_back({make(seed + i), {}, routes()});
    }
    make_prefixes();
  }

  routing_figures run() {
    events_.at(time_point{}, [this](time_point now) { report(now); });
    events_.at(time_point{}, [this](time_point now) { arrive(now); });
    events_.run_until(time_point{} + load_.length);
    figures_.p50_first_token = quantile(first_tokens_, 0.5);
    figures_.p99_first_token = quantile(first_tokens_, 0.99);
    figures_.p99_answer = quantile(answers_, 0.99);
    figures_.cache_hits = static_cast<double>(hits_) / static_cast<double>(std::max(1UL, blocks_));
    return figures_;
  }

 private:
  struct node_state {
    Policy policy;
    in_flight flights;
    routing_snapshot routes;
  };

  routing_snapshot routes() const {
    routing_snapshot snapshot;
    for (const simulated_replica& r : replicas_) {
      replica_route route;
      route.id = r.id;
      route.model = bench_model;
      route.slots = load_.slots;
      route.valid_until = time_point::max();
      route.serving_since = time_point{} - 1h;
      snapshot.replicas.push_back(route);
    }
    return snapshot;
  }

  void make_prefixes() {
    double total = 0;
    for (std::uint32_t i = 0; i < load_.prefixes; ++i) {
      prefix_blocks blocks;
      for (std::uint32_t b = 0; b < load_.blocks; ++b) {
        blocks.push_back(stable_hash(std::to_string(i) + "/" + std::to_string(b)));
      }
      prefixes_.push_back(blocks);
      total += 1.0 / (i + 1.0);
      popularity_.push_back(total);
    }
  }

  const prefix_blocks& random_prefix() {
    const double at = random_.unit() * popularity_.back();
    const auto found = std::lower_bound(popularity_.begin(), popularity_.end(), at);
    return prefixes_[static_cast<std::size_t>(found - popularity_.begin())];
  }

  void report(time_point now) {
    std::vector<std::pair<std::uint32_t, std::uint32_t>> loads;
    for (const simulated_replica& r : replicas_) {
      loads.emplace_back(r.running, static_cast<std::uint32_t>(r.queue.size()));
    }
    events_.at(now + load_.load_report_lag, [this, loads, now](time_point) {
      for (node_state& node : nodes_) {
        for (std::size_t i = 0; i < loads.size(); ++i) {
          node.routes.replicas[i].running = loads[i].first;
          node.routes.replicas[i].queued = loads[i].second;
          node.routes.replicas[i].load_reported_at = now;
        }
      }
    });
    events_.at(now + load_.report_interval, [this](time_point at) { report(at); });
  }

  void arrive(time_point now) {
    job j;
    j.facts.id = request_id(std::to_string(++last_id_));
    j.facts.model = bench_model;
    j.facts.prefix = random_prefix();
    j.facts.cost = std::max(0.05, -std::log(1.0 - random_.unit()));
    j.node = random_.below(nodes_.size());
    j.sent = now;
    node_state& node = nodes_[j.node];
    const auto choice = node.policy.choose(now, node.routes, j.facts, node.flights, {});
    if (choice) {
      j.choice = *choice;
      send(now, std::move(j));
    }
    const double service = to_seconds(load_.decode_time_per_cost) +
                           load_.blocks * to_seconds(load_.prefill_time_per_block);
    const double rate = load_.utilisation * load_.replicas * load_.slots / service;
    events_.at(now + from_seconds(-std::log(1.0 - random_.unit()) / rate),
               [this](time_point at) { arrive(at); });
  }

  void send(time_point now, job j) {
    node_state& node = nodes_[j.node];
    node.flights.sent(now, j.facts.id, j.choice.replica, j.facts.cost);
    if constexpr (requires { node.policy.sent(now, j.choice.replica, j.facts); }) {
      node.policy.sent(now, j.choice.replica, j.facts);
    }
    figures_.signature = stable_hash(j.choice.replica.str(), figures_.signature);
    simulated_replica& r = replicas_[j.choice.index];
    r.queue.push_back(std::move(j));
    start(now, r);
  }

  void start(time_point now, simulated_replica& r) {
    while (r.running < load_.slots && !r.queue.empty()) {
      job j = std::move(r.queue.front());
      r.queue.pop_front();
      ++r.running;
      const std::uint32_t cached = use_cache(now, r, j.facts.prefix);
      const double uncached = load_.blocks - cached;
      j.first_token =
          now + from_seconds(r.slowdown_factor *
                             (0.01 + uncached * to_seconds(load_.prefill_time_per_block)));
      const double decode =
          r.slowdown_factor * j.facts.cost * to_seconds(load_.decode_time_per_cost);
      events_.at(j.first_token + from_seconds(decode),
                 [this, &r, j](time_point at) { end(at, r, j); });
    }
  }

  std::uint32_t use_cache(time_point now, simulated_replica& r, const prefix_blocks& blocks) {
    cache_events batch{r.id, 1, ++r.event_sequence, {}, {}};
    const std::uint32_t cached = r.cache.use(blocks, batch.stored, batch.evicted);
    hits_ += cached;
    blocks_ += blocks.size();
    const bool lost = random_.unit() < load_.lost_event_batch_fraction;
    if constexpr (requires(Policy p) { p.prefixes(); }) {
      if (!lost) {
        events_.at(now + load_.cache_event_lag, [this, batch](time_point at) {
          for (node_state& node : nodes_) {
            node.policy.prefixes().on_cache_events(at, batch);
          }
        });
      }
    }
    return cached;
  }

  void end(time_point now, simulated_replica& r, const job& j) {
    --r.running;
    ++figures_.answered;
    first_tokens_.push_back(to_seconds(j.first_token - j.sent));
    answers_.push_back(to_seconds(now - j.sent));
    node_state& node = nodes_[j.node];
    node.flights.ended(now, j.facts.id, r.id);
    node.policy.observe(now, {.replica = r.id,
                              .cost = j.facts.cost,
                              .first_token = j.first_token - j.sent,
                              .total = now - j.sent,
                              .expected_wait = j.choice.expected_wait});
    start(now, r);
  }

  routing_load load_;
  rng random_;
  event_queue events_;
  std::vector<simulated_replica> replicas_;
  std::vector<node_state> nodes_;
  std::vector<prefix_blocks> prefixes_;
  std::vector<double> popularity_;  // cumulative probability of each prefix
  std::vector<double> first_tokens_;
  std::vector<double> answers_;
  std::uint64_t hits_ = 0;
  std::uint64_t blocks_ = 0;
  std::uint64_t last_id_ = 0;
  routing_figures figures_;
};

}  // namespace

std::string to_string(policy_kind kind) {
  switch (kind) {
    case policy_kind::expected_completion:
      return "expected_completion";
    case policy_kind::least_reported_load:
      return "least_reported_load";
    case policy_kind::two_choices:
      return "two_choices";
    case policy_kind::round_robin:
      return "round_robin";
    case policy_kind::random_choice:
      break;
  }
  return "random_choice";
}

routing_figures run_routing(policy_kind kind, const routing_load& load, std::uint64_t seed) {
  switch (kind) {
    case policy_kind::expected_completion: {
      expected_completion_settings settings;
      settings.nodes = load.nodes;
      settings.prefill_time_per_block = load.prefill_time_per_block;
      const auto make = [&](std::uint64_t s) { return expected_completion(s, settings); };
      return routing_run<expected_completion>(load, seed, make).run();
    }
    case policy_kind::least_reported_load: {
      const auto make = [](std::uint64_t s) { return least_reported_load(s); };
      return routing_run<least_reported_load>(load, seed, make).run();
    }
    case policy_kind::two_choices: {
      const auto make = [](std::uint64_t s) { return two_choices(s); };
      return routing_run<two_choices>(load, seed, make).run();
    }
    case policy_kind::round_robin: {
      const auto make = [](std::uint64_t) { return round_robin(); };
      return routing_run<round_robin>(load, seed, make).run();
    }
    case policy_kind::random_choice:
      break;
  }
  const auto make = [](std::uint64_t s) { return random_choice(s); };
  return routing_run<random_choice>(load, seed, make).run();
}

}  // namespace arbutus
