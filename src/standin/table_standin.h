// Stand-in for the platform's table service: versioned rows, conditional writes, and the faults of
// the real service. Uses no socket and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/units.h"
#include "process/effects.h"
#include "standin/store_fault_model.h"

namespace arbutus::standin {

struct table_reply {
  store_status status = store_status::ok;
  table_row row;       // state of the row after the call; version 0: there is no row
  duration latency{};  // time before the response is sent
};

// Content of a backup. It includes the version counter: after an old copy is restored, versions are
// assigned a second time, as a real restore may do.
struct table_copy {
  std::map<std::string, table_row> rows;
  std::uint64_t last_version{};
};

class table_standin {
 public:
  explicit table_standin(std::uint64_t seed = 1) : fault_model_(seed) {}

  // Reads a row. `from` is the caller's data centre, for network partitions; may be empty.
  [[nodiscard]] table_reply read(time_point now, const std::string& key,
                                 const data_centre_id& from = {});

  // Writes a row if its current version is `expected`; 0: the row must not exist.
  table_reply write(time_point now, const std::string& key, std::string value,
                    std::uint64_t expected, const data_centre_id& from = {});

  // Removes a row. A row that is created later under the same key has a higher version.
  table_reply erase(time_point now, const std::string& key, std::uint64_t expected,
                    const data_centre_id& from = {});

  struct listing {
    store_status status = store_status::ok;
    std::vector<std::string> keys;
    duration latency{};
  };
  [[nodiscard]] listing list(time_point now, std::string_view prefix,
                             const data_centre_id& from = {});

  [[nodiscard]] const table_copy& snapshot() const noexcept { return content_; }
  void restore(table_copy old) { content_ = std::move(old); }

  [[nodiscard]] store_faults& faults() noexcept { return fault_model_.faults(); }
  [[nodiscard]] const store_counters& counters() const noexcept { return fault_model_.counters(); }

 private:
  [[nodiscard]] table_row row(const std::string& key) const;
  template <class Change>
  table_reply change(time_point now, const std::string& key, std::uint64_t expected,
                     const data_centre_id& from, Change&& apply);

  table_copy content_;
  store_fault_model fault_model_;
};

}  // namespace arbutus::standin
