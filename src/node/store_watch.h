// Follows the platform's store: the accepted configuration, the list of targets, and the rows of
// the nodes, by which they discover each other. While a hub sends updates, its nodes use those
// instead of querying the store.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "node/hosted_state.h"
#include "platform/documents.h"
#include "process/record_subscription.h"
#include "version/inventory.h"

namespace arbutus {

class store_watch {
 public:
  explicit store_watch(hosted_state& node);

  // The follow_ functions run in their own fibers until the runtime stops.
  void follow_configuration();
  void follow_targets();
  // Applies an update from the hub of this data centre; its content is newer than `requested_at`.
  void apply_hub_update(time_point requested_at, time_point now, const node_heartbeat& message);
  // Applies a part of a newer configuration from a peer that is not this node's hub.
  void apply_offered_configuration(time_point now, const node_heartbeat& message);
  // Whether the store came back from a copy lately, and may lack what was written since the copy.
  [[nodiscard]] bool is_store_restored(time_point now) const {
    return restored_at_ != time_point{} && now - restored_at_ < restored_settle_time;
  }
  // Progress of the configuration change that is received in parts.
  [[nodiscard]] const config_progress& configuration_progress() const {
    return configuration_receiver_.progress();
  }
  // Position in the records of all targets, from which the hub continues; 0: not all are known.
  [[nodiscard]] std::uint64_t records_position() const;
  [[nodiscard]] bool follows_records() const { return record_subscription_.follows_records(); }
  // Writes this node's row, again for a restored store, and reads those of its peers. `found` is
  // called with all rows.
  void follow_nodes(const std::function<void(const std::vector<node_record>&)>& found);

 private:
  bool read_configuration();
  struct configuration_read {
    outcome<store_rows> result;  // of the last page
    std::vector<feed_row> rows;  // of all pages
    std::uint64_t position{};    // of the store at the first page
  };
  configuration_read read_configuration_pages(time_point requested_at);
  bool query_configuration(time_point requested_at, duration wait, duration& pause);
  void read_nodes(const std::function<void(const std::vector<node_record>&)>& found);
  // `requested_at`: when the query that returned the row was sent, or the stamp that the hub
  // echoed.
  void apply_configuration_row(time_point requested_at, std::string_view source,
                               const feed_row& row);
  // Applies changed rows of the configuration table, or all of them, to the evacuations in force.
  // Independent of the version in force: an evacuation does not wait for a configuration.
  void apply_evacuations(time_point now, std::string_view source,
                         const std::vector<feed_row>& rows);
  void replace_evacuations(time_point now, std::string_view source,
                           const std::vector<feed_row>& rows, std::uint64_t position);
  void note_evacuations(time_point now, std::string_view source, const evacuation_changes& changes);
  void replace_configuration_rows(time_point now, std::vector<feed_row> rows,
                                  std::uint64_t position);
  // Reads the whole table again once a restored store has settled that may lack evacuations.
  void recheck_evacuations(time_point now);
  // Returns the version of the text; empty if it is invalid.
  std::optional<std::uint64_t> apply_configuration(time_point requested_at, std::string_view source,
                                                   const std::string& text);
  void apply_configuration_part(time_point requested_at, time_point now, const config_part& part);
  std::optional<std::uint64_t> activate_configuration(const std::string& text);
  void log_in_force(time_point requested_at, time_point arrived, duration behind,
                    std::string_view source, std::size_t bytes);
  void note_newest(time_point now, const node_heartbeat& message);
  // Whether this node lacks a version and has not received a part of it for some time.
  [[nodiscard]] bool is_part_overdue(time_point now) const;
  void log_failed_query(time_point requested_at, std::string_view reason);
  bool read_targets();
  void apply_target_update(time_point requested_at, time_point now, const feed_update& update);
  void apply_serving_update(time_point requested_at, time_point now, const node_heartbeat& message);
  void update_subscription(time_point now);
  [[nodiscard]] bool must_read_all_targets(time_point now);
  [[nodiscard]] bool must_read_list_again(time_point now) const;
  [[nodiscard]] bool may_read_further_pages(time_point now) const;
  duration follow_targets_once(time_point requested_at);
  duration watch_targets(time_point requested_at);
  void note_replicas_at_start(const store_rows& page);
  void replace_targets(time_point requested_at, const std::vector<feed_row>& rows,
                       std::uint64_t position);
  void apply_target_row(time_point requested_at, const feed_row& row);
  std::optional<target_record> read_record(const feed_row& row);
  [[nodiscard]] std::optional<time_point> written_after(time_point requested_at) const;
  void note_dependency(std::string_view name, bool& up, bool now_up, std::string_view reason);
  void count_call(std::string_view what, bool answered);
  void log_calls(time_point now);
  // Notices that the store came back from a copy, and gives up the positions from before.
  void follow_era(time_point now);
  // Whether the hub keeps this node current, so that it need not query the store.
  [[nodiscard]] bool is_updated_by_hub(time_point now) const;
  // Whether this node has just started and waits for the first updates from its hub.
  [[nodiscard]] bool awaits_hub(time_point now) const;
  [[nodiscard]] duration target_pause(time_point now) const;
  // Whether to query the store now. A node that the store refused still queries it occasionally, to
  // find out whether it is served again.
  [[nodiscard]] bool must_query(time_point now) const;
  void note_query_result(time_point now, bool answered);
  [[nodiscard]] duration pause_after_failure() const;
  [[nodiscard]] bool must_read_nodes(time_point now) const;
  [[nodiscard]] std::string own_row() const;
  bool create_own_row(time_point now);
  bool write_own_row(time_point now);
  void log_start_kind(time_point now);
  void note_unreadable_node(const store_row& row);

