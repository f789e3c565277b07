// Forwards the server-sent events of a target's stream to the caller, complete and exactly once,
// also when the stream is resumed on another target.
//
// A target may fail in the middle of an event, and the next target sends that event again from its
// start. Bytes are therefore buffered until their event is complete.
//
// A faulty target may send bytes without end that hold no event. Comments and unknown fields are
// held back until the next event, so that none of them reaches the caller of a stream that breaks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus {

// Maximum size of an event.
inline constexpr std::size_t max_event_bytes = 256UL * 1024;
// Maximum number of bytes between two events that are part of neither.
inline constexpr std::size_t max_bytes_without_event = 64UL * 1024;

// Why a stream has to be abandoned.
enum class event_fault : std::uint8_t {
  none,
  // An event's id was not greater than the previous one: the event was sent twice, or the target
  // did not resume where it was asked to.
  out_of_order,
  too_large,  // an event exceeds max_event_bytes
  no_event,   // more than max_bytes_without_event bytes hold no event
};

class event_relay {
 public:
  // `resume_after`: id of the last event that the caller received from an earlier request, if any.
  explicit event_relay(std::string resume_after = {}) : last_id_(std::move(resume_after)) {}

  // Takes bytes of the current attempt; returns those that may be sent to the caller now: complete
  // events and what precedes them. The view is valid until the next call. Takes nothing after a
  // fault.
  [[nodiscard]] std::string_view take(std::string_view bytes);

  // The attempt on the current target failed; the next attempt resumes after event last_id().
  void restart();

  // Id of the last event forwarded; empty if none.
  [[nodiscard]] const std::string& last_id() const { return last_id_; }
  [[nodiscard]] std::uint64_t events() const { return forwarded_events_; }
  // Whether bytes of an incomplete event are buffered. A stream that ends in this state is
  // truncated.
  [[nodiscard]] bool inside_event() const { return !pending_.empty(); }
  // Comments and unknown fields after the last event. A stream that ends completely ends with them.
  [[nodiscard]] const std::string& held_back() const { return held_back_; }
  [[nodiscard]] std::size_t buffered_bytes() const { return pending_.size() + held_back_.size(); }
  [[nodiscard]] event_fault fault() const { return fault_; }
  [[nodiscard]] bool out_of_order() const { return fault_ == event_fault::out_of_order; }

 private:
  void take_lines();
  void take_event(std::string_view event);
  void note_id(std::string_view event);
  void check_held_back(std::size_t pending = 0);
  void check_pending();

  std::string pending_;          // received bytes of an incomplete event, from its start
  std::size_t line_begin_ = 0;   // in pending_: the line that is not complete
  std::size_t searched_to_ = 0;  // in pending_: no line ends between line_begin_ and here
  bool has_field_ = false;       // a complete line of pending_ is a field of an event
  std::string held_back_;        // complete blocks after the last event that are no events
  std::string forwarded_;
  std::string last_id_;
  std::uint64_t forwarded_events_ = 0;
  event_fault fault_ = event_fault::none;
};

[[nodiscard]] std::string_view to_string(event_fault fault);

}  // namespace arbutus
