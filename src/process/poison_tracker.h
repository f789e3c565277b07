// Detects requests, and blocks of prompts, that crash the targets that run them (poison requests,
// or queries of death) from the observations of all nodes. A value type in virtual time.
//
// Without this, a request that crashes its engine is retried on the next one, is sent again by its
// caller to any node under a new id, and crashes engine after engine. Each crash cuts off all other
// requests of the engine and its whole replica. The symptom: engines that end one by one, with the
// same fingerprint among the attempts that broke off at each of them.
//
// A crash also cuts off harmless requests, so a single one proves little. The rules are:
// - A strike is recorded when a target's incarnation ends before or shortly after the first event
//   of a run; one for each target. A run that lasted longer has shown that it is harmless.
// - Strikes count as separate events only if each run was sent after the previous target had ended.
//   A signal to many processes or a failing rack is one event, however many runs it cut off.
// - A successful run clears the request on every node, for all earlier strikes and for the next
//   minute: a poison request never succeeds.
// - Several targets that end simultaneously with no request in common give no evidence.
// - A quarantine needs `min_quarantine_events` in which no other suspect has as many strikes. A
// harmless
//   request that was sent along with a poison request does not share all of its crashes.
// - A coincidence must be improbable: while targets fail for other reasons, some request is cut off
//   several times in a row. All crashes count, also those whose strikes were cleared since, and the
//   suspects are weighed together, see crash_explanation.h.
//
// A block of a prompt is suspected beside the requests that have it. It is only quarantined if
// several different requests with it were cut off: otherwise the request is the simpler cause. Any
// run with it that wrote for some time clears it, so that what many prompts share is soon clear.
//
// While strikes from other nodes may still be in transit, a request with enough events is held: it
// is neither sent nor refused.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "process/crash_explanation.h"
#include "request/request_fingerprint.h"

namespace arbutus {

// A run counts as a strike if its target ends earlier than this after the run's first event.
inline constexpr duration strike_window = 150ms;

struct poison_tracker_settings {
  // Events needed for a quarantine. A request with one less is held before each run until the
  // strikes of other nodes have arrived.
  std::size_t min_quarantine_events = 4;
  // For a block. Its requests come independently of each other, so that fewer events are needed,
  // but of as many ends, and at least so many different requests.
  std::size_t min_quarantine_events_of_block = 3;
  // Logarithms of the chance that one that is no cause has as many strikes, and never survived. For
  // a block: one in a hundred for a thousand blocks that are in use,
  double min_evidence_against_block = 11.5;
  // less for a block that is needed to explain the ends,
  double min_evidence_against_cause = 6;
  // and for a request, which always has to be needed for that.
  double min_evidence_against_request = 3;
  std::size_t min_requests_of_block = 3;
  // Requests with a block under which so many targets ended are held until the strikes arrived.
  std::size_t min_held_ends_of_block = 2;
  // Suspects that were always sent together cannot be distinguished. With this many events all of
  // them are quarantined, since none of them ever succeeded.
  std::size_t min_quarantine_events_inseparable = 8;
  // A mass failure: at least this many targets end within this window with no request in common.
  // It gives no evidence.
  std::size_t mass_failure_min_targets = 3;
  duration mass_failure_window = 20ms;
  // After a crash, the strikes that other nodes record for it arrive within this time: a query to
  // the target and three heartbeats.
  duration strike_settle_time = 700ms;
  explanation_settings explanation;
  duration end_retention = 120s;         // crashes count as evidence for this long
  duration target_use_window = 1s;       // a target is in use this long after a run was sent to it
  duration clearance_duration = 60s;     // a successful run clears the request for this long
  duration suspect_retention = 300s;     // a request stays a suspect this long after a strike
  duration quarantine_duration = 3600s;  // a quarantine lasts this long after the newest strike
  std::size_t max_tracked_requests = 1024;
  // Keeps one workspace from evicting the entries of others.
  std::size_t max_tracked_requests_per_workspace = 128;
  std::size_t max_tracked_blocks = 512;
  std::size_t max_strikes_per_request = 16;  // number of strikes stored for one request
  std::size_t max_strikes_per_block = 64;
};

struct poison_strike {
  target_id target;
  time_point sent_at;   // when the run was sent
  time_point ended_at;  // when the target ended, as observed by the node that sent the run
  std::uint64_t request_hash = 0;  // of the request that ran, for a strike against its block
};

[[nodiscard]] inline bool ended_before(const poison_strike& a, const poison_strike& b) {
  return a.ended_at < b.ended_at;
}

struct poison_entry {
  std::vector<poison_strike> strikes;    // at most one for a crash, ordered by ended_at
  std::optional<time_point> cleared_at;  // strikes are newer than this plus clearance_duration
  std::optional<time_point> quarantined_at;
  // Whether the platform's store has a row of this quarantine. The row has to be removed once the
  // request is no longer quarantined.
  bool stored = false;
  std::uint64_t change_position = 0;  // position of the tracker at the newest change of this entry
};

// What a node sends to peers about one request. Times are sent as ages, since the clocks of nodes
// differ.
struct poison_row {
  request_fingerprint fingerprint;
  struct strike {
    target_id target;
    duration sent_ago{};
    duration ended_ago{};
    std::uint64_t request_hash = 0;
  };
  std::vector<strike> strikes;
  std::optional<duration> cleared_ago;
  std::optional<duration> quarantined_ago;
  bool stored = false;
};

struct quarantine_decision {
  request_fingerprint fingerprint;
  std::vector<target_id> targets;  // the targets that ended while running the request
  std::size_t events = 0;          // number of separate events
  // Likelihood of the crashes without this request as their cause, relative to that with it.
  double probability = 0;
};

class poison_tracker {
 public:
  explicit poison_tracker(const poison_tracker_settings& settings = {}) : settings_(settings) {}

