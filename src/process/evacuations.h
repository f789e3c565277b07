// The data centres that operators have evacuated: no request is sent to their targets.
//
// The state is a row of the platform's store for each evacuated data centre. Rows arrive from the
// store or from the hub, several times and out of order, so each is applied by its version. Uses no
// clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/id.h"

namespace arbutus {

// The row of one data centre.
struct evacuation_row {
  data_centre_id data_centre;
  std::uint64_t version{};  // as in store_version.h
  bool removed = false;     // the evacuation was lifted
};

// Effects of rows on the set.
struct evacuation_changes {
  std::vector<data_centre_id> begun;
  std::vector<data_centre_id> lifted;
  std::vector<data_centre_id> unknown;  // no data centre of the deployment has this name
};

class evacuations {
 public:
  // Rows of other data centres than these have no effect.
  explicit evacuations(const std::vector<data_centre_id>& data_centres)
      : data_centres_(data_centres.begin(), data_centres.end()) {}

  // Applies changed rows. A row that is not newer than the known one has no effect.
  evacuation_changes apply(const std::vector<evacuation_row>& rows);

  // Whether evacuations that a restored store lacks stay in force.
  enum class absent_rows : std::uint8_t {
    lifted,            // a row that the table lacks was removed
    kept_if_restored,  // unless it was last seen in an earlier era of the store
  };
  // Applies all rows of the table as of `position`. A row that was last seen after it stays.
  evacuation_changes replace(const std::vector<evacuation_row>& rows, std::uint64_t position,
                             absent_rows absent);

  // False until the whole table was applied once: any data centre may be evacuated.
  [[nodiscard]] bool is_known() const { return is_known_; }
  [[nodiscard]] bool is_evacuated(const data_centre_id& id) const {
    return evacuated_.contains(id);
  }
  [[nodiscard]] bool is_empty() const { return evacuated_.empty(); }
  [[nodiscard]] const std::set<data_centre_id>& all() const { return evacuated_; }
  // Whether an evacuation is in force that was last seen in an earlier era of the store.
  [[nodiscard]] bool has_rows_before_era(std::uint64_t era) const;

 private:
  struct known_row {
    std::uint64_t version{};
    bool removed = false;
  };

  void apply_row(const evacuation_row& row, evacuation_changes& changes);
  void lift(const data_centre_id& id, evacuation_changes& changes);

  std::set<data_centre_id> data_centres_;  // of the deployment
  std::map<data_centre_id, known_row> rows_;
  std::set<data_centre_id> evacuated_;
  bool is_known_ = false;
};

}  // namespace arbutus
