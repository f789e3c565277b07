// The faults that the platform's table service and object store share: outages, slowness, rate
// limits, replies lost after the write took effect, data centres cut off.
#pragma once

#include <cstdint>
#include <set>

#include "base/id.h"
#include "base/rng.h"
#include "base/units.h"

namespace arbutus::standin {

struct store_faults {
  bool down = false;
  time_point down_until;            // also down before that time
  duration latency{};               // of every answer
  double writes_per_second = 0;     // 0: no limit
  double reads_per_second = 0;      // 0: no limit
  std::uint64_t lose_requests = 0;  // of the next writes: cut before they take effect
  std::uint64_t lose_replies = 0;   // of the next writes: cut after they took effect
  double lose_fraction = 0;         // of all further writes: cut after they took effect
  std::set<data_centre_id> cut_off;
};

struct store_counters {
  std::uint64_t reads{};
  std::uint64_t writes{};   // that took effect
  std::uint64_t refused{};  // by outage, limit or cut
  std::uint64_t conflicts{};
  std::uint64_t lost_replies{};
};

enum class store_access { read, write };

enum class gate_verdict { pass, down, limited, unreachable };

// How a call ends for its caller.
enum class store_status {
  ok,
  missing,   // no such row or object
  conflict,  // the row has another version
  down,
  limited,
  // The connection closes without a response: lost before or after the effect, or the caller's data
  // centre is cut off.
  no_response,
};

[[nodiscard]] store_status status_of(gate_verdict result);

struct gate_pass {
  gate_verdict result = gate_verdict::pass;
  duration latency{};
};

// Invariant: tokens of a bucket lie between 0 and one second's worth of its rate.
class rate_limit {
 public:
  // Takes one token, if there is one. A rate of 0 is no limit.
  [[nodiscard]] bool take(time_point now, double per_second);

 private:
  double tokens_{};
  time_point filled_at_;
  bool started_ = false;
};

class store_gate {
 public:
  explicit store_gate(std::uint64_t seed = 1) : random_(seed) {}

  [[nodiscard]] store_faults& faults() noexcept { return faults_; }
  [[nodiscard]] const store_counters& counters() const noexcept { return counters_; }

  // Whether a call of `from` is let in. Counts it.
  [[nodiscard]] gate_pass admit(time_point now, store_access access, const data_centre_id& from);

  // Whether this write gets lost on its way, without effect.
  [[nodiscard]] bool lose_request();

  // Counts a write that took effect; whether its reply gets lost.
  [[nodiscard]] bool record_write();
  void conflicted() { ++counters_.conflicts; }

 private:
  [[nodiscard]] gate_verdict check_access(time_point now, store_access access,
                                          const data_centre_id& from);

  store_faults faults_;
  store_counters counters_;
  rate_limit read_limit_;
  rate_limit write_limit_;
  rng random_;
};

}  // namespace arbutus::standin
