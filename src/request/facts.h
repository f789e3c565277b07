// Properties of one request that admission and routing decide by. Set once, when the request
// arrives.
#pragma once

#include <cstdint>
#include <vector>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

// Hashes of the leading blocks of a prompt; each covers all text up to the end of its block.
using prefix_blocks = std::vector<std::uint64_t>;

struct request_facts {
  request_id id;
  workspace_id workspace;
  model_id model;
  std::uint32_t priority = 0;  // 0 is the highest priority, as in class_rule
  time_point arrival;
  time_point deadline = time_point::max();              // time by which the response is complete
  time_point first_token_deadline = time_point::max();  // time by which the first token is sent
  double cost = 1.0;       // expected work, above 0; 1 is a mean request of the model
  bool repeatable = true;  // idempotent: may run twice
  prefix_blocks prefix;    // leading blocks of the prompt; empty: ignores prefix caches
};

}  // namespace arbutus
