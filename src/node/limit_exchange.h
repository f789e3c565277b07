// Rate limits of workspaces on this node: holds the leases (admission/limits.h) and exchanges them
// with the other nodes.
#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "admission/limits.h"
#include "base/outcome.h"
#include "process/effects.h"
#include "version/configuration.h"

namespace arbutus {

[[nodiscard]] std::string encode(const limit_message& message);
[[nodiscard]] outcome<limit_message> decode_limit_message(std::string_view bytes);

// Up to this number of nodes, leases are exchanged between all of them. With more nodes they are
// exchanged only within a data centre, since one message a second to each of 340 nodes would exceed
// the budget for control traffic.
inline constexpr std::size_t max_limit_mesh_nodes = 24;

// Thread-safe; its lock is taken once per request and once per message.
class limit_exchange {
 public:
  limit_exchange(time_point now, node_id self);

  void configure(time_point now, const configuration& config);
  [[nodiscard]] limit_result take(time_point now, const workspace_id& workspace);

  // A message with leases of rate limits, to be sent to `peer` together with another message that
  // is about to be sent. Empty if there is nothing to send, or if the peer got such a message since
  // the last take_messages().
  [[nodiscard]] std::optional<peer_send> piggyback_message(time_point now, const node_id& peer);
  // Messages to the peers that got none by piggyback_message() since the last call. To be called
  // once every limit_settings::message_interval.
  [[nodiscard]] std::vector<peer_send> take_messages(time_point now);
  // Handles a message of `peer`. Damaged bytes are ignored, as the next message comes in a second.
  void received(time_point now, const node_id& peer, std::string_view bytes);

 private:
  node_id self_;
  std::mutex lock_;  // guards all below
  rate_limits limits_;
  std::vector<node_id> lease_peers_;  // peers that leases are exchanged with
  std::set<node_id> piggybacked_;     // lease peers that were sent a message by piggyback_message()
                                      // since the last take_messages()
  bool has_rate_limits_ = false;      // some workspace has a limit; otherwise nothing is sent
  std::uint64_t config_version_ = 0;  // version of the configuration that the limits are from
};

}  // namespace arbutus
