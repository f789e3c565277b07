// Keeps this node's copy of the assignment row: reads it from the table, proposes new versions by
// conditional write, resolves lost replies by reading back, and never steps down.
//
// The row carries its own version beside the table's. The table's copy may be older than what a
// node has seen (it was restored from a copy): then the newest known content is written again
// under a higher version. A target would otherwise be asked to obey two different compositions
// with one fencing token.
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

// Nodes of a data centre that read the row regularly; the others read when they hear of a newer
// version. Two, so that one that is cut off from the table does not blind the data centre.
inline constexpr std::size_t row_readers = 2;
inline constexpr duration row_reader_interval = 1s;
inline constexpr duration row_idle_interval = 30s;
// Readers that hear of a new version spread over this, so that the table sees no burst.
inline constexpr duration row_read_spread = 50ms;
// Without an answer for so long, the table counts as not writable: repair must not wait for a
// slow table any longer than for one that is down.
inline constexpr duration row_reply_patience = 1s;
// A node of rank r proposes r times this later. More than a write, its gossip and a read take.
inline constexpr duration row_rank_delay = 500ms;
inline constexpr duration row_backoff_first = 100ms;
inline constexpr duration row_backoff_most = 3s;
// How long to look for the content of a version that targets have seen but the table has lost.
inline constexpr duration row_lost_patience = 3s;
// Added to the version when a restored copy is overwritten. A node that is cut off may know
// versions that nobody here has heard of; the gap keeps the new numbers clear of those.
inline constexpr std::uint64_t row_restore_gap = 1000;

struct row_counters {
  std::uint64_t reads{};
  std::uint64_t won{};
  std::uint64_t lost{};
  std::uint64_t unknown_replies{};  // each is later resolved to won or lost by reading back
  std::uint64_t restored_copies{};
};

[[nodiscard]] std::string row_key(const data_centre_id& dc);

// Every composition under the row's own version: supersedes whatever the targets obey.
void lay_down_anew(assignment& a);

// Moves a proposal to another version: what it lays down anew carries the version it is written
// under.
void renumber(assignment& a, std::uint64_t version);

class row_keeper {
 public:
  row_keeper(node_id self, data_centre_id dc, std::uint64_t seed);

  // Read the row at once: something depends on whether the table can be reached.
  void look(time_point now) { read_soon(now); }
  // A live peer has this version, so its content exists.
  void heard_from_peer(time_point now, std::uint64_t version);
  // A target obeys an order of this version; its content may be lost.
  void heard_from_target(time_point now, std::uint64_t version);
  // A copy handed over by a peer, for when the table cannot be read. True if it is newer.
  [[nodiscard]] bool adopt(time_point now, const assignment& copy);

  // Reads that are due, and the rewrite of a restored copy.
  [[nodiscard]] effects tick(time_point now, const std::vector<node_id>& live);
  [[nodiscard]] effects on(time_point now, const table_read_result& r);
  [[nodiscard]] effects on(time_point now, const table_write_result& r);
  [[nodiscard]] time_point next_tick() const;

  // Whether a proposal would have a chance: the row was read, nothing newer is known, no write is
  // open and the last lost race was long enough ago.
  [[nodiscard]] bool may_propose(time_point now) const;
  // Tries to make `next` the row; stamps its version and proposal.
  [[nodiscard]] effects propose(time_point now, assignment next);
  [[nodiscard]] std::uint64_t next_version() const;

  [[nodiscard]] const assignment& row() const { return row_; }
  [[nodiscard]] bool known() const { return row_.version > 0; }
  // The table answered and has no row.
  [[nodiscard]] bool missing() const { return in_table_ && in_table_->version == 0; }
  // A newer version than row() exists or existed: nothing may be ordered or proposed from row().
  [[nodiscard]] bool behind() const { return highest_heard_ > row_.version; }
  [[nodiscard]] std::uint64_t highest_heard() const { return highest_heard_; }
  // The newest moment at which the table is known to have held nothing newer than row().
  [[nodiscard]] std::optional<time_point> confirmed_at() const { return confirmed_at_; }
  // Since when reads fail; empty while they succeed.
  [[nodiscard]] std::optional<time_point> unreadable_since() const { return unreadable_since_; }
  // Whether a try to write ended without effect known, or got no answer in time, and none has
  // succeeded since; or the table cannot be read at all.
  [[nodiscard]] bool unwritable(time_point now) const;
  [[nodiscard]] const row_counters& counters() const { return counters_; }

 private:
  struct table_copy {
    std::uint64_t version{};      // the table's own; 0: no row
    std::uint64_t row_version{};  // the row's
    proposal_id proposal;
  };
  struct open_write {
    proposal_id proposal;
    std::uint64_t expected{};  // the table's version it replaces
    time_point sent_at;
  };

  effects read(time_point now);
  void table_silent(time_point now);
  void read_soon(time_point now);
  void take(time_point now, const table_copy& copy, const std::optional<assignment>& content);
  void resolve_unknown(time_point now, const table_copy& copy);
  void raise_heard(time_point now, std::uint64_t version);
  [[nodiscard]] bool content_lost(time_point now) const;
  [[nodiscard]] bool table_needs_repair(time_point now) const;
  [[nodiscard]] effects repair_table(time_point now, const std::vector<node_id>& live);
  [[nodiscard]] effects write(time_point now, assignment next);

  node_id self_;
  data_centre_id dc_;
  std::string key_;
  rng random_;
  backoff backoff_{row_backoff_first, row_backoff_most};

  assignment row_;  // Invariant: its version only rises.
  std::optional<table_copy> in_table_;
  std::uint64_t highest_heard_{};  // Invariant: at least row_.version.
  time_point claimed_at_{};        // when a peer last said it has more than row_, or we first heard
  std::optional<time_point> repair_since_;
  std::uint64_t proposals_{};  // made by this process

  std::optional<time_point> read_sent_at_;
  std::optional<time_point> confirmed_at_;
  time_point last_read_{};
  time_point next_read_{};
  std::optional<open_write> write_;
  std::vector<open_write> unresolved_;  // with unknown effect, or refused and not read back yet
  time_point write_after_{};
  std::optional<time_point> unreadable_since_;
  bool write_failed_ = false;
  row_counters counters_;
};

}  // namespace arbutus
