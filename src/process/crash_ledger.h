// Which requests end the targets that run them (poison requests, or queries of death), by what all
// nodes saw: a value in virtual time.
//
// Goes wrong without it: a request whose run ends its engine is sent to the next one, comes again
// at any node under a new id, and ends engine after engine; each takes along all that it runs, and
// its replica falls as a whole. One would see engines that end alone, one after the other, and the
// same print among the attempts that broke off at each of them.
//
// A target that ends takes proper requests along, too, so that one end says little. Weighed are:
// - A mark: a run of the request had hardly begun when the life of its target ended. One for each
//   target. What ran on for a while has shown that it does no harm.
// - Marks count as events only if each run was sent after the target before it had ended: a signal
//   to many processes, or a rack that fails, is one event however often the request ran there.
// - A run that ends well acquits the request on every node, of what was before and for a minute:
//   a poison request never ends well.
// - Several targets that end at the same moment under different requests are no evidence.
// - A verdict needs `least_events` in which no other suspect has as many marks. A proper request
//   that was sent along with the culprit does not share all of its ends.
// - And it must be improbable by chance: on evenings when targets end anyway, some request is lost
//   several times in a row. How often they end anyway is told by the ends that no suspect explains.
//
// While marks of other nodes may still be on their way, a request with enough events is held back,
// neither sent nor refused.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "request/request_print.h"

namespace arbutus {

// A run whose target ends has hardly begun until so long after its first event.
inline constexpr duration hardly_begun = 150ms;

struct crash_ledger_settings {
  // A verdict needs so many. One less, and the request waits for what others know before each run.
  std::size_t least_events = 4;
  // Suspects that were always sent together cannot be told apart. With so many events each is taken
  // for guilty, as none of them ever ended well.
  std::size_t events_of_inseparable = 8;
  // At least so many targets that end within so short a time, with no request in common, are no
  // evidence.
  std::size_t targets_of_mass = 3;
  duration same_moment = 20ms;
  // Marks of other nodes for the same ends arrive within this: a question and three beats.
  duration settle = 700ms;
  // Probability that a proper request is lost in so many events in a row; of some million
  // requests none is to be taken for guilty.
  double accepted_chance = 1e-8;
  // How far back before a suspect's first mark ends count as those that happen anyway.
  duration looked_back = 3s;
  duration cleared_for = 60s;      // after a run that ended well
  duration suspected_for = 300s;   // after the newest mark
  duration convicted_for = 3600s;  // after the newest mark
  std::size_t most_entries = 1024;
  // One workspace cannot push out what is known of another's requests.
  std::size_t most_of_workspace = 128;
  std::size_t most_marks = 16;  // of one request
};

struct crash_mark {
  target_id target;
  time_point sent_at;   // the run
  time_point ended_at;  // the target's life, as the node saw that sent the run
};

[[nodiscard]] inline bool ended_before(const crash_mark& a, const crash_mark& b) {
  return a.ended_at < b.ended_at;
}

struct crash_entry {
  std::vector<crash_mark> marks;           // at most one for an end, in their order
  std::optional<time_point> acquitted_at;  // marks are newer than this by cleared_for
  std::optional<time_point> convicted_at;
  // The platform's store has a row of the verdict: with none in force, one to be removed.
  bool stored = false;
  std::uint64_t changed = 0;  // position of the newest change
};

// What a node tells others of one request. Times are told as ages: clocks of nodes differ.
struct crash_row {
  request_print print;
  struct mark {
    target_id target;
    duration sent_ago{};
    duration ended_ago{};
  };
  std::vector<mark> marks;
  std::optional<duration> acquitted_ago;
  std::optional<duration> convicted_ago;
  bool stored = false;
};

struct crash_verdict {
  request_print print;
  std::vector<target_id> targets;  // that it ended
  std::size_t events = 0;          // that count
  double chance = 0;               // probability of so many for a proper request
};

class crash_ledger {
 public:
  explicit crash_ledger(const crash_ledger_settings& settings = {}) : settings_(settings) {}

  // A request of this node's went out to a target.
  void run_sent(time_point now, const target_id& target);
  // A run of this node's had its first event after this time.
  void run_began(duration waited);
  // The life of a target ended when a run of this request, sent by this node, had hardly begun
  // there. False: known already, explained by a request that is convicted, or there is no room.
  bool mark(const request_print& print, const crash_mark& mark);
  // A run ended well, or brought events for long. True: the request was suspected.
  bool acquit(time_point now, const request_print& print);
  // An operator lifts the verdict; what is seen from now on counts. True: there was a suspicion.
  bool lift(time_point now, const request_print& print);

