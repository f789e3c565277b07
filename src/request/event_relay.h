// Forwards the server-sent events of a target's stream to the caller, complete and exactly once,
// also when the stream is resumed on another target.
//
// A target may fail in the middle of an event, and the next target sends that event again from its
// start. Bytes are therefore buffered until their event is complete.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus {

class event_relay {
 public:
  // `resume_after`: id of the last event that the caller received from an earlier request, if any.
  explicit event_relay(std::string resume_after = {}) : last_id_(std::move(resume_after)) {}

  // Takes bytes of the current attempt; returns those that may be sent to the caller now. The view
  // is valid until the next call.
  [[nodiscard]] std::string_view take(std::string_view bytes);

  // The attempt on the current target failed; the next attempt resumes after event last_id().
  void restart();

  // Id of the last event forwarded; empty if none.
  [[nodiscard]] const std::string& last_id() const { return last_id_; }
  [[nodiscard]] std::uint64_t events() const { return forwarded_events_; }
  // Whether bytes of an incomplete event are buffered. A stream that ends in this state is
  // truncated.
  [[nodiscard]] bool inside_event() const { return !pending_.empty(); }
  // An event's id was not greater than the previous one: the event was sent twice, or the target
  // did not resume where it was asked to. The attempt has to be abandoned.
  [[nodiscard]] bool out_of_order() const { return out_of_order_; }

 private:
  void note_event(std::string_view event);

  std::string pending_;  // received bytes of an incomplete event, from its start
  std::string forwarded_;
  std::string last_id_;
  std::uint64_t forwarded_events_ = 0;
  bool out_of_order_ = false;
};

}  // namespace arbutus
