// Follows which data centres are evacuated, by the rows beside the configuration.
#include <algorithm>

#include "connection/clock.h"
#include "node/log.h"
#include "node/store_watch.h"
#include "platform/documents.h"

namespace arbutus {

namespace {

// Pause between two full reads of the table for evacuations that a restored store may lack: the
// hub may need a second for its own.
constexpr duration evacuation_recheck_interval = 2s;

std::vector<evacuation_row> evacuation_rows_of(const std::vector<feed_row>& rows) {
  std::vector<evacuation_row> result;
  for (const feed_row& row : rows) {
    if (auto data_centre = read_evacuation_key(row.key)) {
      result.push_back({std::move(*data_centre), row.version, row.removed});
    }
  }
  return result;
}

}  // namespace

void store_watch::apply_evacuations(time_point now, std::string_view source,
                                    const std::vector<feed_row>& rows) {
  note_evacuations(now, source, node_.evacuated_data_centres.apply(evacuation_rows_of(rows)));
}

void store_watch::replace_evacuations(time_point now, std::string_view source,
                                      const std::vector<feed_row>& rows, std::uint64_t position) {
  const auto absent = is_store_restored(now) ? evacuations::absent_rows::kept_if_restored
                                             : evacuations::absent_rows::lifted;
  note_evacuations(
      now, source,
      node_.evacuated_data_centres.replace(evacuation_rows_of(rows), position, absent));
}

void store_watch::note_evacuations(time_point now, std::string_view source,
                                   const evacuation_changes& changes) {
  // A row that is new here was written after the last proof that this node had all rows.
  const double at_most_ms = to_milliseconds(node_.configuration_lease.age(now).value_or(-1ms));
  const auto note = [&](std::string_view change, const data_centre_id& id) {
    node_.metrics.count("arbutusworks_evacuation_changes",
                        "change=\"" + std::string(change) + "\"");
    log_line(log_level::info, "evacuation", change,
             {{"data_centre", id}, {"source", source}, {"at_most_ms", at_most_ms}});
  };
  for (const data_centre_id& id : changes.begun) {
    note("in force", id);
  }
  for (const data_centre_id& id : changes.lifted) {
    note("lifted", id);
    node_.warming.data_centre_turned_cold(now, id);
  }
  for (const data_centre_id& id : changes.unknown) {
    log_line(log_level::warning, "evacuation", "unknown data centre", {{"data_centre", id}});
  }
}

// Applies all rows of a whole table but the configuration itself for forwarding. Rows that a
// restored store lacks stay until it has settled, so that nodes that start meanwhile receive them.
void store_watch::replace_configuration_rows(time_point now, std::vector<feed_row> rows,
                                             std::uint64_t position) {
  std::erase_if(rows, [](const feed_row& row) { return row.key == configuration_key; });
  if (is_store_restored(now)) {
    for (const feed_row& known : node_.configuration_rows.since(0)) {
      const bool is_present = std::ranges::find(rows, known.key, &feed_row::key) != rows.end();
      if (!is_present && !known.removed && era_of(known.version) < era_of(position)) {
        rows.push_back(known);
      }
    }
  }
  node_.configuration_rows.replace(rows, position);
}

void store_watch::recheck_evacuations(time_point now) {
  const bool is_due = node_.evacuated_data_centres.has_rows_before_era(node_.store_era()) &&
                      !is_store_restored(now) &&
                      now - evacuations_rechecked_at_ >= evacuation_recheck_interval;
  if (!is_due) {
    return;
  }
  evacuations_rechecked_at_ = now;
  configuration_positioned_ = false;
  if (is_updated_by_hub(now)) {
    node_.configuration_rows.resume_from(0);  // the hub then sends all rows
  }
}

}  // namespace arbutus