  // This node sent a request to `target`.
  void run_sent(time_point now, const target_id& target);
  // A run that this node sent had its first event after `waited`.
  void first_event_received(duration waited);
  // A run that this node sent wrote for some time or to its end, or was cut off in a way that
  // counts as a strike.
  void run_ended(time_point now, bool cut_off);
  // Records that a target ended before or shortly after the first event of a run that this node
  // sent. False if the strike is known already, the crash is attributed to a quarantined request,
  // the request was cleared, or there is no room.
  bool record_strike(const request_fingerprint& fingerprint, const poison_strike& strike);
  // A run succeeded, or delivered events for a long time. True if the request was a suspect.
  bool clear(time_point now, const request_fingerprint& fingerprint);
  // An operator releases the request; strikes from now on count again. True if there was an entry.
  bool release(time_point now, const request_fingerprint& fingerprint);

  // Whether a block has a strike, so that a request with it waits until it is known whether the
  // target that cut it off has ended.
  [[nodiscard]] bool has_strike(const request_fingerprint& block) const;
  [[nodiscard]] bool is_quarantined(const request_fingerprint& fingerprint) const;
  // Until when the request is held, since strikes of other nodes may still arrive; empty if it may
  // be sent now.
  [[nodiscard]] std::optional<time_point> held_until(time_point now,
                                                     const request_fingerprint& fingerprint) const;
  // Time until the quarantine expires if no new strike comes; empty if there is no quarantine.
  [[nodiscard]] std::optional<duration> quarantine_remaining(
      time_point now, const request_fingerprint& fingerprint) const;
  // Removes expired entries and quarantines requests with sufficient strikes. Returns the new
  // quarantines.
  std::vector<quarantine_decision> evaluate(time_point now);

  // Merges strikes from a peer, or a quarantine from the platform's store. True if the request
  // became quarantined by it.
  bool merge_row(time_point now, const poison_row& row);
  // Rows that changed after position `after`, oldest first; `after` is moved to the last one.
  [[nodiscard]] std::vector<poison_row> changed_since(time_point now, std::uint64_t& after,
                                                      std::size_t max_rows) const;
  [[nodiscard]] std::uint64_t position() const { return position_; }

  // Changes to make in the platform's store: `to_write` are quarantines that have no row there,
  // `to_remove` those whose row is there although they are no longer in force.
  struct store_changes {
    std::vector<request_fingerprint> to_write;
    std::vector<request_fingerprint> to_remove;
  };
  [[nodiscard]] store_changes pending_store_changes() const;
  void set_stored(const request_fingerprint& fingerprint, bool stored);
  // The store may have lost the rows of all quarantines.
  void forget_stored();
  // The row to store for a request; empty if it is not quarantined.
  [[nodiscard]] std::optional<poison_row> quarantine_row(
      time_point now, const request_fingerprint& fingerprint) const;

  [[nodiscard]] const std::map<request_fingerprint, poison_entry>& all() const { return entries_; }
  [[nodiscard]] std::size_t quarantined() const;
  // Strikes and rows that were dropped for lack of room.
  [[nodiscard]] std::uint64_t rejected_strikes() const { return rejected_strikes_; }

 private:
  using entry_map = std::map<request_fingerprint, poison_entry>;
  // Suspects by the targets that ended while running them.
  using suspects_by_target = std::map<target_id, std::vector<const entry_map::value_type*>>;

