// The headers of calls that one node hands over to another, and of the answers to them.
//
// They are read on the nodes' own address only; on the callers' address they have no meaning and
// are not passed on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/id.h"

namespace arbutus {

inline constexpr std::string_view relay_header = "X-Arbutus-Relay";

// What the node that hands a call over has done with it so far.
struct relayed_call {
  node_id from;
  std::uint32_t possible_runs = 0;  // sends to targets that may have run the request
  // The newest configuration that has been applied to a call of this node. A peer with an older one
  // does not take the call: the caller would see a change undone.
  std::uint64_t version = 0;
};

enum class relay_result : std::uint8_t {
  answered,   // the answer is a target's
  refused,    // the answer is the peer's own, and final
  not_taken,  // the peer cannot serve the call now, and has sent it to no target
};

// What the peer says of its answer.
struct relay_report {
  relay_result result = relay_result::refused;
  std::uint32_t possible_runs = 0;  // including those before the call was handed over
  std::uint64_t version = 0;        // of the configuration that the peer has applied
  target_id target;                 // that answered; empty if none did
};

// Why a peer does not take a call. A header of its own, which earlier releases do not read.
inline constexpr std::string_view relay_decline_header = "X-Arbutus-Relay-Decline";

enum class decline_reason : std::uint8_t {
  cut_off,  // the peer reaches no target of the service
  full,     // it has as many calls of others as it can bear
  unfit,    // it serves no caller of its own either, or has an older configuration
};

struct relay_decline {
  decline_reason reason = decline_reason::unfit;
  // Nodes that lately took calls of the service from this peer, so that a node does not have to
  // find them by its own tries; at most max_named_takers.
  std::vector<node_id> takers;
};
inline constexpr std::size_t max_named_takers = 4;

[[nodiscard]] std::string to_text(const relayed_call& call);
[[nodiscard]] std::string to_text(const relay_report& report);
[[nodiscard]] std::string to_text(const relay_decline& decline);
// Empty if the text is malformed.
[[nodiscard]] std::optional<relayed_call> read_relayed_call(std::string_view text);
[[nodiscard]] std::optional<relay_report> read_relay_report(std::string_view text);
// Unknown reasons of later releases read as `unfit`.
[[nodiscard]] relay_decline read_relay_decline(std::string_view text);

}  // namespace arbutus
