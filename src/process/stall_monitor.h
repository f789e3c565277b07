// Detects stalled replicas.
//
// An engine that loses a member of its replica still accepts requests but makes no progress on any
// of them. All streams of the replica stop simultaneously, seconds before the platform's list or
// the engine itself reports it. A working replica sends an event of each stream with every pass.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

// A target that works may be silent for about a second and go on.
inline constexpr duration silence_tolerance = 1500ms;

struct stall_settings {
  // Added to the expected gap between the events of a replica's streams, for late packets, the
  // node's own scheduling and the engine's rounding.
  duration gap_margin = 100ms;
  // A gap between events shorter than this is never reported as a stall.
  duration min_stall_gap = 180ms;
  // A first event must be overdue by this before the replica is checked. The stream is late for its
  // caller anyway, so waiting costs little, while an unnecessary check has a cost. Four of five
  // checks were for missing first events.
  duration min_first_event_delay = 300ms;
  // The allowed time to the first event is the expected time, multiplied by the ratio recently seen
  // for this model and by first_event_factor. The product of the two is capped at
  // max_first_event_factor.
  double first_event_factor = 1.5;
  double max_first_event_factor = 8;
  double first_event_ratio_decay = 0.9;
  // How long the state of a head without streams is kept.
  duration idle_retention = 10s;
  // A replica that was found healthy is not checked again for this time. Each further check without
  // an event in between doubles the time, up to eight times.
  duration recheck_interval = 400ms;
  // The duration of a replica's pass grows with its load, which a node knows only in part. So a gap
  // is also compared with the longest recent one: a full replica has gaps of 150 to 250 ms. With
  // expected gaps alone, most checks under load would be of healthy replicas.
  double recent_gap_factor = 1.5;
  // The longest recent gap decays with each event: to half after about 14 events, which is two
  // thirds of a second of one stream.
  double recent_gap_decay = 0.95;
  // Longer gaps count as this long among the recent ones: such a gap was a stall, not a pass, and
  // must not hide the next stall.
  duration max_recent_gap = 400ms;
};

class stall_monitor {
 public:
  explicit stall_monitor(const stall_settings& settings = {}) : settings_(settings) {}

  // A stream of `model` was sent; its first event is expected after `expected_first`.
  void on_stream_sent(time_point now, const target_id& head, const model_key& model,
                      duration expected_first);
  // An event came; the next one of any stream of this head is expected after `expected_gap`.
  void on_event(time_point now, const target_id& head, duration expected_gap);
  // The first event of a stream came, `waited` after the stream was sent.
  void on_first_event(const target_id& head, duration waited, duration expected_first);
  void on_stream_ended(time_point now, const target_id& head, bool had_first_event);
  // A check has shown that the replica of this head works.
  void found_healthy(time_point now, const target_id& head);

  // Whether all replicas with running streams have fallen silent: three at least for the shortest
  // time that a stall takes, or two for as long as each of them may. Targets rarely stall together;
  // this node's paths to them may be cut.
  [[nodiscard]] bool all_stalled(time_point now) const;

  // Heads whose next event is overdue.
  [[nodiscard]] std::vector<target_id> stalled(time_point now) const;

 private:
  struct state {
    std::size_t waiting_streams = 0;  // streams without a first event
    std::size_t running_streams = 0;  // streams that had their first event
    time_point last_event{};
    duration expected_gap{};          // expected time from the last event to the next one
    duration recent_gap{};            // longest recent gap between events
    std::uint32_t found_healthy = 0;  // healthy results in a row without an event in between
    time_point first_event_due{};  // when a first event should come; used if no stream is running
    time_point earliest_check_at{};
    model_key model;
    time_point idle_since{};  // end of the last stream
  };

  [[nodiscard]] duration gap_limit(const state& s) const;
  [[nodiscard]] bool has_stopped(time_point now, const state& s) const {
    return s.running_streams > 0 && now - s.last_event > gap_limit(s);
  }
  void remove_idle(time_point now);

  stall_settings settings_;
  std::map<target_id, state> states_by_head_;
  // Recent maximum of actual / expected time to the first event.
  std::map<model_key, double> first_event_ratios_;
};

}  // namespace arbutus
