// Decides whether a process belongs to the first start of the whole deployment, or starts in one
// that has run before.
//
// The settings of a first start say so, but the file may lie there for as long as the machine
// lives, and each later process on it reads the same word. So the word is only a claim, and what
// the platform's store holds decides: the row of a node stays when its process ends, and tells when
// the node started first. Whoever cannot ask the store in time does not belong to a first start.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/units.h"

namespace arbutus {

enum class start_kind : std::uint8_t {
  undecided,  // the store has not answered everything yet
  first,      // no process of the deployment ran before those that start now
  later,
};

// What was seen of earlier processes. Reads no clock; callers pass the time.
class start_evidence {
 public:
  // `settings_claim_first`: the settings say that the whole deployment starts for the first time.
  start_evidence(time_point started_at, bool settings_claim_first)
      : started_at_(started_at),
        kind_(settings_claim_first ? start_kind::undecided : start_kind::later),
        reason_(settings_claim_first ? "" : "the settings say so") {}

  // This process created the row of its node, which no earlier one had written.
  void note_own_row_created(time_point now);
  // An earlier process of the node may have written its row.
  void note_own_row_existed(time_point now);
  // Time since the first start of any node that has a row, by the store's clock; empty: a node has
  // started again, or the time is not known.
  void note_deployment_age(time_point now, std::optional<duration> age);
  // Whether a target was in a complete replica when the list of targets was first read.
  void note_replicas(time_point now, bool found);
  // The store came back from a copy once, so it may lack rows of earlier processes.
  void note_restored_store(time_point now);

  // Later once max_decision_time has passed.
  [[nodiscard]] start_kind kind(time_point now) const;
  [[nodiscard]] bool may_be_first(time_point now) const { return kind(now) != start_kind::later; }
  [[nodiscard]] bool is_first(time_point now) const { return kind(now) == start_kind::first; }
  // Why; valid once the kind is decided.
  [[nodiscard]] std::string_view reason(time_point now) const;
  // When it was decided.
  [[nodiscard]] time_point decided_at(time_point now) const;

  // The store answers all that is asked in a few ms, but the rows of the nodes are first read some
  // 400 ms after a start.
  static constexpr duration max_decision_time = 3s;
  // Nodes of a deployment that starts for the first time start within this time of each other.
  static constexpr duration max_start_spread = 5s;

 private:
  void decide(time_point now, start_kind kind, std::string_view reason);
  void decide_if_complete(time_point now);

  time_point started_at_;
  start_kind kind_;
  std::string_view reason_;
  time_point decided_at_{};
  bool own_row_created_ = false;
  bool deployment_is_young_ = false;
  bool has_no_replicas_ = false;
};

}  // namespace arbutus
