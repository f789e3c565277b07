// Limits of workspaces at this node, shared with the other nodes: keeps the leases
// (request/limits.h) and speaks of them with peers.
#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/outcome.h"
#include "process/effects.h"
#include "request/limits.h"
#include "version/configuration.h"

namespace arbutus {

[[nodiscard]] std::string encode(const limit_message& message);
[[nodiscard]] outcome<limit_message> decode_limit_message(std::string_view bytes);

// Up to so many nodes, leases are exchanged between all of them; above, only within a data centre,
// since one message a second to each of 340 nodes would cost more than the control budget.
inline constexpr std::size_t limit_mesh_nodes = 24;

// Under one lock; taken once per request and per message.
class limit_exchange {
 public:
  limit_exchange(time_point now, node_id self);

  void configure(time_point now, const configuration& config);
  [[nodiscard]] limit_result take(time_point now, const workspace_id& workspace);

  // To be sent together with another message to `peer`, which is about to go; empty if there is
  // nothing to say or the peer was told since the last tell().
  [[nodiscard]] std::optional<peer_send> tell_with(time_point now, const node_id& peer);
  // What to send to peers that no other message went to meanwhile; call once every
  // limit_settings::message_interval.
  [[nodiscard]] std::vector<peer_send> tell(time_point now);
  // Damaged bytes are ignored: the next message comes in a second.
  void heard(time_point now, const node_id& peer, std::string_view bytes);

 private:
  node_id self_;
  std::mutex lock_;  // guards all below
  rate_limits limits_;
  std::vector<node_id> told_;      // peers that leases are exchanged with
  std::set<node_id> accompanied_;  // of these, told by tell_with() since the last tell()
  bool has_limits_ = false;        // some workspace has one: without any, nothing is sent
  std::uint64_t config_version_ = 0;
};

}  // namespace arbutus
