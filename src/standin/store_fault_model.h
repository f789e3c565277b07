// Fault model that the stand-ins of the platform's table service and object store share: outages,
// latency, rate limits, requests lost before and replies lost after a write takes effect, and data
// centres that cannot reach the store.
#pragma once

#include <cstdint>
#include <set>

#include "base/id.h"
#include "base/rng.h"
#include "base/units.h"

namespace arbutus::standin {

struct store_faults {
  bool down = false;
  time_point down_until;             // the store is down until this time even if `down` is false
  duration latency{};                // latency of every response
  double writes_per_second = 0;      // limit on the rate of writes; 0: no limit
  double reads_per_second = 0;       // limit on the rate of reads; 0: no limit
  std::uint64_t lose_requests = 0;   // number of upcoming writes lost before they take effect
  std::uint64_t lose_replies = 0;    // number of upcoming writes whose reply is lost
  double lose_fraction = 0;          // fraction of all other writes whose reply is lost
  std::set<data_centre_id> cut_off;  // data centres that cannot reach the store
};

struct store_counters {
  std::uint64_t reads{};
  std::uint64_t writes{};   // writes that took effect
  std::uint64_t refused{};  // calls refused because of an outage, a rate limit or a partition
  std::uint64_t conflicts{};
  std::uint64_t lost_replies{};
};

enum class store_access { read, write };

enum class access_result { pass, down, limited, unreachable };

// Outcome of a call as its caller sees it.
enum class store_status {
  ok,
  missing,   // there is no such row or object
  conflict,  // the write names another version of the row than the current one
  down,
  limited,
  // The connection closes without a response: lost before or after the effect, or the caller's data
  // centre is cut off.
  no_response,
};

[[nodiscard]] store_status status_of(access_result result);

struct access_decision {
  access_result result = access_result::pass;
  duration latency{};
};

// Token bucket that limits the calls per second. Invariant: `tokens_` is between 0 and the tokens
// of one second (at least 1).
class rate_limit {
 public:
  // Takes one token of the bucket for a call; false if none is left. A rate of 0 means no limit.
  [[nodiscard]] bool take(time_point now, double per_second);

 private:
  double tokens_{};
  time_point filled_at_;
  bool started_ = false;
};

class store_fault_model {
 public:
  explicit store_fault_model(std::uint64_t seed = 1) : random_(seed) {}

  [[nodiscard]] store_faults& faults() noexcept { return faults_; }
  [[nodiscard]] const store_counters& counters() const noexcept { return counters_; }

  // Decides whether a call from data centre `from` reaches the store, and counts the call.
  [[nodiscard]] access_decision admit(time_point now, store_access access,
                                      const data_centre_id& from);

  // Whether the current write is lost before it takes effect; uses up one pending fault.
  [[nodiscard]] bool should_lose_request();

  // Counts a write that took effect. Returns whether its reply is lost.
  [[nodiscard]] bool record_write();
  void record_conflict() { ++counters_.conflicts; }

 private:
  [[nodiscard]] access_result check_access(time_point now, store_access access,
                                           const data_centre_id& from);

  store_faults faults_;
  store_counters counters_;
  rate_limit read_limit_;
  rate_limit write_limit_;
  rng random_;
};

}  // namespace arbutus::standin