  // Whether the strikes against it may suffice for a quarantine.
  [[nodiscard]] bool is_suspect(const entry_map::value_type& known) const;
  [[nodiscard]] bool is_held_after_strikes(const entry_map::value_type& known) const;
  // The number of entries that share a limit with this one.
  [[nodiscard]] std::size_t& entry_count(const request_fingerprint& fingerprint);
  poison_entry* entry_for(const request_fingerprint& fingerprint);
  bool make_room(const request_fingerprint& fingerprint);
  void mark_changed(poison_entry& entry) { entry.change_position = ++position_; }
  bool add_strike(const request_fingerprint& fingerprint, poison_entry& entry,
                  const poison_strike& strike);
  // Drops the strikes that a successful run at this time covers, and a quarantine based on them.
  void clear_entry(poison_entry& entry, time_point cleared_at);
  void quarantine(const request_fingerprint& fingerprint, poison_entry& entry, time_point at);
  void expire_quarantines(time_point now);
  void remove_expired(time_point now);
  [[nodiscard]] static poison_row to_row(time_point now, const entry_map::value_type& known);
  // Whether the end that the strike is for is explained by another quarantine. The quarantine of a
  // request leaves open whether a block of it is the cause.
  [[nodiscard]] bool has_quarantined_cause(const request_fingerprint& fingerprint,
                                           const poison_strike& strike) const;
  [[nodiscard]] suspects_by_target index_by_target(time_point settled) const;
  [[nodiscard]] std::set<target_id> mass_failures(const suspects_by_target& ended) const;
  [[nodiscard]] static bool is_same_end(time_point a, time_point b);
  // Records that a target ended, if that is not known.
  void note_end(const target_id& target, time_point ended_at);
  [[nodiscard]] bool is_in_use(time_point at, const target_id& target) const;
  // How much better each suspect's guilt explains the settled crashes; only accepted causes.
  [[nodiscard]] std::map<request_fingerprint, double> accepted_causes(
      time_point settled, const suspects_by_target& ended) const;
  [[nodiscard]] std::optional<quarantine_decision> evaluate_suspect(
      const entry_map::value_type& suspect, const suspects_by_target& ended,
      const std::set<target_id>& mass_failed,
      const std::map<request_fingerprint, double>& causes) const;

  // Share of the runs of the last seconds that were cut off.
  [[nodiscard]] double cut_off_share() const;
  [[nodiscard]] bool is_dominated(const entry_map::value_type& block,
                                  const suspects_by_target& ended) const;
  [[nodiscard]] std::optional<quarantine_decision> evaluate_block(
      const entry_map::value_type& block, const suspects_by_target& ended,
      const std::set<target_id>& mass_failed,
      const std::map<request_fingerprint, double>& causes) const;

  // Requests and blocks that recently succeeded here, indexed by part of their hash. A strike from
  // another node may arrive after the run that cleared them. Blocks have slots of their own, as
  // they are fewer and would be displaced by requests that come only once.
  static constexpr std::size_t cleared_run_slots = 4096;
  static constexpr std::size_t max_ends = 1024;
  // Suspects that are weighed together, those with most strikes first.
  static constexpr std::size_t max_weighed_suspects = 64;
  struct cleared_run {
    request_fingerprint fingerprint;
    time_point at{};
  };

  [[nodiscard]] cleared_run& cleared_slot(const request_fingerprint& fingerprint);

  poison_tracker_settings settings_;
  entry_map entries_;
  std::map<workspace_id, std::size_t> entries_of_workspace_;  // requests only
  std::size_t tracked_blocks_ = 0;
  std::map<target_id, request_fingerprint>
      quarantined_causes_;  // ended targets, and the quarantined cause
  std::uint64_t position_ = 0;
  std::uint64_t rejected_strikes_ = 0;
  // Crashes in the order of their times. They stay when the strikes of a request that succeeded are
  // cleared: otherwise a burst of unrelated crashes, in which nearly all requests succeed soon,
  // looks like none, and the few that were cut off several times seem to have caused all of it.
  std::vector<observed_end> ends_;
  std::map<target_id, time_point> last_sent_to_;  // when this node last sent to each target
  double mean_first_event_delay_s_ = 0.5;         // moving average of the time to the first event
  // Runs that ended, fading with time.
  double runs_ended_ = 0;
  double runs_cut_off_ = 0;
  time_point last_run_ended_at_{};
  time_point last_expiry_at_{};
  std::vector<cleared_run> cleared_requests_ = std::vector<cleared_run>(cleared_run_slots);
  std::vector<cleared_run> cleared_blocks_ = std::vector<cleared_run>(cleared_run_slots);
};

}  // namespace arbutus
