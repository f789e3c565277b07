// Where a streamed call goes next: to a replica, to a peer, or nowhere.
#pragma once

#include <span>
#include <string_view>
#include <variant>

#include "node/hosted_parts.h"
#include "request/replica_choice.h"

namespace arbutus {

struct send_to_replica {
  serving_replica replica;
  replica_estimate expected;
};

struct hand_over_to_peer {
  node_record peer;
};

// Nothing can take the call now.
struct end_of_call {
  int status = 503;
  duration retry_after{};
  std::string_view reason;
  bool is_unfit = false;      // another node may serve it
  bool is_momentary = false;  // this node may serve it soon
};

using next_step = std::variant<send_to_replica, hand_over_to_peer, end_of_call>;

// Chooses among the replicas whose heads are not in `avoided`, and the peers if this node may be
// cut off. Neither suspends nor sends anything.
[[nodiscard]] next_step choose_stream_step(hosted_state& node, hosted_request& call,
                                           const model_spec& model,
                                           std::span<const target_id> avoided, time_point now);

}  // namespace arbutus
