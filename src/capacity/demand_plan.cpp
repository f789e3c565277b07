// Estimates the work of models, and decides when it changes their shares of engine time.
#include "capacity/demand_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "request/replica_choice.h"

namespace arbutus {

namespace {

// Part of the slots that calls may take on average, so that a burst finds a free one.
constexpr double max_slot_use = 0.9;
// Observations further apart than this do not belong to the same period, for instance because
// another node controlled the engines meanwhile.
constexpr duration max_observation_gap = 1s;

double sum_of(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0);
}

std::vector<double> observed_work(const service_id& service, const engine_parameters& engine,
                                  const model_demand& demand) {
  std::vector<double> work;
  for (const model_spec& model : engine.models) {
    const demand_rate rate = total_demand(demand, {service, model.id});
    work.push_back(rate.calls_per_second > 0
                       ? rate.calls_per_second / replica_service_rate(engine, model, rate)
                       : 0);
  }
  return work;
}

duration longest_load(const engine_parameters& engine) {
  duration longest{};
  for (const model_spec& model : engine.models) {
    longest = std::max(longest, model.load_time);
  }
  return longest;
}

}  // namespace

double replica_service_rate(const engine_parameters& engine, const model_spec& model,
                            const demand_rate& demand) {
  const double calls = std::max(demand.calls_per_second, 1e-9);
  const generation_size size{demand.prompt_tokens_per_second / calls,
                             demand.answer_tokens_per_second / calls};
  const auto expected = [&](double active, double pending_prefill_tokens) {
    return estimate(engine, model, {active, pending_prefill_tokens}, size, 1, false);
  };
  const replica_estimate idle = expected(0, 0);
  const double prefill_s = to_seconds(idle.to_first_event) - to_seconds(idle.between_events);
  const double steps = std::max<double>(engine.decode_steps_per_pass, 1);
  // Rate at which `active` calls run on average: the prefills of the others interrupt the answer of
  // each of them.
  const auto rate_with = [&](double active) {
    const double pass_s = to_seconds(expected(active, 0).between_events);
    const double answer_s = std::max(size.answer_tokens / steps, 1.0) * pass_s;
    return active / std::max(answer_s + active * prefill_s, 1e-6);
  };
  const auto meets_objective = [&](double active) {
    const double pass_s = to_seconds(expected(active, 0).between_events);
    const double arrivals_in_pass = rate_with(active) * pass_s;
    const replica_estimate e = expected(active, arrivals_in_pass * size.prompt_tokens);
    return to_seconds(e.to_first_event) <= demand.latency_objective_s;
  };
  const double most = std::max(1.0, std::floor(max_slot_use * engine.slots));
  for (double active = most; active >= 1; --active) {
    if (meets_objective(active)) {
      return rate_with(active);
    }
  }
  return rate_with(most);
}

bool demand_plan::update(time_point now, const engine_parameters& engine, const inputs& in) {
  reset_if_reconfigured(engine);
  const std::vector<double> work = observed_work(in.service, engine, in.demand);
  // A node that hears too few others sees too little demand. If it acted on that, it would tear
  // down replicas that the others need.
  if (in.heard_nodes < min_heard_nodes || sum_of(work) <= 0) {
    forget_observations();
    return false;
  }
  if (observed_since_ && now - observed_at_ > max_observation_gap) {
    forget_observations();
  }
  const duration elapsed = observed_since_ ? now - observed_at_ : duration{};
  if (!observed_since_) {
    observed_since_ = now;
  }
  observed_at_ = now;
  smooth(elapsed, work);
  if (weight_ <= 0) {
    return false;
  }
  observe_deviation(now, target_shares(smoothed_, in.engines), work);
  const bool may_change_again =
      !last_change_ || in.has_unserved_model || now - changed_at_ >= longest_load(engine);
  if (!deviation_ || now - deviation_->since < deviation_->delay || !may_change_again ||
      now - *observed_since_ < min_observation) {
    return false;
  }
  // The smoothed works still contain the demand before the change; their mean since then does not.
  std::vector<double> next = rounded(target_shares(deviation_->work, in.engines));
  if (next == shares_) {
    deviation_.reset();
    return false;
  }
  last_change_settled_ =
      deviation_->settled || (last_change_settled_ && last_change_ == deviation_->to);
  last_change_ = deviation_->to;
  changed_at_ = now;
  deviation_.reset();
  shares_ = std::move(next);
  return true;
}

