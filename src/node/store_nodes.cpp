// Node discovery: writes this node's row to the platform's store and reads those of its peers.
#include <algorithm>

#include "connection/clock.h"
#include "node/log.h"
#include "node/store_timing.h"
#include "node/store_watch.h"
#include "process/node_row.h"
#include "version/field_text.h"

namespace arbutus {

namespace {

constexpr std::string_view node_table = "nodes";
// Interval at which a node without updates of a hub reads the rows of all nodes; a node whose
// address changed is found within this time.
constexpr duration node_rows_interval = 5s;
// Nodes that start simultaneously write their rows within some 300 ms; an earlier read would have
// to be repeated. The interval doubles with each read.
constexpr duration node_rows_interval_at_start = 400ms;
constexpr std::uint32_t max_interval_doublings = 3;
// Nodes write their rows again to a restored store at random times within this one, so that they do
// not exceed its rate of writes together.
constexpr duration row_rewrite_spread = 1s;
// A node that its hub keeps current needs the rows of other nodes only when the hub fails, and
// usually has the row of the next hub.
constexpr duration node_rows_interval_with_hub = 45s;

// Time since the first start of any node that has a row; empty: a node started again, or the store
// tells no time that fits.
std::optional<duration> deployment_age(const std::vector<node_row>& nodes,
                                       const std::optional<store_time>& now) {
  if (!now) {
    return std::nullopt;
  }
  store_time first = *now;
  for (const node_row& node : nodes) {
    const store_time started{node.first_start};
    if (started == store_time{} || started > *now) {
      return std::nullopt;
    }
    first = std::min(first, started);
  }
  return now->since_origin - first.since_origin;
}

// Adds the nodes that have no row, as the restored store lacks those written since its copy.
void add_missing(std::vector<node_record>& nodes, const std::vector<node_record>& known) {
  for (const node_record& node : known) {
    if (std::ranges::find(nodes, node.id, &node_record::id) == nodes.end()) {
      nodes.push_back(node);
    }
  }
}

}  // namespace

// Whether the rows of all nodes have to be read now. Nodes that receive updates know their hub. A
// hub, or a node without updates, has to know the other nodes.
bool store_watch::must_read_nodes(time_point now) const {
  const bool updated_by_hub = is_updated_by_hub(now);
  // A node that restarts alone finds the rows of the others in the store immediately.
  const bool all_start =
      node_.start.may_be_first(now) && now - started_at_ < start_phase_duration / 4;
  const bool searches = all_start || !nodes_known_;
  if (searches && !all_start && nodes_reads_ == 0) {
    return true;
  }
  const std::uint32_t doublings =
      node_.peers.is_hub(now) ? 0 : std::min(nodes_reads_, max_interval_doublings);
  const duration interval =
      updated_by_hub
          ? node_rows_interval_with_hub
          : (searches ? node_rows_interval_at_start * (1U << doublings) : node_rows_interval);
  const time_point read_at = nodes_reads_ == 0 ? started_at_ : nodes_read_at_;
  // A node that has just lost its hub waits before it reads the rows, as it may soon receive
  // updates from the next hub.
  return now - read_at >= interval &&
         (updated_by_hub || searches || now - hub_update_at_ > 2 * hub_update_validity);
}

std::string store_watch::own_row() const {
  node_row row;
  row.record.data_centre = node_.settings.data_centre;
  row.record.link = node_.settings.listen.link_endpoint;
  row.record.relay = node_.settings.listen.relay_endpoint;
  row.record.strength = node_.settings.strength;
  row.first_start = first_start_.since_origin;
  return encode(row);
}

// Creates this node's row, which no earlier process may have written in a first start.
bool store_watch::create_own_row(time_point now) {
  first_start_ = node_.store.time_at(now).value_or(store_time{});
  const auto made = node_.store.create(
      {std::string(node_table), node_.settings.id.str(), own_row()}, now + store_read_timeout);
  count_call("own row", made == platform_store::creation::created);
  if (made == platform_store::creation::created) {
    own_row_era_ = node_.store.newest_era();
    node_.start.note_own_row_created(monotonic_now());
  } else if (made == platform_store::creation::exists) {
    node_.start.note_own_row_existed(monotonic_now());
  }
  return made == platform_store::creation::created;
}

bool store_watch::write_own_row(time_point now) {
  const bool creates = node_.start.kind(now) == start_kind::undecided && !first_start_known_;
  if (creates && create_own_row(now)) {
    first_start_known_ = true;
    return true;
  }
  if (creates && node_.start.may_be_first(monotonic_now())) {
    return false;
  }
  if (!first_start_known_) {
    first_start_ = {};
  }
  transaction t;
  t.writes.push_back({std::string(node_table), node_.settings.id.str(), own_row()});
  const auto version = node_.store.write(t, monotonic_now() + store_read_timeout);
  own_row_era_ = is_ok(version) ? era_of(std::get<std::uint64_t>(version)) : own_row_era_;
  count_call("own row", is_ok(version));
  return is_ok(version);
}

void store_watch::log_start_kind(time_point now) {
  if (start_kind_logged_ || node_.start.kind(now) == start_kind::undecided) {
    return;
  }
  start_kind_logged_ = true;
  const bool is_first = node_.start.is_first(now);
  log_line(log_level::info, "node", is_first ? "first start" : "no first start",
           {{"reason", node_.start.reason(now)},
            {"settings_claim_first", node_.settings.cold_start},
            {"decided_after_ms", to_milliseconds(node_.start.decided_at(now) - node_.started_at)}});
}

void store_watch::follow_nodes(const std::function<void(const std::vector<node_record>&)>& found) {
  // How often a node looks whether the store has told its time, which the node's first row names.
  constexpr duration clock_check_interval = 10ms;
  bool written = false;
  time_point write_due_at{};
  for (;;) {
    const time_point now = monotonic_now();
    log_start_kind(now);
    const bool has_answered = node_.store.newest_era() != 0;
    const bool awaits_clock = node_.start.kind(now) == start_kind::undecided && !has_answered;
    if (awaits_clock) {
      if (!sleep_until(now + clock_check_interval)) {
        return;
      }
      continue;
    }
    if (written && own_row_era_ < node_.store_era()) {
      written = false;
      write_due_at = now + from_seconds(to_seconds(row_rewrite_spread) * node_.random.unit());
    }
    if (!written && now >= write_due_at) {
      written = write_own_row(now);
    }
    if (must_read_nodes(now)) {
      nodes_read_at_ = now;
      ++nodes_reads_;
      read_nodes(found);
    }
    if (!sleep_until(now + (written ? hub_check_interval : pause_after_failure()))) {
      return;
    }
  }
}

// The rows are read again every few seconds; each version of an unreadable one is logged once.
void store_watch::note_unreadable_node(const store_row& row) {
  std::uint64_t& logged = unreadable_nodes_[row.key];
  if (logged == row.version) {
    return;
  }
  logged = row.version;
  node_.metrics.count("arbutusworks_unreadable_node_rows");
  log_line(log_level::warning, "node", "unreadable row of a node",
           {{"row", row.key.substr(0, max_name_length)}, {"version", number_of(row.version)}});
}

void store_watch::read_nodes(const std::function<void(const std::vector<node_record>&)>& found) {
  const auto result = node_.store.read(node_table, {}, monotonic_now() + store_read_timeout);
  const auto* rows = std::get_if<store_rows>(&result);
  count_call("nodes", rows != nullptr);
  if (rows == nullptr) {
    return;
  }
  std::vector<node_row> nodes;
  std::vector<node_record> peers;
  for (const store_row& row : rows->rows) {
    if (auto node = decode_node_row(node_id{row.key}, row.value)) {
      peers.push_back(node->record);
      nodes.push_back(std::move(*node));
    } else {
      note_unreadable_node(row);
    }
  }
  nodes_known_ = true;
  if (!rows->has_more) {
    const bool all_read = nodes.size() == rows->rows.size();
    node_.start.note_deployment_age(
        monotonic_now(), all_read ? deployment_age(nodes, rows->answered_at) : std::nullopt);
  }
  if (is_store_restored(monotonic_now())) {
    add_missing(peers, node_.peers.records());
  }
  found(peers);
}

}  // namespace arbutus
