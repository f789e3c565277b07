// What a hosted node keeps on requests that end their targets.
#pragma once

#include <map>
#include <vector>

#include "base/id.h"
#include "process/poison_tracker.h"
#include "request/request_fingerprint.h"
#include "version/inventory.h"

namespace arbutus {

// A run that broke off when it had hardly begun, as far as its node can tell.
struct broken_run {
  request_id request;
  request_fingerprint fingerprint;
  target_id target;
  endpoint address;
  time_point sent_at;
  time_point broken_at;
};

// Whether a target has ended, as a question to it told, and the runs that wait for the answer.
struct target_end {
  bool asking = false;
  bool ended = false;
  time_point asked_at{};
  std::vector<broken_run> waiting;
};

struct poison_state {
  poison_tracker ledger;
  std::map<target_id, target_end> ends;
  time_point judged_at{};
};

}  // namespace arbutus
