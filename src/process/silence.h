// Notices replicas that have gone silent.
//
// An engine that loses a member of its replica goes on accepting requests and moves none of them.
// One would see every stream of that replica stop at once, seconds before the platform's list or
// the engine itself says so. A replica that works sends an event of each stream with every pass.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

struct silence_settings {
  // Beyond the expected gap: a late packet, the node's own scheduling and the engine's rounding.
  duration margin = 100ms;
  // No gap is taken for silence before this.
  duration least = 180ms;
  // A stream without its first event is late for its caller by now, whatever is done; waiting costs
  // no more, and a question that is not needed costs its price. Four of five were of this kind.
  duration least_first = 300ms;
  // Expected times to the first event are exceeded by as much as they were lately with this model,
  // half as much again; at most so many times.
  double first_factor = 1.5;
  double most_first_factor = 8;
  double first_decay = 0.9;
  // What was learned of a head without streams is kept so long.
  duration remembered = 10s;
  // After a replica was found well, it is not asked about again for so long; each time more that
  // it is asked without an event in between doubles that, up to eight times.
  duration pause = 400ms;
  // A replica's passes grow with its load, which a node knows only in part. So a gap is compared
  // with the longest lately seen as well: a replica that is full has gaps of 150 to 250 ms. Goes
  // wrong with expected gaps alone: most questions under load are to replicas that are well.
  double seen_factor = 1.5;
  // The longest gap seen counts for less with each event after it: half after about 14, two thirds
  // of a second of one stream.
  double seen_decay = 0.95;
  // Beyond this a gap was a stall, not a pass: it must not hide the next one.
  duration most_seen = 400ms;
};

class silence_monitor {
 public:
  explicit silence_monitor(const silence_settings& settings = {}) : settings_(settings) {}

  // A stream of `model` was sent, and its first event is expected after `expected_first`.
  void sent(time_point now, const target_id& head, const model_id& model, duration expected_first);
  // An event came; `expected_gap` until the next of any stream of this head.
  void event(time_point now, const target_id& head, duration expected_gap);
  // `waited` since it was sent.
  void first_event(const target_id& head, duration waited, duration expected_first);
  void ended(time_point now, const target_id& head, bool had_first_event);
  // The replica was asked and works.
  void found_well(time_point now, const target_id& head);

  // Heads that should have sent something by now.
  [[nodiscard]] std::vector<target_id> silent(time_point now) const;

 private:
  struct state {
    std::size_t waiting = 0;  // streams without a first event
    std::size_t running = 0;  // streams with one
    time_point last_event{};
    duration gap{};                // expected until the next event
    duration seen{};               // longest gap between events lately
    std::uint32_t found_well = 0;  // times in a row, without an event in between
    time_point first_by{};         // when a first event is overdue, if nothing came at all
    time_point quiet_until{};
    model_id model;
    time_point idle_since{};  // has had no stream since
  };

  [[nodiscard]] duration longest_gap(const state& s) const;
  void forget_idle(time_point now);

  silence_settings settings_;
  std::map<target_id, state> heads_;
  std::map<model_id, double> first_ratio_;  // waited / expected, its greatest lately
};

}  // namespace arbutus
