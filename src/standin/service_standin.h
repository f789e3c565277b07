// Stand-in for a service that is not a model, such as one that writes job cards. It executes and
// records every call, so that a checker can detect calls that ran twice or not at all.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/id.h"
#include "base/units.h"

namespace arbutus::standin {

struct service_call {
  std::string method;
  std::string path;
  idempotency_key key;  // may be empty
  request_id id;        // may be empty
  std::string body;
};

// For each fault, the number of upcoming calls that get it; counted down with each call.
struct service_faults {
  std::uint32_t late{};
  duration late_by{};
  std::uint32_t cut_before{};  // the connection closes before the call runs
  std::uint32_t cut_after{};   // the connection closes after the call has run
  duration backoff{};          // calls are turned away, and asked to come back after this; 0: none
  bool says_leaving = false;   // the instances say in their responses that they are leaving
};

struct service_reply {
  bool cut = false;  // the connection closes without a response
  duration late_by{};
  std::string body;  // JSON: method, path and hash of the call's body
};

struct service_counters {
  std::uint64_t executions{};
  std::uint64_t keys{};         // number of distinct idempotency keys among the executed calls
  std::uint32_t max_per_key{};  // highest number of executions with one key; above 1, a call ran
                                // more than once
  std::uint64_t turned_away{};
};

class service_standin {
 public:
  explicit service_standin(const service_id& service) : service_(service) {}

  service_reply call(const service_call& c);

  [[nodiscard]] service_faults& faults() noexcept { return faults_; }
  void count_turned_away() { ++counters_.turned_away; }
  [[nodiscard]] const service_counters& counters() const noexcept { return counters_; }
  // How often the service executed a call. `key` is the call's idempotency key, or its request id
  // if it had none.
  [[nodiscard]] std::uint32_t executions_of(std::string_view key) const;

  [[nodiscard]] static std::string expected_body(const service_id& service, const service_call& c);

 private:
  void record(const service_call& c);

  service_id service_;
  service_faults faults_;
  service_counters counters_;
  // Number of executions by key. Invariant: counters_.keys is the size of this map, and
  // counters_.max_per_key is its largest value.
  std::unordered_map<std::string, std::uint32_t> executions_;
};

}  // namespace arbutus::standin