std::vector<double> demand_plan::work() const {
  std::vector<double> result = smoothed_;
  for (double& work : result) {
    work /= std::max(weight_, 1e-9);
  }
  return result;
}

void demand_plan::reset_if_reconfigured(const engine_parameters& engine) {
  std::vector<declared_model> models;
  for (const model_spec& model : engine.models) {
    models.push_back({model.id, model.size, model.expected_engine_time_fraction});
  }
  if (models == models_) {
    return;
  }
  models_ = std::move(models);
  shares_.clear();
  for (const declared_model& model : models_) {
    shares_.push_back(model.share);
  }
  forget_observations();
  last_change_.reset();
  differed_at_.reset();
}

void demand_plan::forget_observations() {
  smoothed_.assign(models_.size(), 0);
  weight_ = 0;
  observed_since_.reset();
  deviation_.reset();
}

void demand_plan::smooth(duration elapsed, const std::vector<double>& work) {
  const double left = std::exp(-to_seconds(elapsed) / to_seconds(time_constant));
  for (std::size_t m = 0; m < work.size(); ++m) {
    smoothed_[m] = smoothed_[m] * left + work[m] * (1 - left);
  }
  weight_ = weight_ * left + (1 - left);
}

// Shares of engine time in proportion to the works, which may have any unit.
std::vector<double> demand_plan::target_shares(const std::vector<double>& work,
                                               std::size_t engines) const {
  double declared = 0;
  double engine_time = 0;
  for (std::size_t m = 0; m < models_.size(); ++m) {
    declared += models_[m].share;
    engine_time += work[m] * models_[m].size;
  }
  std::vector<double> result;
  for (std::size_t m = 0; m < models_.size(); ++m) {
    const double one_replica =
        engines == 0 ? 0 : declared * models_[m].size / static_cast<double>(engines);
    result.push_back(std::max({declared * work[m] * models_[m].size / std::max(engine_time, 1e-9),
                               min_share * models_[m].share, one_replica, 1e-6}));
  }
  return result;
}

// The ratio between two models is all that counts, so one model keeps its work. Rounding each of
// two models would give two controllers with slightly different sums twice as many chances to
// differ.
std::vector<double> demand_plan::rounded(const std::vector<double>& shares) const {
  std::vector<double> result;
  for (std::size_t m = 0; m < shares.size(); ++m) {
    const double ratio = shares[m] / models_[m].size / (shares[0] / models_[0].size);
    const double steps = std::round(std::log(ratio) / std::log(rounding_step));
    result.push_back(std::pow(rounding_step, steps) * models_[m].size);
  }
  double declared = 0;
  for (const declared_model& model : models_) {
    declared += model.share;
  }
  const double factor = declared / sum_of(result);
  for (double& share : result) {
    share *= factor;
  }
  return result;
}

void demand_plan::observe_deviation(time_point now, const std::vector<double>& target,
                                    const std::vector<double>& work) {
  direction to;
  const auto change = [&](std::size_t m) { return target[m] / std::max(shares_[m], 1e-6); };
  for (std::size_t m = 1; m < target.size(); ++m) {
    to.gains = change(m) > change(to.gains) ? m : to.gains;
    to.loses = change(m) < change(to.loses) ? m : to.loses;
  }
  if (change(to.gains) <= tolerance * change(to.loses)) {
    deviation_.reset();
    return;
  }
  if (!deviation_ || deviation_->to != to) {
    const bool settled = !differed_at_ || now - *differed_at_ >= settled_time;
    const bool goes_on = last_change_ == to && last_change_settled_;
    deviation_ = {to, now, settled, settled || goes_on ? change_delay : unsettled_delay,
                  std::vector<double>(work.size(), 0)};
  }
  differed_at_ = now;
  for (std::size_t m = 0; m < work.size(); ++m) {
    deviation_->work[m] += work[m];
  }
}

}  // namespace arbutus
