// Attempts of this node in flight, by replica: the part of the replicas' load that this node knows
// without delay.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

class in_flight {
 public:
  struct attempt {
    replica_id replica;
    time_point sent;
    double cost{};
  };

  // Counts an attempt. With hedging, a request has one attempt on each of several replicas.
  void sent(time_point now, const request_id& id, const replica_id& replica, double cost);
  // Returns the attempt that ended; empty if unknown.
  std::optional<attempt> ended(time_point now, const request_id& id, const replica_id& replica);

  // The replica was removed permanently; does nothing while attempts on it are open.
  void forget(const replica_id& replica);

  [[nodiscard]] std::uint32_t count(const replica_id& replica) const;
  [[nodiscard]] std::uint32_t total() const { return total_; }
  // Number of attempts on the replica that were sent or that ended after `since`; looks back at
  // most `history`.
  [[nodiscard]] std::uint32_t sent_since(const replica_id& replica, time_point since) const;
  [[nodiscard]] std::uint32_t ended_since(const replica_id& replica, time_point since) const;

 private:
  // How long the times of sent and ended attempts are kept. Older load reports are never used.
  static constexpr duration history = 10s;
  // Times kept per replica, separately for sent and for ended attempts.
  static constexpr std::size_t max_history_entries = 4096;

  struct replica_attempts {
    std::unordered_map<request_id, attempt> open;
    std::deque<time_point> sent;   // when attempts were sent, oldest first
    std::deque<time_point> ended;  // when attempts ended, oldest first
  };

  std::unordered_map<replica_id, replica_attempts> replicas_;
  std::uint32_t total_ = 0;  // attempts in flight on all replicas
};

}  // namespace arbutus