  hosted_state& node_;
  time_point started_at_;
  time_point nodes_read_at_{};      // when the rows of nodes were last read
  std::uint32_t nodes_reads_ = 0;   // number of times that the rows of nodes were read
  store_time first_start_;          // as in this node's row; zero: of an earlier process
  bool first_start_known_ = false;  // this process created the row
  std::uint64_t own_row_era_ = 0;   // era of the store that has this node's row
  bool start_kind_logged_ = false;
  std::map<std::string, std::uint64_t> unreadable_nodes_;  // versions of the rows that were logged
  bool nodes_known_ = false;                               // the rows were read at least once
  bool configuration_positioned_ = false;  // the log has all rows up to its position
  // This node can query the store for changes of targets after the position of its log of target
  // rows. Otherwise it first needs the whole list from the store or an update from its hub.
  bool targets_positioned_ = false;
  bool targets_withheld_ = false;  // the hub has a list that it does not send in this round
  bool list_left_to_hub_ = false;  // the list is longer than a page, so the hub's updates are used
  record_subscription record_subscription_;
  time_point hub_targets_update_at_{};  // the hub's last update of targets or serving replicas
  time_point records_missing_since_{};  // when this node began to lack needed records; zero: it
                                        // has all of them
  time_point hub_update_at_{};  // the hub's last update with a recent proof of the configuration
  time_point
      configuration_queried_at_{};  // when the store was last queried about the configuration
  std::uint32_t configuration_failures_ = 0;  // consecutive failures of such queries
  time_point evacuations_rechecked_at_{};     // see recheck_evacuations
  bool configuration_withheld_ = false;       // the hub has a newer configuration than it sends
  service_map_reader service_map_reader_;
  config_receiver configuration_receiver_;  // assembles a configuration that the hub sends in parts
  time_point part_received_at_{};           // when the newest part of a configuration was received
  std::map<std::string, std::uint64_t, std::less<>>
      store_calls_;  // calls to the store by purpose, since the start of the process
  std::uint64_t logged_store_calls_ = 0;  // number of calls at the last log line about them
  time_point store_calls_logged_at_{};
  // After this time nodes, operators and targets have written again what a restored store lacked.
  static constexpr duration restored_settle_time = 10s;
  std::uint64_t followed_era_ = 0;       // newest era of the store that was noticed; 0: none yet
  time_point restored_at_{};             // when it was noticed that the store came back from a copy
  std::uint64_t configuration_row_ = 0;  // version of the newest row that was read from the store
  // The list of targets is that of a restored store: until `list_settles_at_` targets may be
  // missing or listed that the list is about to get or lose; then it has to be read again.
  bool list_unsettled_ = false;
  time_point list_settles_at_{};
  bool configuration_available_ = true;  // the last query about the configuration was answered
  bool target_list_available_ = true;    // the last query about the targets was answered
};

}  // namespace arbutus
