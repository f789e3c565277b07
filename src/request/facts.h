// What the deciding parts know of one request: a value made once, when the request arrives.
#pragma once

#include <cstdint>
#include <vector>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

// Hashes of the leading blocks of a prompt, each one covering all text up to the block's end.
using prefix_blocks = std::vector<std::uint64_t>;

struct request_facts {
  request_id id;
  workspace_id workspace;
  model_id model;
  std::uint32_t priority = 0;  // 0 first, as in class_rule
  time_point arrival;
  time_point deadline = time_point::max();        // for the whole answer
  time_point first_token_by = time_point::max();  // for its first token
  double cost = 1.0;       // expected work; 1 is a mean request of the model, always above 0
  bool repeatable = true;  // may run twice without harm
  prefix_blocks prefix;    // may be empty: no affinity
};

}  // namespace arbutus
