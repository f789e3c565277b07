// A hosted node's state for the detection of poison requests.
#pragma once

#include <map>
#include <vector>

#include "base/id.h"
#include "process/poison_tracker.h"
#include "request/request_fingerprint.h"
#include "version/inventory.h"

namespace arbutus {

// A run of a request that broke off within the strike window, that is, so soon that the request may
// have crashed its target. As observed by the node that sent the request.
struct broken_run {
  request_id request;
  request_fingerprint fingerprint;
  std::vector<request_fingerprint> blocks;  // of the request's prompt
  target_id target;
  endpoint address;
  time_point sent_at;
  time_point broken_at;
};

// Whether a target has ended, as found by a query to it, and the broken runs that wait for the
// result.
struct target_end_check {
  bool query_pending = false;
  bool target_ended = false;
  time_point queries_started_at{};
  std::vector<broken_run> pending_runs;
};

struct poison_state {
  poison_tracker tracker;
  std::map<target_id, target_end_check> end_checks;
  time_point last_evaluated_at{};
};

}  // namespace arbutus
