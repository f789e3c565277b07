// Estimates load, speed and completion time per replica.
#include "request/expected_completion.h"

#include <algorithm>

namespace arbutus {

namespace {

// Candidates within this fraction of the best count as ties. Ties are broken at random; otherwise
// nodes with the same reports would all send to the same replica.
constexpr double tie_tolerance = 0.01;
// Fraction of a replica's slots that is assumed usable directly after a repair.
constexpr double min_slow_start_fraction = 0.1;
// Caps an observation relative to the current estimate, so that a single outlier does not make a
// replica look like a straggler.
constexpr double max_observed_factor = 8.0;

double as_double(std::uint32_t value) {
  return static_cast<double>(value);
}

double slow_start_factor(time_point now, const replica_route& route, duration slow_start_duration) {
  const double part = to_seconds(now - route.serving_since) / to_seconds(slow_start_duration);
  return std::clamp(part, min_slow_start_fraction, 1.0);
}

}  // namespace

expected_completion::expected_completion(std::uint64_t seed,
                                         const expected_completion_settings& settings)
    : settings_(settings), random_(seed) {}

std::optional<route_choice> expected_completion::choose(time_point now,
                                                        const routing_snapshot& routes,
                                                        const request_facts& facts,
                                                        const in_flight& flights,
                                                        tried_replicas tried) {
  candidates all = gather_candidates(now, routes, facts, flights, tried);
  if (all.empty()) {
    return std::nullopt;
  }
  estimate(now, facts, all);
  candidate* choice = replica_due_for_probe(now, facts, all);
  if (choice == nullptr) {
    choice = best(all);
  }
  return route_choice{.replica = choice->route->id,
                      .index = choice->index,
                      .expected_wait = from_seconds(choice->wait),
                      .expected = from_seconds(choice->expected),
                      .last_resort = choice->avoided || choice->tried};
}

// Erases what was learned about a replica. Without this, a straggler whose slow member was replaced
// would stay avoided, since the replica keeps its id.
void expected_completion::forget(const replica_id& replica) {
  stats_.erase(replica);
  prefixes_.forget(replica);
}

void expected_completion::sent(time_point now, const replica_id& replica,
                               const request_facts& facts) {
  prefixes_.sent(now, replica, facts.prefix);
}

void expected_completion::observe(time_point now, const attempt_result& result) {
  replica_stats& known = stats_[result.replica];
  if (result.failed) {
    known.failed_at = now;
    return;
  }
  known.failed_at.reset();
  // The time before the first token includes the wait in the engine's queue, which reflects load,
  // not speed. For a response that was not streamed, the expected wait is used instead.
  const duration waited =
      result.first_token > 0us ? result.first_token : std::min(result.expected_wait, result.total);
  double seconds = to_seconds(result.total - waited) / std::max(result.cost, 1e-6);
  if (known.seconds_per_cost <= 0) {
    known.seconds_per_cost = seconds;
    return;
  }
  seconds = std::min(seconds, known.seconds_per_cost * max_observed_factor);
  known.seconds_per_cost += settings_.observation_weight * (seconds - known.seconds_per_cost);
}

expected_completion::candidates expected_completion::gather_candidates(
    time_point now, const routing_snapshot& routes, const request_facts& facts,
    const in_flight& flights, tried_replicas tried) const {
  candidates all;
  for (std::size_t i = 0; i < routes.replicas.size(); ++i) {
    const replica_route& route = routes.replicas[i];
    if (route.model != facts.model || !may_use_route(now, route)) {
      continue;
    }
    candidate c;
    c.index = i;
    c.route = &route;
    c.load = estimated_load(route, flights);
    c.tried = std::find(tried.begin(), tried.end(), route.id) != tried.end();
    all.push_back(c);
  }
  return all;
}

// The replica's reported load plus the changes since the report. Assumes that the other nodes sent
// as many requests as this one, as they make the same choices from the same reports. Counting only
// this node's requests would make all nodes send to the replica that was idle at the last report.
double expected_completion::estimated_load(const replica_route& route,
                                           const in_flight& flights) const {
  const double sent = as_double(flights.sent_since(route.id, route.load_reported_at));
  const double ended = as_double(flights.ended_since(route.id, route.load_reported_at));
  const double reported = as_double(route.running) + as_double(route.queued);
  const double now = reported + (sent - ended) * as_double(settings_.nodes);
  return std::max(now, as_double(flights.count(route.id)));
}

double expected_completion::median_speed(const candidates& all) const {
  std::vector<double> speeds;
  for (const candidate& c : all) {
    const auto found = stats_.find(c.route->id);
    const bool known = found != stats_.end() && found->second.seconds_per_cost > 0;
    if (known && !c.route->crosses_fabric_domains) {
      speeds.push_back(found->second.seconds_per_cost);
    }
  }
  if (speeds.empty()) {
    return to_seconds(settings_.initial_service_time_per_cost);
  }
  const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
  std::nth_element(speeds.begin(), middle, speeds.end());
  return *middle;
}

void expected_completion::estimate(time_point now, const request_facts& facts,
                                   candidates& all) const {
  const double median = median_speed(all);
  double total_load = 0;
  for (candidate& c : all) {
    const auto found = stats_.find(c.route->id);
    const bool known = found != stats_.end() && found->second.seconds_per_cost > 0;
    const double presumed =
        c.route->crosses_fabric_domains ? median * settings_.cross_domain_slowdown : median;
    c.speed = known ? found->second.seconds_per_cost : presumed;
    total_load += c.load;
  }
  const double mean_load = total_load / static_cast<double>(all.size());
  for (candidate& c : all) {
    const double slots = std::max(1.0, as_double(c.route->slots)) *
                         slow_start_factor(now, *c.route, settings_.slow_start_duration);
    c.wait = std::max(0.0, c.load + 1 - slots) / slots * c.speed;
    c.expected = c.wait + c.speed * facts.cost;
    if (c.load <= settings_.affinity_load_bound * mean_load + 1) {
      const double blocks = prefixes_.expected_blocks(now, c.route->id, facts.prefix);
      const double saved = blocks * to_seconds(settings_.prefill_time_per_block);
      c.expected -= std::min(saved, 0.9 * c.expected);
    }
  }
  mark_avoided(now, all, median);
}

// Marks stragglers and replicas that just failed as avoided, slowest first, up to the maximum
// fraction of replicas. If all look slow, the cause is the load or this node, and avoiding replicas
// would only shift the load around.
void expected_completion::mark_avoided(time_point now, candidates& all, double median) const {
  std::vector<candidate*> bad;
  for (candidate& c : all) {
    const auto found = stats_.find(c.route->id);
    const bool failed = found != stats_.end() && found->second.failed_at &&
                        now - *found->second.failed_at < settings_.failure_retention;
    const bool slow =
        c.speed > settings_.straggler_factor * median && !c.route->crosses_fabric_domains;
    if (failed || slow) {
      bad.push_back(&c);
    }
  }
  const auto worse = [](const candidate* a, const candidate* b) { return a->speed > b->speed; };
  std::stable_sort(bad.begin(), bad.end(), worse);
  const auto part =
      static_cast<std::size_t>(static_cast<double>(all.size()) * settings_.max_avoided_fraction);
  const std::size_t cap = all.size() < 2 ? 0 : std::max<std::size_t>(1, part);
  for (std::size_t i = 0; i < std::min(cap, bad.size()); ++i) {
    bad[i]->avoided = true;
  }
}

// Sends an occasional request to an avoided replica; otherwise a replica that recovered would stay
// avoided forever.
expected_completion::candidate* expected_completion::replica_due_for_probe(
    time_point now, const request_facts& facts, candidates& all) {
  if (!facts.repeatable) {
    return nullptr;
  }
  for (candidate& c : all) {
    // A straggler is probed only while it is idle: if the probes of all nodes kept it full, it
    // would never recover, and each of those requests would wait behind the others.
    if (!c.avoided || c.tried || c.load >= 1) {
      continue;
    }
    replica_stats& known = stats_[c.route->id];
    const bool failed_now = known.failed_at && now - *known.failed_at < settings_.failure_retention;
    if (failed_now ||
        (known.probed_at && now - *known.probed_at < settings_.straggler_probe_interval)) {
      continue;
    }
    known.probed_at = now;
    return &c;
  }
  return nullptr;
}

// Ranks untried before tried replicas, and not avoided before avoided ones. Replicas that cross
// fabric domains come last while another one has a free slot. Within a rank, the earliest expected
// completion wins.
expected_completion::candidate* expected_completion::best(candidates& all) {
  const auto is_free = [](const candidate& c) {
    return !c.tried && !c.avoided && !c.route->crosses_fabric_domains && c.wait <= 0;
  };
  const bool any_free = std::any_of(all.begin(), all.end(), is_free);
  const auto rank = [&](const candidate& c) {
    const bool deferred = c.route->crosses_fabric_domains && any_free;
    return (c.tried ? 4 : 0) + (c.avoided ? 2 : 0) + (deferred ? 1 : 0);
  };
  const auto better = [&](const candidate& a, const candidate& b) {
    return rank(a) != rank(b) ? rank(a) < rank(b) : a.expected < b.expected;
  };
  const auto first = std::min_element(all.begin(), all.end(), better);
  std::vector<candidate*> equal;
  for (candidate& c : all) {
    if (rank(c) == rank(*first) && c.expected <= first->expected * (1 + tie_tolerance)) {
      equal.push_back(&c);
    }
  }
  return equal[random_.below(equal.size())];
}

}  // namespace arbutus
