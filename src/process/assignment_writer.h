// This node's copy of the assignment row: reads the row from the table, proposes new versions by
// conditional write, resolves lost replies by reading the row back, and never returns to an older
// version.
//
// The row carries its own version in addition to the table's. The row in the table may be older
// than the version a node knows (the table was restored from a backup): then the newest known
// content is written again under a higher version. Otherwise a target could receive two different
// compositions with the same fencing token.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/rng.h"
#include "base/units.h"
#include "process/effects.h"
#include "process/rank.h"
#include "version/assignment.h"

namespace arbutus {

// Number of nodes of a data centre that read the assignment row regularly; the others read it when
// a peer reports a newer version. Two, so that the data centre still notices changes if one of the
// readers is cut off from the table.
inline constexpr std::size_t row_reader_count = 2;
inline constexpr duration row_reader_interval = 1s;
inline constexpr duration row_non_reader_interval = 30s;
// When a new version of the assignment row is reported, the nodes' reads of it are spread over this
// time, to avoid a burst at the table.
inline constexpr duration row_read_spread = 50ms;
// After this time without an answer to a read or write of the assignment row, the table service
// counts as not writable: repair must wait no longer for a slow table than for one that is down.
inline constexpr duration row_reply_timeout = 1s;
// A node of rank r delays its proposal of an assignment row by r times this. The delay is longer
// than a write of the row by another node, the gossip about it and a read of it take together.
inline constexpr duration row_proposal_rank_delay = 500ms;
inline constexpr duration row_write_backoff_first = 100ms;
inline constexpr duration row_write_backoff_max = 3s;
// How long a node waits for the content of a row version that targets obey but the table has lost;
// after that the content counts as lost everywhere.
inline constexpr duration lost_content_timeout = 3s;
// Added to the row's version when a table copy restored from a backup is overwritten. A node that
// is cut off may know versions unknown to all others; the gap avoids reusing their numbers.
inline constexpr std::uint64_t row_restore_version_gap = 1000;

struct row_counters {
  std::uint64_t reads{};
  std::uint64_t writes_won{};
  std::uint64_t writes_lost{};
  // Writes without a known outcome; each also counts as a success or a loss once it is read back.
  std::uint64_t unknown_write_replies{};
  std::uint64_t restored_copies{};
};

[[nodiscard]] std::string row_key(const data_centre_id& dc);

// Sets the generation of every replica to the version of the assignment row, so that it supersedes
// every generation that targets obey.
void supersede_generations(assignment& a);

// Changes the version of a proposed assignment row, also in the generations of replicas and the
// withdrawals that carry the old version.
void renumber(assignment& a, std::uint64_t version);

class assignment_writer {
 public:
  assignment_writer(node_id self, data_centre_id dc, std::uint64_t seed);

  // Requests an early read of the row, because a decision depends on whether the table is
  // reachable.
  void request_read(time_point now) { read_soon(now); }
  // Call when a live peer reports this row version: its content still exists.
  void note_peer_version(time_point now, std::uint64_t version);
  // Call when a target reports that it obeys an order of this row version, whose content may be
  // lost.
  void note_target_version(time_point now, std::uint64_t version);
  // Adopts a copy of the row that a peer sent, in case this node cannot read the table. True if the
  // copy is newer than row() and valid.
  [[nodiscard]] bool adopt(time_point now, const assignment& copy);

  // Returns the reads of the row that are due, and the write that repairs a table restored from a
  // backup.
  [[nodiscard]] effects tick(time_point now, const std::vector<node_id>& live);
  [[nodiscard]] effects on(time_point now, const table_read_result& r);
  [[nodiscard]] effects on(time_point now, const table_write_result& r);
  [[nodiscard]] time_point next_tick() const;

  // Whether a proposed row may be accepted by the table: the row was read, no newer version is
  // known, no write is open and the backoff after the last failed write has ended.
  [[nodiscard]] bool may_propose(time_point now) const;
  // Tries to write `next` as the assignment row; sets the version and proposal id of `next`.
  [[nodiscard]] effects propose(time_point now, assignment next);
  [[nodiscard]] std::uint64_t next_version() const;

  [[nodiscard]] const assignment& row() const { return row_; }
  [[nodiscard]] bool row_known() const { return row_.version > 0; }
  // The table answered that it has no assignment row.
  [[nodiscard]] bool row_missing_in_table() const {
    return last_table_copy_ && last_table_copy_->version == 0;
  }
  // A newer version than row() exists or existed: no order or proposal may be based on row().
  [[nodiscard]] bool newer_version_known() const { return highest_known_version_ > row_.version; }
  [[nodiscard]] std::uint64_t highest_known_version() const { return highest_known_version_; }
  // The latest time at which the table is known to have held nothing newer than row().
  [[nodiscard]] std::optional<time_point> confirmed_at() const { return confirmed_at_; }
  // Since when reads of the table have failed; empty while they succeed.
  [[nodiscard]] std::optional<time_point> unreadable_since() const { return unreadable_since_; }
  // Whether the last write of the row had an unknown outcome or got no answer in time and none has
  // succeeded since, or the table cannot be read at all.
  [[nodiscard]] bool unwritable(time_point now) const;
  [[nodiscard]] const row_counters& counters() const { return counters_; }

 private:
  struct table_copy {
    std::uint64_t version{};      // assigned by the table service; 0: no row
    std::uint64_t row_version{};  // assignment::version, which is stored in the row
    proposal_id proposal;
  };
  struct open_write {
    proposal_id proposal;
    std::uint64_t
        expected_table_version{};  // the table's version of the row that the write replaces
    time_point sent_at;
  };

  effects read(time_point now);
  void note_failed_read(time_point now);
  void read_soon(time_point now);
  void apply_copy(time_point now, const table_copy& copy, const std::optional<assignment>& content);
  void resolve_unknown(time_point now, const table_copy& copy);
  void raise_highest_known(time_point now, std::uint64_t version);
  [[nodiscard]] bool newest_content_lost(time_point now) const;
  [[nodiscard]] bool table_needs_repair(time_point now) const;
  [[nodiscard]] effects repair_table(time_point now, const std::vector<node_id>& live);
  [[nodiscard]] effects write(time_point now, assignment next);

  node_id self_;
  data_centre_id dc_;
  std::string key_;
  rng random_;
  backoff backoff_{row_write_backoff_first, row_write_backoff_max};

  assignment row_;  // Invariant: row_.version never decreases.
  std::optional<table_copy> last_table_copy_;
  std::uint64_t highest_known_version_{};  // Invariant: at least row_.version.
  // When a peer last reported a newer version than row_.version, or a target first reported one.
  time_point newer_version_reported_at_{};
  std::optional<time_point> table_repair_needed_since_;
  std::uint64_t proposal_count_{};  // number of rows that this process has proposed

  std::optional<time_point> read_sent_at_;
  std::optional<time_point> confirmed_at_;
  time_point last_read_{};
  time_point next_row_read_{};
  std::optional<open_write> open_write_;
  // Writes whose outcome is unknown, or that were refused and are not yet read back.
  std::vector<open_write> unresolved_writes_;
  time_point next_write_at_{};
  std::optional<time_point> unreadable_since_;
  bool last_write_failed_ = false;
  row_counters counters_;
};

}  // namespace arbutus
