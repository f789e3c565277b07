// Plans all calls of a run and their times in advance, from the workload and a seed, so that slow
// answers do not reduce the number of later calls and every variant gets the same calls.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load/experiment.h"

namespace arbutus {

enum class call_kind { streamed, buffered, booking };

struct planned_call {
  duration at{};  // planned start of the call, after the start of the run
  call_kind kind = call_kind::buffered;
  std::uint32_t workspace{};  // index of the calling workspace
  std::uint32_t request_class{};
  std::uint32_t answer_tokens{};
  std::string prompt;  // prompt of a model call, or idempotency key of a booking
};

// Returns the planned calls sorted by time. In a closed loop the times are unused: callers take the
// calls in order.
[[nodiscard]] std::vector<planned_call> plan_calls(const workload& work,
                                                   const variant& variant_spec, std::uint64_t seed);

}  // namespace arbutus
