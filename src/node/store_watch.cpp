// Follows the accepted configuration, and applies the updates that the hub forwards.
#include "node/store_watch.h"

#include <algorithm>

#include "connection/clock.h"
#include "node/log.h"
#include "node/store_timing.h"
#include "platform/documents.h"
#include "request/allowed_regions.h"

namespace arbutus {

namespace {

// Time that the store's feed waits for a change of the configuration before it answers that there
// is none. Its answer proves that the configuration is still the newest, and the age of this proof
// is counted from the time of the query. With 700 ms a node sends 1.4 queries a second and its
// proof is 0.7 to 1.4 s old.
constexpr duration configuration_feed_wait = 700ms;
// Pause after a change of the configuration; versions that are accepted within this time are read
// together.
constexpr duration configuration_query_pause = 40ms;
// After reading the tables at its start, a node waits this long for updates from its hub before it
// queries the store for changes; the read proves its configuration for longer than that. Without
// this, hundreds of nodes that start together make a dozen calls each until their first heartbeat
// arrives.
constexpr duration first_hub_update_timeout = 1500ms;
// Each consecutive failed query doubles the pause before the next one, up to this time. Without
// this, a node that is partitioned or refused by the store would send ten queries a second. The
// lease is over four times as long.
constexpr duration max_query_retry_pause = 800ms;
// Maximum pause between repeated queries of nodes that are neither the hub nor next in line to be
// it: the first node that the store serves again forwards to the others what they lack.
constexpr duration max_query_retry_pause_of_others = 3200ms;
// Consecutive failures after which a hub hands over; the first three take 300 ms.
constexpr std::uint32_t failures_before_handover = 3;
// A node that the store refused and that gets updates from another hub queries the store at this
// interval, to find out whether it is served again.
constexpr duration refused_query_interval = 2s;
// While its hub withholds the newest configuration, a node reads it from the store, at most once
// per interval if versions come in quick succession. The operators' bound until a version must be
// in force is 2 to 3 s.
constexpr duration withheld_query_interval = 400ms;
// A node that lacks a version and gets no part of it for three heartbeats reads it from the store.
constexpr duration part_timeout = 600ms;
constexpr duration max_hub_proof_age = 1700ms;
// Minimum time between two log lines about this node's calls to the store. A node without such
// calls logs none.
constexpr duration calls_log_interval = 5s;

// The reason why a call to the store gave no usable result.
template <class Result>
std::string describe_failure(const Result& result) {
  if (const auto* no = std::get_if<refused>(&result)) {
    return no->reason;
  }
  if (const auto* none = std::get_if<unknown>(&result)) {
    return none->reason;
  }
  if (const auto* rows = std::get_if<store_rows>(&result)) {
    return "the store returned an older state of the table, " +
           std::to_string(number_of(rows->version)) + " in era " +
           std::to_string(era_of(rows->version));
  }
  return "the history was dropped";
}

// Requests that only a region without a data centre may serve are refused.
void warn_of_unknown_regions(const service_map& map, const region_map& regions) {
  for (const region_id& named : map.named_regions()) {
    const bool is_known =
        std::ranges::any_of(regions, [&](const auto& entry) { return entry.second == named; });
    if (!is_known) {
      log_line(log_level::warning, "configuration", "no data centre is in this region",
               {{"version", map.version()}, {"region", named}});
    }
  }
}

// Whether the update of the configuration table has all its rows. Nodes of earlier releases do not
// mark such updates, and send them to nodes without a position.
bool is_whole(const feed_update& update) {
  return update.complete || (update.after == 0 && update.position > 0);
}

}  // namespace

store_watch::store_watch(hosted_state& node) : node_(node), started_at_(monotonic_now()) {}

void store_watch::note_dependency(std::string_view name, bool& up, bool now_up,
                                  std::string_view reason) {
  if (up == now_up) {
    return;
  }
  up = now_up;
  log_line(now_up ? log_level::info : log_level::warning, "store", now_up ? "regained" : "lost",
           {{"what", name},
            {"reason", reason},
            {"lease_age_ms",
             to_milliseconds(node_.configuration_lease.age(monotonic_now()).value_or(-1ms))}});
}

// Calls to the store are expensive, so they are counted by purpose.
void store_watch::count_call(std::string_view what, bool answered) {
  if (answered) {
    node_.informed_at = monotonic_now();
  }
  node_.metrics.count("arbutusworks_store_calls", "what=\"" + std::string(what) + "\",answered=\"" +
                                                      (answered ? "yes" : "no") + "\"");
  const auto found = store_calls_.find(what);
  ++(found == store_calls_.end() ? store_calls_.emplace(what, 0).first->second : found->second);
}

// Metrics are lost when a process exits. The log shows afterwards which of hundreds of nodes made
// the calls in an incident.
void store_watch::log_calls(time_point now) {
  std::uint64_t all = 0;
  std::string text;
  for (const auto& [what, count] : store_calls_) {
    all += count;
    text += (text.empty() ? "" : ", ") + what + " " + std::to_string(count);
  }
  if (all == logged_store_calls_ || now - store_calls_logged_at_ < calls_log_interval) {
    return;
  }
  logged_store_calls_ = all;
  store_calls_logged_at_ = now;
  log_line(log_level::info, "store", "calls",
           {{"total", all}, {"by_kind", text}, {"hub", node_.peers.is_hub(now)}});
}

void store_watch::follow_era(time_point now) {
  const std::uint64_t era = node_.store_era();
  if (era == followed_era_) {
    return;
  }
  if (era > first_store_era) {
    node_.start.note_restored_store(now);
  }
  const bool is_first = followed_era_ == 0;
  if (!is_first) {
    restored_at_ = now;
    node_.metrics.count("arbutusworks_store_restores");
    log_line(log_level::warning, "store", "came back from a copy",
             {{"era", era},
              {"before", followed_era_},
              {"configuration_position", number_of(node_.configuration_rows.position())},
              {"targets_position", number_of(node_.target_rows.position())}});
  }
  followed_era_ = era;
  configuration_positioned_ =
      configuration_positioned_ && !node_.is_superseded(node_.configuration_rows.position());
  targets_positioned_ = targets_positioned_ && !node_.is_superseded(node_.target_rows.position());
}

bool store_watch::is_updated_by_hub(time_point now) const {
  return now - hub_update_at_ < hub_update_validity && !node_.peers.is_hub(now);
}

void store_watch::apply_hub_update(time_point requested_at, time_point now,
                                   const node_heartbeat& message) {
  // The hub echoes a stamp from before this VM lost power, when its clock had run for longer.
  if (requested_at > now) {
    return;
  }
  if (message.targets) {
    apply_target_update(requested_at - message.targets->age, now, *message.targets);
  } else if (message.serving_rows) {
    apply_serving_update(requested_at - message.serving_rows->age, now, message);
  }
  const bool is_readable = message.configuration && message.configuration_version;
  if (!is_readable || node_.is_superseded(message.configuration->position)) {
    hub_update_at_ = {};
    return;
  }
  if (!node_.configuration_rows.can_resume(message.configuration->after)) {
    return;
  }
  follow_era(now);
  const feed_update& update = *message.configuration;
  if (is_whole(update)) {
    replace_evacuations(now, "hub", update.rows, update.position);
  } else {
    apply_evacuations(now, "hub", update.rows);
  }
  note_newest(now, message);
  if (message.configuration_part) {
    apply_configuration_part(requested_at, now, *message.configuration_part);
  }
  configuration_withheld_ = message.configuration->withheld && node_.configuration_lag.behind();
  if (node_.configurations.newest_version() >= *message.configuration_version) {
    for (const feed_row& row : update.rows) {
      apply_configuration_row(requested_at, "hub", row);
    }
    if (is_whole(update) && update.position >= node_.configuration_rows.position()) {
      replace_configuration_rows(now, update.rows, update.position);
    }
    node_.configuration_rows.advance(update.position);
    configuration_positioned_ = true;
    // When the store confirmed the hub's configuration as the newest, the hub had all rows up to
    // its position, and this node has the same rows now.
    if (node_.map && message.configuration->position >= node_.configuration_rows.position()) {
      node_.configuration_lease.renew(requested_at - message.configuration->age);
    }
  }
  // Updates of a hub whose own configuration was last confirmed long ago do not keep this node
  // current.
  if (message.configuration->age < max_hub_proof_age) {
    hub_update_at_ = now;
  }
}

void store_watch::apply_offered_configuration(time_point now, const node_heartbeat& message) {
  if (!message.configuration_part || !message.configuration_version) {
    return;
  }
  note_newest(now, message);
  apply_configuration_part(now, now, *message.configuration_part);
}

void store_watch::note_newest(time_point now, const node_heartbeat& message) {
  const bool was_behind = node_.configuration_lag.behind();
  node_.configuration_lag.version_reported(now, *message.configuration_version);
  if (was_behind || !node_.configuration_lag.behind()) {
    return;
  }
  log_line(
      log_level::info, "configuration", "behind",
      {{"version", node_.configurations.newest_version()},
       {"hub_version", *message.configuration_version},
       {"hub_proof_ms", message.configuration ? to_milliseconds(message.configuration->age) : -1},
       {"withheld", message.configuration && message.configuration->withheld}});
}

void store_watch::apply_configuration_part(time_point requested_at, time_point now,
                                           const config_part& part) {
  const config_progress before = configuration_receiver_.progress();
  auto text = configuration_receiver_.receive(part, node_.configurations);
  if (text || configuration_receiver_.progress() != before) {
    part_received_at_ = now;
  }
  if (text) {
    apply_configuration(requested_at, "hub", *text);
  }
}

bool store_watch::is_part_overdue(time_point now) const {
  const duration since_part = now - part_received_at_;
  return std::min(node_.configuration_lag.age(now), since_part) >= part_timeout;
}

bool store_watch::awaits_hub(time_point now) const {
  return now - started_at_ < first_hub_update_timeout && !node_.peers.is_hub(now) &&
         (node_.peers.is_discovering(now) || node_.peers.has_peer_in_own_data_centre());
}

bool store_watch::must_query(time_point now) const {
  if (!is_updated_by_hub(now)) {
    return !(configuration_positioned_ && awaits_hub(now));
  }
  return ((configuration_withheld_ || is_part_overdue(now)) &&
          now - configuration_queried_at_ >= withheld_query_interval) ||
         (node_.peers.refused_by_store() &&
          now - configuration_queried_at_ >= refused_query_interval);
}

void store_watch::note_query_result(time_point now, bool answered) {
  configuration_failures_ = answered ? 0 : configuration_failures_ + 1;
  configuration_withheld_ = configuration_withheld_ && !answered;
  // A query that timed out has taken so long that the store counts as refusing this node without
  // further failures.
  const bool timed_out =
      now - configuration_queried_at_ >= configuration_feed_wait + late_answer_allowance;
  const bool refused_by_store = !answered && (node_.peers.refused_by_store() || timed_out ||
                                              configuration_failures_ >= failures_before_handover);
  if (refused_by_store != node_.peers.refused_by_store()) {
    node_.peers.set_refused_by_store(now, refused_by_store);
    log_line(log_level::info, "store", refused_by_store ? "turned away" : "served again",
             {{"failures", configuration_failures_}, {"hub", node_.peers.is_hub(now)}});
  }
}

duration store_watch::pause_after_failure() const {
  constexpr std::uint32_t max_pause_doublings = 5;
  const duration longest = node_.peers.is_hub_or_next(monotonic_now())
                               ? max_query_retry_pause
                               : max_query_retry_pause_of_others;
  return std::min(store_retry_pause *
                      (1U << std::min(configuration_failures_ > 0 ? configuration_failures_ - 1 : 0,
                                      max_pause_doublings)),
                  longest);
}

// Puts the configuration in force if it is newer than the one that is.
std::optional<std::uint64_t> store_watch::activate_configuration(const std::string& text) {
  service_map_result result = service_map_reader_.read(text);
  if (!result.map) {
    for (const finding& f : result.problems) {
      log_line(log_level::error, "configuration", "finding",
               {{"place", f.where.file}, {"message", f.message}, {"expected", f.expected}});
    }
    return std::nullopt;
  }
  const std::uint64_t version = result.map->version();
  if (!node_.map || version > node_.map->version()) {
    warn_of_unknown_regions(*result.map, node_.settings.regions);
    node_.map = std::make_shared<const service_map>(std::move(*result.map));
  } else if (version < node_.map->version()) {
    log_line(log_level::warning, "configuration", "ignored: older than the one in force",
             {{"version", node_.map->version()}, {"offered", version}});
  }
  return version;
}

// Logs how long it took until a version was in force on this node, by step.
void store_watch::log_in_force(time_point requested_at, time_point arrived, duration behind,
                               std::string_view source, std::size_t bytes) {
  const time_point now = monotonic_now();
  node_.metrics.record_step("configuration_in_force", std::max(behind, now - requested_at));
  log_line(log_level::info, "configuration", "in force",
           {{"version", node_.map->version()},
            {"routes", std::uint64_t{node_.map->routes().size()}},
            {"era", node_.store_era()},
            {"row", number_of(configuration_row_)},
            {"source", source},
            {"bytes", std::uint64_t{bytes}},
            {"behind_ms", to_milliseconds(behind)},
            {"answer_ms", to_milliseconds(arrived - requested_at)},
            {"decode_ms", to_milliseconds(now - arrived)}});
}

// Applies a row of the configuration table, unless it was read already.
void store_watch::apply_configuration_row(time_point requested_at, std::string_view source,
                                          const feed_row& row) {
  if (row.key != configuration_key) {
    node_.configuration_rows.apply(row);
    return;
  }
  if (row.removed || row.version <= configuration_row_) {
    return;
  }
  configuration_row_ = row.version;
  const auto version = apply_configuration(requested_at, source, row.value);
  node_.store_lacks_configuration = version && *version < node_.configurations.newest_version();
}

std::optional<std::uint64_t> store_watch::apply_configuration(time_point requested_at,
                                                              std::string_view source,
                                                              const std::string& text) {
  const time_point arrived = monotonic_now();
  const auto before = node_.map;
  const duration behind = node_.configuration_lag.age(arrived);
  const auto version = activate_configuration(text);
  if (node_.map != before) {
    node_.configurations.add(*version, text);
    node_.configuration_lag.version_applied(*version);
    log_in_force(requested_at, arrived, behind, source, text.size());
  }
  return version;
}

// Logs a failed query. While queries fail, the proof gets older, until callers are refused.
void store_watch::log_failed_query(time_point requested_at, std::string_view reason) {
  const time_point now = monotonic_now();
  log_line(log_level::warning, "configuration", "not answered",
           {{"reason", reason},
            {"era", node_.store_era()},
            {"position", number_of(node_.configuration_rows.position())},
            {"failures", configuration_failures_ + 1},
            {"waited_ms", to_milliseconds(now - requested_at)},
            {"lease_age_ms", to_milliseconds(node_.configuration_lease.age(now).value_or(-1ms))}});
}

// Reads the pages of the configuration table. Changes made meanwhile are read again from the feed,
// which continues from the version of the first page.
store_watch::configuration_read store_watch::read_configuration_pages(time_point requested_at) {
  configuration_read read{unknown{}, {}, 0};
  std::string from;
  for (;;) {
    read.result = node_.store.read(configuration_table, from, requested_at + store_read_timeout);
    const auto* page = std::get_if<store_rows>(&read.result);
    count_call("configuration whole", page != nullptr);
    if (page == nullptr) {
      return read;
    }
    read.position = read.position == 0 ? page->version : read.position;
    for (const store_row& row : page->rows) {
      read.rows.push_back({row.key, row.value, row.version, row.removed, row.readable});
    }
    if (!page->has_more || page->rows.empty()) {
      return read;
    }
    from = page->rows.back().key + '\x01';
  }
}

// Reads the full configuration table, when there is no position to continue from.
bool store_watch::read_configuration() {
  const time_point requested_at = monotonic_now();
  configuration_read read = read_configuration_pages(requested_at);
  const bool answered = std::holds_alternative<store_rows>(read.result);
  const bool usable = answered && !node_.is_superseded(read.position) &&
                      read.position >= node_.configuration_rows.position();
  note_dependency("configuration", configuration_available_, usable,
                  answered ? "whole table" : "no answer");
  if (!usable) {
    log_failed_query(requested_at, describe_failure(read.result));
    return false;
  }
  const time_point now = monotonic_now();
  follow_era(now);
  replace_evacuations(now, "store", read.rows, read.position);
  // A restored store may have none.
  node_.store_lacks_configuration = node_.map != nullptr;
  for (const feed_row& row : read.rows) {
    apply_configuration_row(requested_at, "whole table", row);
  }
  replace_configuration_rows(now, std::move(read.rows), read.position);
  if (node_.map) {
    node_.configuration_lease.renew(requested_at);
  }
  return true;
}

void store_watch::follow_configuration() {
  for (;;) {
    duration pause = hub_check_interval;
    const time_point requested_at = monotonic_now();
    log_calls(requested_at);
    follow_era(requested_at);
    recheck_evacuations(requested_at);
    if (must_query(requested_at)) {
      // The first query, a retry, and a query for a version known to exist need not wait for the
      // next change.
      const bool immediate = configuration_failures_ > 0 || configuration_withheld_ ||
                             requested_at - configuration_queried_at_ > 2 * configuration_feed_wait;
      configuration_queried_at_ = requested_at;
      const bool answered =
          query_configuration(requested_at, immediate ? 0ms : configuration_feed_wait, pause);
      note_query_result(monotonic_now(), answered);
      if (!answered) {
        pause = pause_after_failure();
      }
    }
    if (!sleep_until(monotonic_now() + pause)) {
      return;
    }
  }
}

// Queries the store for a newer configuration. False if there was no usable answer. `pause` is set
// to the time until the next query.
bool store_watch::query_configuration(time_point requested_at, duration wait, duration& pause) {
  pause = 0ms;
  if (!configuration_positioned_) {
    configuration_positioned_ = read_configuration();
    return configuration_positioned_;
  }
  const auto result = node_.store.watch(configuration_table, node_.configuration_rows.position(),
                                        wait, requested_at + wait + late_answer_allowance);
  const auto* rows = std::get_if<store_rows>(&result);
  count_call("configuration news", rows != nullptr);
  if (std::holds_alternative<history_dropped>(result)) {
    configuration_positioned_ = false;
    return true;
  }
  note_dependency("configuration", configuration_available_, rows != nullptr,
                  rows == nullptr ? "the watch failed" : "watched");
  if (rows == nullptr) {
    log_failed_query(requested_at, describe_failure(result));
    return false;
  }
  std::vector<feed_row> changed;
  for (const store_row& row : rows->rows) {
    changed.push_back({row.key, row.value, row.version, row.removed, row.readable});
  }
  apply_evacuations(monotonic_now(), "store", changed);
  for (const feed_row& row : changed) {
    apply_configuration_row(requested_at, "store", row);
  }
  node_.configuration_rows.advance(rows->version);
  node_.configuration_lease.renew(requested_at);
  pause = rows->rows.empty() ? 0ms : configuration_query_pause;
  return true;
}

}  // namespace arbutus
