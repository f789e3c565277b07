// Applies the rows of evacuated data centres by their versions.
#include "process/evacuations.h"

#include <algorithm>

#include "process/store_version.h"

namespace arbutus {

void evacuations::lift(const data_centre_id& id, evacuation_changes& changes) {
  if (evacuated_.erase(id) > 0) {
    changes.lifted.push_back(id);
  }
}

void evacuations::apply_row(const evacuation_row& row, evacuation_changes& changes) {
  const auto [known, is_new] = rows_.try_emplace(row.data_centre);
  if (!is_new && row.version <= known->second.version) {
    return;
  }
  known->second = {row.version, row.removed};
  if (row.removed) {
    lift(row.data_centre, changes);
  } else if (!data_centres_.contains(row.data_centre)) {
    changes.unknown.push_back(row.data_centre);
  } else if (evacuated_.insert(row.data_centre).second) {
    changes.begun.push_back(row.data_centre);
  }
}

evacuation_changes evacuations::apply(const std::vector<evacuation_row>& rows) {
  evacuation_changes changes;
  for (const evacuation_row& row : rows) {
    apply_row(row, changes);
  }
  return changes;
}

evacuation_changes evacuations::replace(const std::vector<evacuation_row>& rows,
                                        std::uint64_t position, absent_rows absent) {
  evacuation_changes changes = apply(rows);
  for (auto& [id, known] : rows_) {
    const bool is_present = std::ranges::find(rows, id, &evacuation_row::data_centre) != rows.end();
    const bool is_kept =
        absent == absent_rows::kept_if_restored && era_of(known.version) < era_of(position);
    if (!is_present && !known.removed && known.version <= position && !is_kept) {
      known = {position, true};
      lift(id, changes);
    }
  }
  is_known_ = true;
  return changes;
}

bool evacuations::has_rows_before_era(std::uint64_t era) const {
  return std::ranges::any_of(
      evacuated_, [&](const data_centre_id& id) { return era_of(rows_.at(id).version) < era; });
}

}  // namespace arbutus
