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

  // One request may have one attempt per replica (hedging).
  void sent(time_point now, const request_id& id, const replica_id& replica, double cost);
  // Returns the attempt that ended; empty if unknown.
  std::optional<attempt> ended(time_point now, const request_id& id, const replica_id& replica);

  // The replica was removed permanently; does nothing while attempts on it are open.
  void forget(const replica_id& replica);

  [[nodiscard]] std::uint32_t count(const replica_id& replica) const;
  [[nodiscard]] std::uint32_t total() const { return total_; }
  // Attempts sent or ended after `since`, limited to the last `history`.
  [[nodiscard]] std::uint32_t sent_since(const replica_id& replica, time_point since) const;
  [[nodiscard]] std::uint32_t ended_since(const replica_id& replica, time_point since) const;

 private:
  // Load reports older than this are never used.
  static constexpr duration history = 10s;
  static constexpr std::size_t max_history = 4096;  // per replica and kind

  struct replica_flights {
    std::unordered_map<request_id, attempt> open;
    std::deque<time_point> sent;   // ascending
    std::deque<time_point> ended;  // ascending
  };

  std::unordered_map<replica_id, replica_flights> replicas_;
  std::uint32_t total_ = 0;  // == sum of open
};

}  // namespace arbutus
