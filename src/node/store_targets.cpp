// Follows the list of targets, in the platform's store or by updates from the hub.
#include <algorithm>

#include "connection/clock.h"
#include "node/log.h"
#include "node/store_timing.h"
#include "node/store_watch.h"
#include "platform/documents.h"
#include "process/list_update.h"
#include "process/target_incarnation.h"

namespace arbutus {

namespace {

// Records of targets change only with a replica or a target. The feed answers when there is a
// change, or after this time: one call a second without changes, and changes are known immediately.
constexpr duration target_feed_wait = 1s;
// Changes of targets come in bursts, as when a replica forms; those within the pause are read
// together. Each hub reads the feed, so the pause grows with the number of data centres.
constexpr duration target_pause_per_data_centre = 40ms;  // per data centre
constexpr duration min_target_pause = 100ms;
constexpr duration max_target_pause = 250ms;
// Pause between two queries for changed targets in the first seconds after the start, while
// replicas form. A longer delay would waste time in which loading weights is cheap.
constexpr duration target_pause_at_start = 60ms;
// A node that is no hub controls no replicas, so a longer pause is sufficient until another hub
// sends it updates. Without this, when the hub of 59 nodes failed, each of them queried the store
// ten times a second.
constexpr duration target_pause_of_non_hubs = 500ms;
// Longest time between two answers while the list is followed: the feed's wait, plus the delay of a
// late answer.
constexpr duration max_followed_gap = target_feed_wait + 1s;
// A node that lacks records waits this long for its hub before it reads the table itself: twice the
// time after which another node takes over from an unresponsive hub.
constexpr duration hub_forward_timeout = 3s;
// Targets that the copy of a restored store lacks are listed again within two seconds, or gone, and
// those that have ended since the copy are unlisted.
constexpr duration restored_list_settle_time = 2500ms;
// At the start of an entire deployment, the rows of the nodes have been written and read after this
// time.
constexpr duration peers_known_timeout = 500ms;
// Bytes of a reason in a log line; it may quote a long value of another writer.
constexpr std::size_t max_reason_length = 200;

}  // namespace

duration store_watch::target_pause(time_point now) const {
  if (!node_.peers.is_hub(now)) {
    return target_pause_of_non_hubs;
  }
  if (now - started_at_ < start_phase_duration) {
    return target_pause_at_start;
  }
  const auto hubs = static_cast<std::int64_t>(node_.settings.data_centres.size());
  return std::clamp(hubs * target_pause_per_data_centre, min_target_pause, max_target_pause);
}

std::uint64_t store_watch::records_position() const {
  return node_.fleet_complete ? node_.target_rows.position() : 0;
}

void store_watch::apply_target_update(time_point requested_at, time_point now,
                                      const feed_update& update) {
  if (node_.is_superseded(update.position)) {
    return;
  }
  targets_withheld_ = update.withheld;
  if (update.withheld) {
    return;  // the rows have to be read from the store
  }
  const list_update_use use = use_of(update, node_.fleet_complete, node_.target_rows.position());
  if (use == list_update_use::none) {
    return;
  }
  if (use == list_update_use::replaces) {
    replace_targets(requested_at, update.rows, update.position);
  } else {
    // The hub may have sent these rows already, in answer to an older heartbeat of this node.
    for (const feed_row& row : update.rows) {
      if (row.version > node_.target_rows.position()) {
        apply_target_row(requested_at, row);
        node_.target_rows.apply(row);
      }
    }
    node_.target_rows.advance(update.position);
  }
  targets_positioned_ = targets_positioned_ || node_.fleet_known;
  node_.fleet_list_requested_at = std::max(node_.fleet_list_requested_at, requested_at);
  hub_targets_update_at_ = now;
}

// Applies the serving replicas and the position in the table of targets that they correspond to. If
// the hub fails, this node continues at the store from that position. It then gets the records of
// changed targets only, which is sufficient.
void store_watch::apply_serving_update(time_point requested_at, time_point now,
                                       const node_heartbeat& message) {
  if (node_.is_superseded(message.targets_position)) {
    return;
  }
  const feed_update& update = *message.serving_rows;
  targets_withheld_ = update.withheld;
  if (update.withheld || follows_records()) {
    return;
  }
  const bool first = !node_.fleet_known;
  const bool taken =
      node_.received_serving.apply(requested_at, message.incarnation, update.after, update.complete,
                                   update.position, update.rows, node_.fleet);
  if (!taken) {
    return;
  }
  if (first || node_.fleet_complete) {
    log_line(log_level::info, "fleet", "follows what serves",
             {{"rows", std::uint64_t{update.rows.size()}},
              {"position", number_of(message.targets_position)}});
  }
  node_.target_rows.resume_from(message.targets_position);
  node_.fleet_complete = false;
  node_.fleet_known = true;
  targets_positioned_ = true;
  node_.fleet_list_requested_at = std::max(node_.fleet_list_requested_at, requested_at);
  hub_targets_update_at_ = now;
}

void store_watch::replace_targets(time_point requested_at, const std::vector<feed_row>& rows,
                                  std::uint64_t position) {
  std::vector<fleet_view::listed_row> records;
  for (const feed_row& row : rows) {
    if (auto record = read_record(row)) {
      records.push_back({std::move(*record), row.version});
    }
  }
  const bool restored =
      node_.fleet_known && era_of(position) > era_of(node_.target_rows.position());
  if (restored) {
    list_unsettled_ = true;
    list_settles_at_ = requested_at + restored_list_settle_time;
  }
  const bool settled = requested_at >= list_settles_at_;
  if (settled) {
    node_.fleet.replace_all(requested_at, records, written_after(requested_at));
    list_unsettled_ = false;
  } else {
    node_.fleet.merge_restored(requested_at, records);
  }
  node_.target_rows.replace(rows, position);
  node_.fleet_known = true;
  node_.fleet_complete = true;
  records_missing_since_ = {};
  node_.fleet_list_requested_at = std::max(node_.fleet_list_requested_at, requested_at);
  log_line(log_level::info, "fleet", "read whole",
           {{"targets", std::uint64_t{records.size()}},
            {"era", era_of(position)},
            {"position", number_of(position)},
            {"settled", settled}});
}

void store_watch::apply_target_row(time_point requested_at, const feed_row& row) {
  const target_id known = node_.fleet.current_incarnation(row.key);
  if (row.removed) {
    node_.fleet.mark_unlisted(requested_at, known);
    log_line(log_level::info, "fleet", "unlisted", {{"target", known}});
    return;
  }
  auto record = read_record(row);
  if (!record) {
    // Another writer has overwritten the engine's own record. Until its next record the engine gets
    // no new requests, as if it had left.
    node_.fleet.mark_unlisted(requested_at, known);
    return;
  }
  const target_id id = record->id;
  const target_view* before = node_.fleet.find(id);
  if (before == nullptr || !before->listed) {
    log_line(log_level::info, "fleet", "listed",
             {{"target", id}, {"service", record->service}, {"domain", record->domain}});
  } else if (record->draining && !before->record.draining) {
    log_line(log_level::info, "fleet", "draining", {{"target", id}});
  }
  const endpoint address = record->address;
  if (!node_.fleet.apply_record(requested_at, std::move(*record), row.version,
                                written_after(requested_at))) {
    log_line(log_level::info, "fleet", "record of an ended life", {{"target", id}});
  } else if (!known.empty() && known != id) {
    log_line(log_level::info, "fleet", "started again", {{"target", id}, {"before", known}});
    node_.forget_connections(address);
  }
}

// The earliest time at which a row after the last position can have been written. Empty without a
// gap in following the list: such a row was written recently.
std::optional<time_point> store_watch::written_after(time_point requested_at) const {
  if (!node_.fleet_known || requested_at - node_.fleet_list_requested_at <= max_followed_gap) {
    return std::nullopt;
  }
  return node_.fleet_list_requested_at;
}

// Parses the record of a target. Empty if it cannot be used; other records are not affected.
std::optional<target_record> store_watch::read_record(const feed_row& row) {
  std::string problem = "its value cannot be decoded";
  std::optional<target_record> record;
  if (row.readable) {
    record = read_target_record(row.key, row.value, problem);
  }
  if (!record) {
    node_.metrics.count("arbutusworks_unreadable_records");
    // Logged once for each version of a row. The key may be any text.
    log_line(log_level::warning, "fleet", "unreadable record",
             {{"target", row.key.substr(0, max_engine_name_length)},
              {"version", number_of(row.version)},
              {"reason", problem.substr(0, max_reason_length)}});
  }
  return record;
}

// Without this, 300 nodes that start together decode 1.3 MB each, on an eighth of a core.
bool store_watch::may_read_further_pages(time_point now) const {
  return follows_records() || node_.peers.is_hub(now) ||
         (list_left_to_hub_ && now - records_missing_since_ >= hub_forward_timeout);
}

// Looks for replicas of earlier processes in the first page of the first list.
void store_watch::note_replicas_at_start(const store_rows& page) {
  const time_point now = monotonic_now();
  if (node_.start.kind(now) != start_kind::undecided) {
    return;
  }
  const bool found = std::ranges::any_of(page.rows, [](const store_row& row) {
    std::string problem;
    const auto record = read_target_record(row.key, row.value, problem);
    return record && record->member_of && record->member_of->state != member_state::joining;
  });
  node_.start.note_replicas(now, found);
}

bool store_watch::read_targets() {
  std::vector<feed_row> all;
  std::string from;
  std::uint64_t first_version = 0;
  const time_point requested_at = monotonic_now();
  for (;;) {
    const auto result = node_.store.read(target_table, from, monotonic_now() + store_read_timeout);
    const auto* rows = std::get_if<store_rows>(&result);
    count_call("targets whole", rows != nullptr);
    if (rows == nullptr || node_.is_superseded(rows->version) ||
        rows->version < records_position()) {
      return false;
    }
    // The store came back from a copy between two pages.
    if (first_version != 0 && era_of(rows->version) != era_of(first_version)) {
      return false;
    }
    // Pages are read one after the other. Changes made meanwhile are read again from the feed,
    // which continues from the version of the first page.
    first_version = first_version == 0 ? rows->version : first_version;
    note_replicas_at_start(*rows);
    if (rows->has_more && !may_read_further_pages(requested_at)) {
      list_left_to_hub_ = true;
      log_line(log_level::info, "fleet", "long list left to the hub",
               {{"position", number_of(rows->version)}});
      return false;
    }
    for (const store_row& row : rows->rows) {
      all.push_back({row.key, row.value, row.version, false, row.readable});
    }
    if (!rows->has_more || rows->rows.empty()) {
      break;
    }
    from = rows->rows.back().key + '\x01';
  }
  replace_targets(requested_at, all, first_version);
  return true;
}

void store_watch::update_subscription(time_point now) {
  if (node_.peers.is_discovering(now)) {
    return;
  }
  // Which node is the strongest, and so the hub, is known from the rows of the nodes, which are
  // read at the start.
  const bool peers_known =
      nodes_reads_ > 0 && node_.peers.peer_count() > 0 && !node_.start.may_be_first(now);
  if (record_subscription_.decided() || peers_known || now - started_at_ >= peers_known_timeout) {
    record_subscription_.update(now, node_.peers.is_hub(now), node_.peers.is_hub_or_next(now));
  }
}

bool store_watch::must_read_list_again(time_point now) const {
  return list_unsettled_ && now >= list_settles_at_ &&
         (follows_records() || node_.peers.is_hub(now));
}

// Whether to read the records of all targets from the store. Usually the hub forwards what a node
// needs. A node still reads the table at its start, if it is a single page, to serve immediately. A
// hub always reads it, and other nodes do when no hub sends updates.
bool store_watch::must_read_all_targets(time_point now) {
  const bool enough = targets_positioned_ && (node_.fleet_complete || !follows_records()) &&
                      !must_read_list_again(now);
  if (enough) {
    records_missing_since_ = {};
    return false;
  }
  if (records_missing_since_ == time_point{}) {
    records_missing_since_ = now;
  }
  const bool at_start = !node_.fleet_known && !list_left_to_hub_;
  return node_.peers.is_hub(now) || at_start || now - records_missing_since_ >= hub_forward_timeout;
}

// Queries the store for changed targets. Returns the pause until the next query.
duration store_watch::watch_targets(time_point requested_at) {
  const auto result =
      node_.store.watch(target_table, node_.target_rows.position(), target_feed_wait,
                        requested_at + target_feed_wait + late_answer_allowance);
  count_call("targets news", std::holds_alternative<store_rows>(result));
  if (std::holds_alternative<history_dropped>(result)) {
    targets_positioned_ = false;
    return 0ms;
  }
  const auto* rows = std::get_if<store_rows>(&result);
  note_dependency("targets", target_list_available_, rows != nullptr,
                  rows == nullptr ? "the watch failed" : "watched");
  if (rows == nullptr) {
    return target_pause(requested_at);
  }
  for (const store_row& row : rows->rows) {
    const feed_row changed{row.key, row.value, row.version, row.removed, row.readable};
    apply_target_row(requested_at, changed);
    node_.target_rows.apply(changed);
    // This row came from the store, so the serving replicas that the hub sends next do not continue
    // from the state of this node.
    node_.received_serving.reset_position();
  }
  node_.target_rows.advance(rows->version);
  node_.fleet_list_requested_at = requested_at;
  targets_withheld_ = false;
  return target_pause(requested_at);
}

duration store_watch::follow_targets_once(time_point requested_at) {
  node_.fleet.remove_expired(requested_at);
  update_subscription(requested_at);
  // While the store does not answer queries about the configuration, the targets are not queried;
  // only the queries about the configuration are repeated.
  if (configuration_failures_ > 0) {
    return hub_check_interval;
  }
  if (must_read_all_targets(requested_at)) {
    targets_positioned_ = read_targets();
    note_dependency("targets", target_list_available_, targets_positioned_, "whole list");
    return targets_positioned_ ? target_pause(requested_at) : store_retry_pause;
  }
  const bool updated_by_hub = requested_at - hub_targets_update_at_ < hub_update_validity &&
                              !node_.peers.is_hub(requested_at);
  const bool waits = updated_by_hub || !targets_positioned_ || awaits_hub(requested_at);
  if (waits && !(targets_withheld_ && targets_positioned_)) {
    return hub_check_interval;
  }
  return watch_targets(requested_at);
}

void store_watch::follow_targets() {
  for (;;) {
    const time_point requested_at = monotonic_now();
    const duration pause = follow_targets_once(requested_at);
    if (!sleep_until(std::max(requested_at + pause, monotonic_now()))) {
      return;
    }
  }
}

}  // namespace arbutus
