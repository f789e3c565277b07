// Whether a streamed call is admitted when the replicas of its model are close to saturation, and
// which of them have room. Only for services whose streams differ in priority.
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "node/hosted_parts.h"

namespace arbutus {

inline constexpr std::string_view at_capacity_reason =
    "every replica is at its capacity for this latency objective";

struct stream_admission {
  std::optional<refusal> refused;
  // What each replica can take, if replicas are to be chosen by it; empty: by cost alone.
  std::vector<double> can_take;
  std::vector<replica_load> loads;  // of the replicas; empty for other services
};

// `excluded`: heads of `replicas` that this call may not be sent to; `suspected`: unresponsive
// ones. Calls that may have been sent, that resume a stream or that a peer has handed over are
// never refused.
[[nodiscard]] stream_admission admit_stream(hosted_state& node, hosted_request& call,
                                            const model_spec& model,
                                            std::span<const serving_replica> replicas,
                                            std::span<const target_id> excluded,
                                            std::span<const target_id> suspected, time_point now);

}  // namespace arbutus
