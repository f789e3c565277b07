// Following the platform's store.
#include "node/store_watch.h"

#include <nlohmann/json.hpp>

#include "connection/clock.h"
#include "node/log.h"
#include "platform/documents.h"
#include "process/target_life.h"
#include "version/field_text.h"

namespace arbutus {

namespace {

// The feed answers at once when there is a change, and otherwise after this: its answer is what
// proves that the configuration is still the newest, and a proof counts from its question. With
// 700 ms a node asks 1.4 times a second and its proof is 0.7 to 1.4 s old.
constexpr duration configuration_wait = 700ms;
// Beyond the wait, for the store's own slowness (240 ms when it is sixty times slower); then the
// connection may be a silent one. Wait, slack and a beat leave room for another hub's first
// question before the nodes' proofs are too old.
constexpr duration answer_slack = 500ms;
// Versions in a row: one more read within this is coalesced with the next.
constexpr duration configuration_pause = 40ms;
// Records of targets change only when a replica or a target does. The feed is asked to wait for the
// next change: at rest that is a call a second, and a change is known at once.
constexpr duration target_wait = 1s;
// Changes come in bursts, as when a replica forms: those within this are read together.
// Each hub reads them for itself, so that with more hubs each waits longer.
constexpr duration target_pause_of_hub = 40ms;  // for each data centre
constexpr duration shortest_target_pause = 100ms;
constexpr duration longest_target_pause = 250ms;
// In the first seconds replicas form, and each wait costs loads that are cheap only then.
constexpr duration target_pause_at_start = 60ms;
// A node that is no hub keeps no replicas: until another hub feeds it, this is often enough. When a
// hub of 59 nodes ended, each of them asked ten times a second.
constexpr duration target_pause_of_others = 500ms;
// From its start until its hub feeds it a node waits so long before it asks the store what is new:
// it has read the tables whole, which proves its configuration for longer. Goes wrong otherwise: at
// a start of 295 nodes each made 12 calls until its first beat came, 3,600 in all.
constexpr duration hub_patience = 1500ms;
constexpr duration start_phase = 12s;
constexpr duration retry_pause = 100ms;
// Each failure in a row doubles the pause up to this: a node that is cut off or turned away asked
// ten times a second, and 25 of them made two thirds of all calls of a day. The lease is over four
// times as long.
constexpr duration longest_retry_pause = 800ms;
// Failures in a row after which a hub hands over; the first three take 300 ms.
constexpr std::uint32_t failures_to_hand_over = 3;
// A node that was turned away and is fed by another hub asks so often whether it is served again.
constexpr duration ask_again_interval = 2s;
// While its hub withholds the newest configuration a node reads it itself, but in a storm of
// versions only every so often; the operators' bound until it must be in force is 2 to 3 s.
constexpr duration withheld_interval = 400ms;
// Whether the hub still feeds this node is looked at so often.
constexpr duration look_interval = 100ms;
// Four beats of the hub: then this node asks the store itself, and its lease still has over 2 s.
constexpr duration fed_for = 800ms;
constexpr duration fed_proof_age = 1700ms;
constexpr duration read_timeout = 1500ms;

// Between two looks at the list that is followed: the feed's wait, and a late answer.
constexpr duration longest_followed_gap = target_wait + 1s;
// Of a reason in a log line: what others wrote may be long.
constexpr std::size_t longest_reason = 200;

// At most a line in so long, and none of a node that asks nothing.
constexpr duration calls_log_interval = 5s;

constexpr std::string_view node_table = "nodes";
// A node that came to another address is found within this.
constexpr duration node_interval = 5s;
// The rows of nodes that start in the same moment come within some 300 ms; then the next read waits
// twice as long each time.
constexpr duration node_interval_at_start = 300ms;
constexpr std::uint32_t most_node_doublings = 3;
// A fed node needs them only when its hub ends, and has the row of the next one mostly.
constexpr duration node_interval_of_fed = 45s;

// [data centre, link endpoint, processor in permille of a core, link in Mbit/s]. Empty for a row
// that cannot be read; one that tells no strength is of a node that starts with other settings, and
// comes last among hubs.
std::optional<node_record> read_node_record(const store_row& row) {
  const auto document = nlohmann::json::parse(row.value, nullptr, false);
  if (!document.is_array() || document.size() < 2 || !document[0].is_string() ||
      !document[1].is_string()) {
    return std::nullopt;
  }
  const auto address = parse_endpoint(document[1].get<std::string>());
  if (!address) {
    return std::nullopt;
  }
  node_record record{
      node_id{row.key}, data_centre_id{document[0].get<std::string>()}, *address, {}, {}};
  const bool tells_strength =
      document.size() >= 4 && document[2].is_number_unsigned() && document[3].is_number_unsigned();
  if (tells_strength) {
    record.strength = {document[2].get<std::uint32_t>(), document[3].get<std::uint32_t>()};
  }
  return record;
}

}  // namespace

store_watch::store_watch(hosted_state& node) : node_(node), started_(monotonic_now()) {}

void store_watch::note_dependency(std::string_view name, bool& up, bool now_up,
                                  std::string_view reason) {
  if (up == now_up) {
    return;
  }
  up = now_up;
  log_line(now_up ? log_level::info : log_level::warning, "store", now_up ? "regained" : "lost",
           {{"what", name},
            {"reason", reason},
            {"lease_age_ms", to_milliseconds(node_.lease.age(monotonic_now()).value_or(-1ms))}});
}

// Calls to the store are dear: which fiber makes them has to be seen.
void store_watch::count_call(std::string_view what, bool answered) {
  node_.metrics.count("arbutusworks_store_calls", "what=\"" + std::string(what) + "\",answered=\"" +
                                                      (answered ? "yes" : "no") + "\"");
  const auto found = calls_.find(what);
  ++(found == calls_.end() ? calls_.emplace(what, 0).first->second : found->second);
}

// Goes wrong without it: the metrics of hundreds of nodes are gone with their processes, and nobody
// can say who made the calls of a bad evening.
void store_watch::tell_calls(time_point now) {
  std::uint64_t all = 0;
  std::string text;
  for (const auto& [what, count] : calls_) {
    all += count;
    text += (text.empty() ? "" : ", ") + what + " " + std::to_string(count);
  }
  if (all == calls_told_ || now - told_calls_at_ < calls_log_interval) {
    return;
  }
  calls_told_ = all;
  told_calls_at_ = now;
  log_line(log_level::info, "store", "calls",
           {{"total", all}, {"by_kind", text}, {"hub", node_.peers.is_hub(now)}});
}

bool store_watch::is_fed(time_point now) const {
  return now - fed_at_ < fed_for && !node_.peers.is_hub(now);
}

void store_watch::take_news(time_point asked, time_point now, const node_beat& beat) {
  if (beat.targets) {
    take_target_news(asked - beat.targets->age, *beat.targets);
  }
  if (!beat.configuration) {
    fed_at_ = {};
    return;
  }
  if (!node_.configuration_rows.can_follow(beat.configuration->after)) {
    return;
  }
  withheld_ = beat.configuration->withheld;
  if (!withheld_) {
    for (const feed_row& row : beat.configuration->rows) {
      take_configuration_row(row);
    }
    node_.configuration_rows.advance(beat.configuration->position);
    configuration_positioned_ = true;
    // The hub held everything up to its position at its proof, and this node now holds the same.
    if (node_.map && beat.configuration->position >= node_.configuration_rows.position()) {
      node_.lease.proved(asked - beat.configuration->age);
    }
  }
  // A hub whose own proof grows old does not keep others current.
  if (beat.configuration->age < fed_proof_age) {
    fed_at_ = now;
  }
}

bool store_watch::awaits_hub(time_point now) const {
  return now - started_ < hub_patience && !node_.peers.is_hub(now) &&
         node_.peers.any_in_data_centre();
}

duration store_watch::target_pause(time_point now) const {
  if (!node_.peers.is_hub(now)) {
    return target_pause_of_others;
  }
  if (now - started_ < start_phase) {
    return target_pause_at_start;
  }
  const auto hubs = static_cast<std::int64_t>(node_.settings.data_centres.size());
  return std::clamp(hubs * target_pause_of_hub, shortest_target_pause, longest_target_pause);
}

bool store_watch::must_ask(time_point now) const {
  if (!is_fed(now)) {
    return !(configuration_positioned_ && awaits_hub(now));
  }
  return (withheld_ && now - asked_at_ >= withheld_interval) ||
         (node_.peers.turned_away() && now - asked_at_ >= ask_again_interval);
}

void store_watch::note_answer(time_point now, bool answered) {
  failures_ = answered ? 0 : failures_ + 1;
  withheld_ = withheld_ && !answered;
  // A silent question has waited for all of its time: that alone is long enough.
  const bool silent = now - asked_at_ >= configuration_wait + answer_slack;
  const bool turned_away =
      !answered && (node_.peers.turned_away() || silent || failures_ >= failures_to_hand_over);
  if (turned_away != node_.peers.turned_away()) {
    node_.peers.set_turned_away(now, turned_away);
    log_line(log_level::info, "store", turned_away ? "turned away" : "served again",
             {{"failures", failures_}, {"hub", node_.peers.is_hub(now)}});
  }
}

duration store_watch::pause_after_failure() const {
  constexpr std::uint32_t most_doublings = 3;
  return std::min(retry_pause * (1U << std::min(failures_ > 0 ? failures_ - 1 : 0, most_doublings)),
                  longest_retry_pause);
}

void store_watch::take_target_news(time_point asked, const feed_news& news) {
  if (news.whole && news.position > node_.target_rows.position()) {
    replace_targets(asked, news.rows, news.position);
  } else if (!news.whole && node_.target_rows.can_follow(news.after)) {
    // Rows of an answer to an older beat may come again.
    for (const feed_row& row : news.rows) {
      if (row.version > node_.target_rows.position()) {
        take_target(asked, row);
        node_.target_rows.take(row);
      }
    }
    node_.target_rows.advance(news.position);
  }
  targets_positioned_ = targets_positioned_ || node_.fleet_known;
  node_.fleet_read_at = std::max(node_.fleet_read_at, asked);
}

void store_watch::replace_targets(time_point asked, const std::vector<feed_row>& rows,
                                  std::uint64_t position) {
  std::vector<fleet_view::listed_row> records;
  for (const feed_row& row : rows) {
    if (auto record = read_record(row)) {
      records.push_back({std::move(*record), row.version});
    }
  }
  node_.fleet.replace_all(asked, records, written_after(asked));
  node_.target_rows.replace(rows, position);
  node_.fleet_known = true;
  node_.fleet_read_at = std::max(node_.fleet_read_at, asked);
  log_line(log_level::info, "fleet", "read whole",
           {{"targets", std::uint64_t{records.size()}}, {"position", position}});
}

void store_watch::put_in_force(const std::string& text, std::uint64_t row_version) {
  service_map_result result = read_service_map(text);
  if (!result.map) {
    for (const finding& f : result.problems) {
      log_line(log_level::error, "configuration", "finding",
               {{"place", f.where.file}, {"message", f.message}, {"expected", f.expected}});
    }
    return;
  }
  if (node_.map && result.map->version() < node_.map->version()) {
    log_line(log_level::error, "configuration", "kept: the store has an older version",
             {{"version", node_.map->version()}, {"offered", result.map->version()}});
    return;
  }
  node_.map = std::make_shared<const service_map>(std::move(*result.map));
  log_line(log_level::info, "configuration", "in force",
           {{"version", node_.map->version()},
            {"routes", std::uint64_t{node_.map->routes().size()}},
            {"row", row_version}});
}

void store_watch::take_configuration_row(const feed_row& row) {
  node_.configuration_rows.take(row);
  // An answer that was overtaken by a newer one changes nothing.
  if (row.key == configuration_key && !row.removed && row.version > configuration_row_) {
    configuration_row_ = row.version;
    put_in_force(row.value, row.version);
  }
}

// The whole table, when there is no position to go on from.
bool store_watch::read_configuration() {
  const time_point asked = monotonic_now();
  const auto result = node_.store.read(configuration_table, {}, asked + read_timeout);
  const auto* rows = std::get_if<store_rows>(&result);
  count_call("configuration whole", rows != nullptr);
  const bool usable = rows != nullptr && rows->version >= node_.configuration_rows.position();
  note_dependency("configuration", configuration_up_, usable,
                  rows == nullptr ? "no answer" : "whole table");
  if (!usable) {
    return false;
  }
  for (const store_row& row : rows->rows) {
    take_configuration_row({row.key, row.value, row.version, row.removed});
  }
  node_.configuration_rows.advance(rows->version);
  if (node_.map) {
    node_.lease.proved(asked);
  }
  return true;
}

void store_watch::follow_configuration() {
  for (;;) {
    duration pause = look_interval;
    const time_point asked = monotonic_now();
    tell_calls(asked);
    if (must_ask(asked)) {
      // A first question, and one about a change that is known of, need not wait for the next.
      const bool at_once = failures_ > 0 || withheld_ || asked - asked_at_ > 2 * configuration_wait;
      asked_at_ = asked;
      const bool answered = ask_configuration(asked, at_once ? 0ms : configuration_wait, pause);
      note_answer(monotonic_now(), answered);
      if (!answered) {
        pause = pause_after_failure();
      }
    }
    if (!sleep_until(monotonic_now() + pause)) {
      return;
    }
  }
}

// False: no answer, or none that helps. `pause`: until the next question.
bool store_watch::ask_configuration(time_point asked, duration wait, duration& pause) {
  pause = 0ms;
  if (!configuration_positioned_) {
    configuration_positioned_ = read_configuration();
    return configuration_positioned_;
  }
  const auto result = node_.store.watch(configuration_table, node_.configuration_rows.position(),
                                        wait, asked + wait + answer_slack);
  const auto* rows = std::get_if<store_rows>(&result);
  count_call("configuration news", rows != nullptr);
  if (std::holds_alternative<history_dropped>(result)) {
    configuration_positioned_ = false;
    return true;
  }
  note_dependency("configuration", configuration_up_, rows != nullptr,
                  rows == nullptr ? "the watch failed" : "watched");
  if (rows == nullptr) {
    return false;
  }
  for (const store_row& row : rows->rows) {
    take_configuration_row({row.key, row.value, row.version, row.removed});
  }
  node_.configuration_rows.advance(rows->version);
  node_.lease.proved(asked);
  pause = rows->rows.empty() ? 0ms : configuration_pause;
  return true;
}

void store_watch::take_target(time_point asked, const feed_row& row) {
  const target_id known = node_.fleet.life_now(row.key);
  if (row.removed) {
    node_.fleet.unlisted(asked, known);
    log_line(log_level::info, "fleet", "unlisted", {{"target", known}});
    return;
  }
  auto record = read_record(row);
  if (!record) {
    // Whoever wrote it, the engine's own word is gone from the list: it gets nothing new until its
    // next record, as if it had left.
    node_.fleet.unlisted(asked, known);
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
  if (!node_.fleet.listed(asked, std::move(*record), row.version, written_after(asked))) {
    log_line(log_level::info, "fleet", "record of an ended life", {{"target", id}});
  } else if (!known.empty() && known != id) {
    log_line(log_level::info, "fleet", "started again", {{"target", id}, {"before", known}});
    node_.forget_connections(address);
  }
}

// A row behind the last position was written since this node was there. After a gap that is no
// longer about now; without one it is, and nothing is said.
std::optional<time_point> store_watch::written_after(time_point asked) const {
  if (!node_.fleet_known || asked - node_.fleet_read_at <= longest_followed_gap) {
    return std::nullopt;
  }
  return node_.fleet_read_at;
}

// Empty for a record that names no target to use; the others hold.
std::optional<target_record> store_watch::read_record(const feed_row& row) {
  std::string problem = "its value cannot be decoded";
  std::optional<target_record> record;
  if (row.readable) {
    record = read_target_record(row.key, row.value, problem);
  }
  if (!record) {
    node_.metrics.count("arbutusworks_unreadable_records");
    // Once for each version of a row; a name may be anything.
    log_line(log_level::warning, "fleet", "unreadable record",
             {{"target", row.key.substr(0, longest_engine_name)},
              {"version", row.version},
              {"reason", problem.substr(0, longest_reason)}});
  }
  return record;
}

bool store_watch::read_targets() {
  std::vector<feed_row> all;
  std::string from;
  std::uint64_t first_version = 0;
  const time_point asked = monotonic_now();
  for (;;) {
    const auto result = node_.store.read(target_table, from, monotonic_now() + read_timeout);
    const auto* rows = std::get_if<store_rows>(&result);
    count_call("targets whole", rows != nullptr);
    if (rows == nullptr || rows->version < node_.target_rows.position()) {
      return false;
    }
    // Pages are read one after the other: what changed meanwhile comes again behind the first.
    first_version = first_version == 0 ? rows->version : first_version;
    for (const store_row& row : rows->rows) {
      all.push_back({row.key, row.value, row.version, false, row.readable});
    }
    if (!rows->more || rows->rows.empty()) {
      break;
    }
    from = rows->rows.back().key + '\x01';
  }
  replace_targets(asked, all, first_version);
  return true;
}

void store_watch::follow_targets() {
  for (;;) {
    const time_point asked = monotonic_now();
    time_point next = asked + target_pause(asked);
    node_.fleet.forget_old(asked);
    // While the store does not answer about the configuration, that question alone is repeated.
    if (is_fed(asked) || failures_ > 0 || (targets_positioned_ && awaits_hub(asked))) {
      next = asked + look_interval;
    } else if (!targets_positioned_) {
      targets_positioned_ = read_targets();
      note_dependency("targets", targets_up_, targets_positioned_, "whole list");
      next = targets_positioned_ ? next : asked + retry_pause;
    } else {
      const auto result = node_.store.watch(target_table, node_.target_rows.position(), target_wait,
                                            asked + target_wait + answer_slack);
      count_call("targets news", std::holds_alternative<store_rows>(result));
      if (const auto* rows = std::get_if<store_rows>(&result)) {
        for (const store_row& row : rows->rows) {
          const feed_row changed{row.key, row.value, row.version, row.removed, row.readable};
          take_target(asked, changed);
          node_.target_rows.take(changed);
        }
        node_.target_rows.advance(rows->version);
        node_.fleet_read_at = asked;
        note_dependency("targets", targets_up_, true, "watched");
      } else if (std::holds_alternative<history_dropped>(result)) {
        targets_positioned_ = false;
        next = asked;
      } else {
        note_dependency("targets", targets_up_, false, "the watch failed");
      }
    }
    if (!sleep_until(std::max(next, monotonic_now()))) {
      return;
    }
  }
}

// Nodes that are fed know their hub; who is not, or is the hub, has to know who else is there.
bool store_watch::must_read_nodes(time_point now) const {
  const bool starting = now - started_ < start_phase / 4;
  const bool fed = is_fed(now);
  const std::uint32_t doublings =
      node_.peers.is_hub(now) ? 0 : std::min(nodes_reads_, most_node_doublings);
  const duration interval =
      fed ? node_interval_of_fed
          : (starting ? node_interval_at_start * (1U << doublings) : node_interval);
  // One who lost its hub a moment ago may hear the next one any time.
  return now - nodes_read_at_ >= interval && (fed || starting || now - fed_at_ > 2 * fed_for);
}

void store_watch::follow_nodes(const std::function<void(const std::vector<node_record>&)>& found) {
  const endpoint& link = node_.settings.listen.links;
  const node_strength& strength = node_.settings.strength;
  const nlohmann::json own = {node_.settings.data_centre.str(), to_string(link),
                              strength.processor_permille, strength.link_mbps};
  bool written = false;
  for (;;) {
    const time_point now = monotonic_now();
    if (!written) {
      transaction t;
      t.writes.push_back({std::string(node_table), node_.settings.id.str(), own.dump()});
      written = is_ok(node_.store.write(t, now + read_timeout));
      count_call("own row", written);
    }
    if (must_read_nodes(now)) {
      nodes_read_at_ = now;
      ++nodes_reads_;
      read_nodes(found);
    }
    if (!sleep_until(now + (written ? look_interval : pause_after_failure()))) {
      return;
    }
  }
}

void store_watch::read_nodes(const std::function<void(const std::vector<node_record>&)>& found) {
  const auto result = node_.store.read(node_table, {}, monotonic_now() + read_timeout);
  const auto* rows = std::get_if<store_rows>(&result);
  count_call("nodes", rows != nullptr);
  if (rows == nullptr) {
    return;
  }
  std::vector<node_record> peers;
  for (const store_row& row : rows->rows) {
    if (auto record = read_node_record(row)) {
      peers.push_back(std::move(*record));
    }
  }
  found(peers);
}

}  // namespace arbutus
