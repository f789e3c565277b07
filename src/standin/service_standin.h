// Stand-in for a plain service, such as one that writes job cards: it does whatever it is asked,
// and remembers what it did, so that a checker sees each call that ran twice or not at all.
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

// Faults of the next calls; each number counts down.
struct service_faults {
  std::uint32_t late{};
  duration late_by{};
  std::uint32_t cut_before{};  // the connection breaks before the call runs
  std::uint32_t cut_after{};   // it breaks after the call ran
};

struct service_reply {
  bool cut = false;  // no answer
  duration late_by{};
  std::string body;  // JSON: names the call and its body's hash
};

struct service_counters {
  std::uint64_t executions{};
  std::uint64_t keys{};          // different keys among them
  std::uint32_t most_per_key{};  // above 1: a call was repeated
};

class service_standin {
 public:
  explicit service_standin(const service_id& service) : service_(service) {}

  service_reply call(const service_call& c);

  [[nodiscard]] service_faults& faults() noexcept { return faults_; }
  [[nodiscard]] const service_counters& counters() const noexcept { return counters_; }
  // By idempotency key, or by request id where a call had no key.
  [[nodiscard]] std::uint32_t executions_of(std::string_view key) const;

  [[nodiscard]] static std::string expected_body(const service_id& service, const service_call& c);

 private:
  void record(const service_call& c);

  service_id service_;
  service_faults faults_;
  service_counters counters_;
  // Invariant: counters_.keys is its size, counters_.most_per_key its largest value.
  std::unordered_map<std::string, std::uint32_t> executions_;
};

}  // namespace arbutus::standin
