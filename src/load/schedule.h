// What is to be called when: computed before a run from the workload and a seed, so that slow
// answers cannot thin out the calls that come after them, and every variant meets the same calls.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load/experiment.h"

namespace arbutus {

enum class call_kind { streamed, whole, booking };

struct planned_call {
  duration at{};  // intended arrival, after the start of the run
  call_kind kind = call_kind::whole;
  std::uint32_t workspace{};  // index
  std::uint32_t request_class{};
  std::uint32_t answer_tokens{};
  std::string prompt;  // of a booking: its idempotency key
};

// By time. The times of a closed workload mean nothing: its callers take the calls in turn.
[[nodiscard]] std::vector<planned_call> plan_calls(const workload& work, const variant& how,
                                                   std::uint64_t seed);

}  // namespace arbutus