  [[nodiscard]] bool is_convicted(const request_print& print) const;
  // Until when the request must wait, as the evidence against it may be incomplete; empty: now is
  // fine.
  [[nodiscard]] std::optional<time_point> held_until(time_point now,
                                                     const request_print& print) const;
  // Until the verdict lapses if nothing new is seen; empty: there is none.
  [[nodiscard]] std::optional<duration> convicted_for(time_point now,
                                                      const request_print& print) const;
  // Forgets what is old, and convicts whom the evidence is against. The new verdicts.
  std::vector<crash_verdict> judge(time_point now);

  // Evidence of a peer, or a verdict from the platform's store. True: it was convicted by that.
  bool take(time_point now, const crash_row& row);
  // Changes behind `after`, oldest first, at most `most` of them; `after` is moved behind the last.
  [[nodiscard]] std::vector<crash_row> changed_since(time_point now, std::uint64_t& after,
                                                     std::size_t most) const;
  [[nodiscard]] std::uint64_t position() const { return position_; }

  // What the platform's store lacks, and what it has of verdicts that hold no longer.
  struct store_changes {
    std::vector<request_print> to_write;
    std::vector<request_print> to_remove;
  };
  [[nodiscard]] store_changes for_store() const;
  void set_stored(const request_print& print, bool stored);
  // As a row to be stored; empty: it is not convicted.
  [[nodiscard]] std::optional<crash_row> row_of(time_point now, const request_print& print) const;

  [[nodiscard]] const std::map<request_print, crash_entry>& all() const { return entries_; }
  [[nodiscard]] std::size_t convicted() const;
  // Marks for which there was no room.
  [[nodiscard]] std::uint64_t turned_away() const { return turned_away_; }

 private:
  using entry_map = std::map<request_print, crash_entry>;
  // Suspects by the targets that ended under them.
  using suspects_by_target = std::map<target_id, std::vector<const entry_map::value_type*>>;

  crash_entry* entry_for(const request_print& print);
  bool make_room(const request_print& print);
  void touch(crash_entry& entry) { entry.changed = ++position_; }
  bool add_mark(const request_print& print, crash_entry& entry, const crash_mark& mark);
  // Drops the marks that an acquittal at this time covers, and a verdict that rests on them.
  void clear(crash_entry& entry, time_point acquitted_at);
  void convict(const request_print& print, crash_entry& entry, time_point at);
  void lapse(time_point now);
  void forget_old(time_point now);
  [[nodiscard]] static crash_row to_row(time_point now, const entry_map::value_type& known);
  [[nodiscard]] bool is_explained(const request_print& print, const target_id& target) const;
  [[nodiscard]] suspects_by_target index(time_point settled) const;
  [[nodiscard]] std::set<target_id> mass_ends(const suspects_by_target& ended) const;
  [[nodiscard]] bool is_explained_by_others(const suspects_by_target& ended,
                                            const target_id& target) const;
  [[nodiscard]] std::size_t other_ends(const entry_map::value_type& suspect,
                                       const suspects_by_target& ended, time_point from,
                                       time_point to) const;
  [[nodiscard]] double chance_of(const entry_map::value_type& suspect, std::size_t events,
                                 const suspects_by_target& ended) const;
  [[nodiscard]] std::optional<crash_verdict> judge_one(const entry_map::value_type& suspect,
                                                       const suspects_by_target& ended,
                                                       const std::set<target_id>& mass) const;

  // Requests that lately ended well here, by a part of their hash: a mark of another node may come
  // later than the run that acquits the request.
  static constexpr std::size_t well_slots = 4096;
  struct well_run {
    request_print print;
    time_point at{};
  };

  crash_ledger_settings settings_;
  entry_map entries_;
  std::map<workspace_id, std::size_t> of_workspace_;
  std::map<target_id, request_print> explained_;  // ended targets of convicted requests
  std::uint64_t position_ = 0;
  std::uint64_t turned_away_ = 0;
  std::map<target_id, time_point> sent_to_;  // targets that this node sends to, and when last
  double waits_s_ = 0.5;                     // until a first event, on average lately
  time_point forgot_at_{};
  std::vector<well_run> well_ = std::vector<well_run>(well_slots);
};

}  // namespace arbutus
