// Each sign of an earlier process decides at once; a first start needs the absence of all signs.
#include "process/start_kind.h"

namespace arbutus {

void start_evidence::note_own_row_created(time_point now) {
  own_row_created_ = true;
  decide_if_complete(now);
}

void start_evidence::note_own_row_existed(time_point now) {
  decide(now, start_kind::later, "the node has a row of an earlier process");
}

void start_evidence::note_deployment_age(time_point now, std::optional<duration> age) {
  if (!age) {
    decide(now, start_kind::later, "another node has started before");
  } else if (*age > max_start_spread) {
    decide(now, start_kind::later, "other nodes started long before");
  } else {
    deployment_is_young_ = true;
    decide_if_complete(now);
  }
}

void start_evidence::note_replicas(time_point now, bool found) {
  if (found) {
    decide(now, start_kind::later, "replicas were formed before");
    return;
  }
  has_no_replicas_ = true;
  decide_if_complete(now);
}

void start_evidence::note_restored_store(time_point now) {
  decide(now, start_kind::later, "the store came back from a copy");
}

start_kind start_evidence::kind(time_point now) const {
  const bool is_late = now - started_at_ >= max_decision_time;
  return kind_ == start_kind::undecided && is_late ? start_kind::later : kind_;
}

std::string_view start_evidence::reason(time_point now) const {
  const bool has_timed_out = kind_ == start_kind::undecided && kind(now) == start_kind::later;
  return has_timed_out ? "the store did not answer in time" : reason_;
}

time_point start_evidence::decided_at(time_point now) const {
  if (kind_ != start_kind::undecided) {
    return decided_at_;
  }
  return kind(now) == start_kind::later ? started_at_ + max_decision_time : time_point{};
}

void start_evidence::decide(time_point now, start_kind kind, std::string_view reason) {
  const bool is_open = this->kind(now) == start_kind::undecided;
  if (is_open) {
    kind_ = kind;
    reason_ = reason;
    decided_at_ = now;
  }
}

void start_evidence::decide_if_complete(time_point now) {
  if (own_row_created_ && deployment_is_young_ && has_no_replicas_) {
    decide(now, start_kind::first, "no node ran before");
  }
}

}  // namespace arbutus
