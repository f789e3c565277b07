// Links to the other nodes.
#include "node/peer_links.h"

#include <algorithm>

#include "base/hash.h"

namespace arbutus {

namespace {

constexpr std::size_t link_worker = 0;  // the worker that runs the coordination core

link_counters operator+(const link_counters& a, const link_counters& b) {
  link_counters sum;
  sum.bytes_in = a.bytes_in + b.bytes_in;
  sum.bytes_out = a.bytes_out + b.bytes_out;
  sum.frames_in = a.frames_in + b.frames_in;
  sum.frames_out = a.frames_out + b.frames_out;
  sum.frames_dropped = a.frames_dropped + b.frames_dropped;
  sum.connects = a.connects + b.connects;
  return sum;
}

}  // namespace

peer_links::peer_links(fiber_runtime& runtime, const socket_address& listen, node_id self)
    : runtime_(runtime), self_(std::move(self)) {
  server_ = std::make_unique<link_server>(
      runtime, listen, self_, link_limits{},
      [this](const node_id& from, std::span<const std::uint8_t> bytes) { receive(from, bytes); },
      [](const node_id&, bool) {});
}

void peer_links::set_receiver(link_channel channel, on_message received) {
  const std::lock_guard guard(lock_);
  receivers_[static_cast<std::size_t>(channel)] = std::move(received);
}

void peer_links::receive(const node_id& from, std::span<const std::uint8_t> bytes) {
  if (bytes.empty() || bytes[0] >= link_channels) {
    return;  // sent on a channel that only newer releases have
  }
  on_message received;
  {
    const std::lock_guard guard(lock_);
    received = receivers_[bytes[0]];
  }
  if (received) {
    received({from, std::string(bytes.begin() + 1, bytes.end())});
  }
}

void peer_links::set_peers(const std::vector<node_record>& peers) {
  // The closed links are destroyed after the lock is released, since their destructors may suspend.
  std::vector<std::unique_ptr<link_client>> closed;
  const std::lock_guard guard(lock_);
  for (auto it = peers_.begin(); it != peers_.end();) {
    const auto same = [&](const node_record& p) {
      return p.id == it->first && p.link == it->second.address;
    };
    if (std::none_of(peers.begin(), peers.end(), same)) {
      closed.push_back(std::move(it->second.link));
      it = peers_.erase(it);
    } else {
      ++it;
    }
  }
  for (const node_record& p : peers) {
    if (p.id == self_ || peers_.contains(p.id)) {
      continue;
    }
    const std::uint64_t seed = rendezvous_weight(self_.str(), p.id.str());
    auto link = std::make_unique<link_client>(runtime_, link_worker,
                                              socket_address{p.link.host, p.link.port}, self_, seed,
                                              link_limits{}, [](const node_id&, bool) {});
    peers_.emplace(p.id, peer{p.link, std::move(link)});
  }
}

void peer_links::send(link_channel channel, const peer_send& message) {
  const std::lock_guard guard(lock_);
  const auto found = peers_.find(message.to);
  if (found == peers_.end()) {
    return;
  }
  const frame_priority priority = message.urgent ? frame_priority::urgent : frame_priority::state;
  std::vector<std::uint8_t> frame;
  frame.reserve(message.bytes.size() + 1);
  frame.push_back(static_cast<std::uint8_t>(channel));
  frame.insert(frame.end(), message.bytes.begin(), message.bytes.end());
  found->second.link->send(std::move(frame), priority);
}

link_counters peer_links::counters() const {
  link_counters sum = server_->counters();
  const std::lock_guard guard(lock_);
  for (const auto& [id, p] : peers_) {
    sum = sum + p.link->counters();
  }
  return sum;
}

}  // namespace arbutus
