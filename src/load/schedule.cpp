// Plans Poisson arrivals of a mix of calls.
#include "load/schedule.h"

#include <algorithm>
#include <cmath>

#include "base/rng.h"
#include "standin/expected_answer.h"

namespace arbutus {

namespace {

// Maximum time after which a booking is sent a second time: short enough that some repetitions
// overlap with the first call.
constexpr duration max_repeat_delay = 400ms;
// Number of calls planned for a closed workload, whose callers cycle through them.
constexpr std::size_t closed_loop_call_count = 4096;

double exponential(rng& random, double rate) {
  return -std::log1p(-random.unit()) / rate;
}

std::string padded_to(std::string text, std::size_t bytes, rng& random) {
  static constexpr std::string_view words[] = {"drain ", "cellar ", "brief ", "crew ",
                                               "gate ",  "lease ",  "unit ",  "note ",
                                               "flood ", "tenant ", "pump ",  "address "};
  while (text.size() < bytes) {
    text += words[random.below(std::size(words))];
  }
  text.resize(bytes);
  return text;
}

class call_planner {
 public:
  call_planner(const workload& work, const variant& variant_spec, std::uint64_t seed)
      : work_(work), variant_(variant_spec), random_(seed) {
    for (const load_workspace& w : work.workspaces) {
      weights_.push_back(weight_of(w));
    }
    for (const load_class& c : work.classes) {
      class_weights_.push_back(c.fraction);
    }
  }

  std::vector<planned_call> plan() {
    double adjusted = 0;
    double nominal = 0;
    for (std::size_t i = 0; i < weights_.size(); ++i) {
      adjusted += weights_[i];
      nominal += work_.workspaces[i].weight;
    }
    const double scale = variant_.rate_factor * adjusted / nominal;
    if (work_.arrivals == arrival_kind::closed) {
      for (std::size_t i = 0; i < closed_loop_call_count; ++i) {
        calls_.push_back(model_call({}));
      }
      return std::move(calls_);
    }
    add_arrivals(work_.rate * scale, [this](duration at) { calls_.push_back(model_call(at)); });
    if (has_bookings()) {
      add_arrivals(work_.bookings_per_second * scale, [this](duration at) { add_booking(at); });
    }
    std::stable_sort(calls_.begin(), calls_.end(),
                     [](const planned_call& a, const planned_call& b) { return a.at < b.at; });
    return std::move(calls_);
  }

 private:
  [[nodiscard]] double weight_of(const load_workspace& w) const {
    const std::string& name = w.caller.name;
    const bool is_excluded =
        (!variant_.only_workspace.empty() && name != variant_.only_workspace) ||
        name == variant_.without_workspace;
    if (is_excluded) {
      return 0;
    }
    return name == variant_.scaled_workspace ? w.weight * variant_.workspace_factor : w.weight;
  }

  // Whether the variant sends bookings. Variants that call engine stand-ins directly send none,
  // since bookings go to the service; only the checker test for repeated bookings calls the service
  // itself.
  [[nodiscard]] bool has_bookings() const {
    const bool through_nodes =
        variant_.target == call_target::nodes && variant_.checker_test == checker_test_kind::none;
    return through_nodes || variant_.checker_test == checker_test_kind::repeated;
  }

  template <class Add>
  void add_arrivals(double rate, Add add) {
    if (rate <= 0) {
      return;
    }
    const double end = to_seconds(work_.warm_up + work_.length);
    for (double t = exponential(random_, rate); t < end; t += exponential(random_, rate)) {
      add(from_seconds(t));
    }
  }

  std::uint32_t pick(const std::vector<double>& weights) {
    double sum = 0;
    for (const double w : weights) {
      sum += w;
    }
    double left = random_.unit() * sum;
    for (std::uint32_t i = 0; i < weights.size(); ++i) {
      left -= weights[i];
      if (left < 0) {
        return i;
      }
    }
    return static_cast<std::uint32_t>(weights.size() - 1);
  }

  planned_call model_call(duration at) {
    planned_call call;
    call.at = at;
    call.workspace = pick(weights_);
    call.request_class = pick(class_weights_);
    call.kind =
        random_.unit() < work_.streamed_fraction ? call_kind::streamed : call_kind::buffered;
    call.answer_tokens = work_.answer_tokens;
    const std::uint64_t session = random_.below(work_.sessions_per_workspace);
    call.prompt = prompt_of(call.workspace, session);
    return call;
  }

  // Makes the prompt of a call. Its serial number makes every prompt, and therefore every correct
  // answer, different.
  std::string prompt_of(std::uint32_t workspace, std::uint64_t session) {
    rng of_session(workspace * 1000 + session + 1);
    const std::size_t bytes = std::size_t{work_.prompt_tokens} * standin::bytes_per_token;
    const auto shared =
        static_cast<std::size_t>(work_.shared_prefix_fraction * static_cast<double>(bytes));
    std::string prefix = "session " + std::to_string(workspace) + '-' + std::to_string(session);
    prefix = padded_to(prefix + ": ", std::max(shared, prefix.size() + 2), of_session);
    prefix += " call " + std::to_string(++serial_) + ' ';
    return padded_to(prefix, std::max(bytes, prefix.size()), random_);
  }

  void add_booking(duration at) {
    planned_call call;
    call.at = at;
    call.kind = call_kind::booking;
    call.workspace = pick(weights_);
    call.request_class = pick(class_weights_);
    call.prompt = "booking-" + std::to_string(++serial_);
    calls_.push_back(call);
    if (random_.unit() < work_.repeated_booking_fraction) {
      call.at += random_.jitter(max_repeat_delay);
      calls_.push_back(call);
    }
  }

  const workload& work_;
  const variant& variant_;
  rng random_;
  std::vector<double> weights_;
  std::vector<double> class_weights_;
  std::vector<planned_call> calls_;
  std::uint64_t serial_ = 0;
};

}  // namespace

std::vector<planned_call> plan_calls(const workload& work, const variant& variant_spec,
                                     std::uint64_t seed) {
  return call_planner(work, variant_spec, seed).plan();
}

}  // namespace arbutus
