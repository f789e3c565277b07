// What this node has sent to which replica and not seen ended: its own, undelayed part of the
// replicas' load.
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
  // Returns the attempt that ended; empty if it is not known.
  std::optional<attempt> ended(time_point now, const request_id& id, const replica_id& replica);

  // The replica is gone for good; does nothing while attempts on it are open.
  void forget(const replica_id& replica);

  [[nodiscard]] std::uint32_t count(const replica_id& replica) const;
  [[nodiscard]] std::uint32_t total() const { return total_; }
  // Sends and ends after `since`, as far as `history` reaches back.
  [[nodiscard]] std::uint32_t sent_since(const replica_id& replica, time_point since) const;
  [[nodiscard]] std::uint32_t ended_since(const replica_id& replica, time_point since) const;

 private:
  // Reported load is never used when older than this.
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
